// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package verdict says whether a request that failed may have run.
//
// Every failure that sassafrasfront reports carries one of three verdicts:
// NotRun, MayHaveRun or Ran. The verdict alone decides whether the request may
// be sent again: a request that has not run always may, a request that may
// have run only if it is idempotent, and a request that ran never.
//
// The package holds a single table, from the Cause of a failure to its
// verdict and HTTP status. Every layer looks its failures up there, and the
// tests of every layer read the same table.
package verdict
