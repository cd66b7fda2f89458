// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package route chooses the upstream that a request is sent to.
//
// A Pool holds what one process on the callers' side knows about the upstreams of
// one service: its own requests in flight there, which it knows exactly, and the
// load that each upstream last reported, which counts less the older it is. A
// Policy chooses among them. A poor choice is cheap: the node beside the upstream
// refuses the request, and another upstream is picked.
//
// The package does no input or output and starts no goroutine. It reads the wall
// clock through package time.
package route
