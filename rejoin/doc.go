// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package rejoin decides when a node probes the last addresses of absent nodes to find those that
// have started again.
//
// A node that starts learns of others from its first peers or from the platform. Without first
// peers, and during an outage of the platform, it knows no address at all. Only nodes that knew it
// before can find it, and these would otherwise send nothing to a node that left or was removed.
package rejoin
