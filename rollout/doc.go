// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package rollout decides how the requests of a service are shifted to another version of its
// upstreams.
//
// An Order is an operator's request for a roll-out, and a State is its progress. A canary version
// gets a small share of the requests, sent to a few of its upstreams, so that each of these carries
// the load of an upstream of the former version. A Judge compares what gates count at both versions
// at the same time, by class of request, and continues step by step or stops. It keeps no data that
// gates don't report again, so that any node may replace it. The package does no input or output and
// starts no goroutine.
package rollout
