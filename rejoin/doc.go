// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package rejoin decides when a node asks at the addresses of nodes that are gone whether they have
// started again.
//
// A node that starts learns of others from its first peers or from the platform. Without first
// peers, and while the platform is away, it knows no address at all; only nodes that knew it before
// can find it. Those that take it for gone would not ask there otherwise.
package rejoin
