// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"net/http"
	"strconv"
	"time"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quota"
	"sassafrasfront.example/ratelimit"
)

const (
	// coordinatorSubject is the subject of the rendezvous order in which the first node is
	// the coordinator of the rate limits.
	coordinatorSubject = "quota"
	// coordinatorCandidates is the number of nodes that may be coordinator of the rate limits,
	// which is the first one that responds. If a third of all nodes have crashed, no candidate is
	// up in one case of 250.
	coordinatorCandidates = 5
	// defaultListed is how many organisations are listed if the request sets no limit.
	defaultListed = 50
)

// newRateLimiter returns the limiter of organisations' requests.
func (n *Node) newRateLimiter() *ratelimit.Limiter {
	s := &n.Settings
	return &ratelimit.Limiter{
		Bounds: quota.Bounds{
			Window:  s.QuotaWindow,
			Overage: s.QuotaOverage,
			Slack:   s.QuotaSlack,
		},
		Hello: peer.Hello{
			Node:        s.Node,
			Zone:        s.Zone,
			Incarnation: uint64(time.Now().UnixNano()),
			Control:     true,
		},
		Limits: peer.Limits{
			SilenceTimeout:   peerSilenceTimeout,
			AckTimeout:       peerAckTimeout,
			HandshakeTimeout: peerHandshakeTimeout,
		},
		Clock:        n.newClock(),
		Counters:     &n.metrics.control,
		Coordinators: n.coordinators,
		Members:      func() int { return n.control.Snapshot().Members },
		Log:          n.Log,
	}
}

// coordinators returns the candidates for the coordinator of the rate limits, in order.
func (n *Node) coordinators() []ratelimit.Peer {
	list := []ratelimit.Peer{}
	for _, r := range n.control.RendezvousTop(coordinatorSubject, coordinatorCandidates) {
		list = append(list, ratelimit.Peer{
			ID:   r.ID,
			Addr: r.Addr,
		})
	}
	return list
}

// listOrganisations responds with the organisations that have a rate limit, those with the
// most requests refused here first.
func (n *Node) listOrganisations(w http.ResponseWriter, r *http.Request) {
	limit := defaultListed
	if v := r.URL.Query().Get("limit"); v != "" {
		var err error
		if limit, err = strconv.Atoi(v); err != nil || limit < 0 {
			http.Error(w, "limit: not a number", http.StatusBadRequest)
			return
		}
	}
	list := []operator.Organisation{}
	if n.rateLimiter != nil {
		for _, u := range n.rateLimiter.Usages(r.Context(), limit) {
			list = append(list, operator.Organisation{
				Organisation:     u.Organisation,
				Rate:             u.Limit.Rate,
				Burst:            u.Limit.Burst,
				LocalRate:        u.LocalRate,
				TotalRate:        u.TotalRate,
				RefusedOverLimit: u.Limited,
				RefusedUnknown:   u.Unknown,
			})
		}
	}
	writeJSON(w, list)
}
