// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"cmp"
	"net/http"
	"slices"

	"sassafrasfront.example/operator"
)

// listLimits responds with the upstreams that advertise a limit or are leaving: the one beside
// the node, and those that it sends requests to.
func (n *Node) listLimits(w http.ResponseWriter, _ *http.Request) {
	list := []operator.UpstreamLimit{}
	if s := n.gate.NoticeState(); s.Limit.Limited || s.Leaving {
		l := operator.UpstreamLimit{
			Node:         n.Settings.Node,
			StartID:      s.StartID,
			Source:       operator.SourceUpstream,
			Limited:      s.Limit.Limited,
			Limit:        s.Limit.Rate,
			Leaving:      s.Leaving,
			Since:        s.Limit.Since,
			UsedFraction: s.Limit.Used,
			Refused:      s.Limit.Refused,
		}
		if s.Limit.Adopted {
			l.Source = operator.SourceCalls
		}
		if s.Leaving {
			l.Since = s.LeavingSince
		}
		list = append(list, l)
	}
	for _, received := range n.dispatcher.Notices() {
		if received.Node == n.Settings.Node {
			continue
		}
		list = append(list, operator.UpstreamLimit{
			Node:    received.Node,
			StartID: received.Notice.StartID,
			Source:  operator.SourceResponses,
			Limited: received.Notice.Limited,
			Limit:   received.Notice.Limit,
			Leaving: received.Notice.Leaving,
			Since:   received.ReceivedAt,
		})
	}
	slices.SortFunc(list, func(a, b operator.UpstreamLimit) int { return cmp.Compare(a.Node, b.Node) })
	writeJSON(w, list)
}
