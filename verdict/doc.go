// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package verdict says whether a request that failed may have run.
//
// Every failure that sassafrasfront reports has one of three verdicts: NotRun,
// MayHaveRun or Ran. The verdict alone decides whether sending the request
// again is safe: always if it has not run, never if it ran, and otherwise only
// if the request is idempotent.
//
// A single table maps the Cause of a failure to its verdict and HTTP status.
// All layers and their tests use this table.
package verdict
