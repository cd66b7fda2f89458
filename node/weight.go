// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

// organisationWeight returns the weight of an organisation in the division of an upstream's
// slots, by the active configuration.
func (n *Node) organisationWeight(organisation string) float64 {
	t := n.control.Snapshot().Table
	if t == nil || t.OrganisationSet() == nil {
		return 1
	}
	return t.OrganisationSet().Weight(organisation)
}
