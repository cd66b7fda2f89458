// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

// NodeAddress is a node's report on another node.
type NodeAddress struct {
	// Node is the node's name, and Zone its availability zone.
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Address is where it accepts peer connections, as an IP address and port.
	Address string `json:"address"`
}
