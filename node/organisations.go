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
	// homeSubject is the subject of the order of nodes in which the first is the home.
	coordinatorSubject = "quota"
	// homeCandidates is the number of nodes that are chosen from to be home of the rate
	// limits: the first that answers. With a third of all nodes gone, one of them is there
	// but for one time in 250.
	coordinatorCandidates = 5
	// listedOrganisations is how many are listed where no limit is asked for.
	defaultListed = 50
)

// rateLimits returns what bounds the requests of organisations.
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

// homes returns the nodes that are to be home of the rate limits, in order.
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

// listOrganisations answers with the organisations that have a rate limit, those with the
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
	reply(w, list)
}
