// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package route picks the upstream that a request is sent to.
//
// A Pool holds what one caller-side process knows of the upstreams of one
// service: the requests it has sent there itself, which it knows exactly, and
// the load that each upstream reported at some time in the past, which it
// trusts less the older it is. A Policy chooses among them. A wrong choice is
// cheap: the node beside the upstream refuses, and another one is picked.
//
// The package does no input or output and starts no goroutine. Durations are
// wall-clock durations read from package time.
package route
