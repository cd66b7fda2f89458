// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package tcp opens TCP connections that detect that their peer has become unreachable.
//
// By default the kernel retransmits unacknowledged data for a quarter of an hour before it
// gives up. Until then, a peer that has lost power, or a connection that a device on the path
// has forgotten, looks like a slow one.
package tcp
