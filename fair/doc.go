// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package fair shares the slots of an upstream among organisations, by the time for which their
// requests hold them.
//
// Flows are the organisations that send one class of requests. Each has a weight. While some
// of them ask for more than the slots can serve, organisations within their fair share are served
// before those above it, and an organisation that is served much less often than the average is
// served first. Among organisations of the same rank the order is that of start-time fair
// queueing, by the slot time used per weight; see P. Goyal, H. Vin and H. Cheng, Start-time fair
// queueing, 1996. doi:10.1145/248157.248171.
//
// The package does not store requests: the caller does, and reports what happens to them. It
// reads no clock and starts no goroutine.
package fair
