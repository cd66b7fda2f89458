// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package canary executes the decisions of package rollout: it reads orders from the platform, has the
// nodes beside the upstreams report to a judge, and records the outcome.
//
// The judge of a service is the first of its candidates that responds. A canary upstream runs
// requests only while a judge has recently acknowledged its node's reports, so that a partitioned node
// soon stops sending requests to a version that may be faulty.
package canary
