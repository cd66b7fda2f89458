// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package departure makes the drain of an upstream outlive the node that has acknowledged it.
//
// Once a node has acknowledged that its upstream drains or leaves, that start of the upstream gets no
// more requests. A Record states this for one start. Before the acknowledgement a Recorder has other
// nodes confirm the Record, which all nodes then reconcile among themselves, and writes it to the
// platform. A process that starts recovers the Records of its node from both, and holds its upstream's
// announcements back until then. Records expire after Retention.
//
// The package sends nothing to other nodes itself: Peers does, which package control implements.
package departure
