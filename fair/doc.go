// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package fair shares the slots of an upstream among organisations, by the time for
// which their requests hold them.
//
// Flows are the organisations of one kind of request. Each has a weight. While some ask
// for so much that the slots run short, those that keep to their parts go before them, and
// one that is served much less often than all goes first. Among alike the one runs next
// that has used least for its weight, in the order of start-time fair queueing; see
// P. Goyal, H. Vin and H. Cheng, Start-time fair queueing, 1996.
// doi:10.1145/248157.248171.
//
// The package keeps no requests: its user does, and says what becomes of them. It
// reads no clock and starts no goroutine.
package fair
