// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"sassafrasfront.example/member"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/upstream"
)

const (
	// maxMissedHeartbeats is the number of heartbeats that a start of an upstream may
	// miss before a start with an earlier start time can replace it. Two are lost
	// now and then.
	maxMissedHeartbeats = 3
	// invalidLinesPerSecond bounds the log lines of each kind on what other programs
	// have written and can't be used.
	invalidLinesPerSecond = 5
)

// isKnownService returns whether a service exists, or may exist: before the node has
// a table of routes, any service may.
func (n *Node) isKnownService(service string) bool {
	t := n.control.Snapshot().Table
	if t == nil {
		return true
	}
	_, ok := t.Service(service)
	return ok
}

// announcementRefused logs why an announcement is refused.
func (n *Node) announcementRefused(reason error) { n.warnInvalid("announcement refused", reason) }

// announcementIgnored logs an announcement that has no effect.
func (n *Node) announcementIgnored(a *upstream.Announcement, reason string) {
	if n.lineLimit.Allow("ignored", invalidLinesPerSecond, 1) {
		n.Log.Info().Str("start", a.StartID).Int64("bornMs", a.StartMillis).Uint64("sequence", a.Sequence).Bool("draining", a.Draining).Str("reason", reason).Msg("announcement ignored")
	}
}

// warnInvalid logs why something that another program has written is not used, with a
// bound on the lines for each kind of event.
func (n *Node) warnInvalid(event string, reason error) {
	if n.lineLimit.Allow(event, invalidLinesPerSecond, 1) {
		n.Log.Warn().Err(reason).Msg(event)
	}
}

// upstreamChanged applies an announcement, or a withdrawal if a is nil. It is called with the lock of
// n.announcements held, which therefore must not be acquired while n.mu is held.
func (n *Node) upstreamChanged(a *upstream.Announcement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gate.SetAnnouncement(a)
	n.announced = a
	if n.stopProber != nil {
		n.stopProber()
		n.stopProber = nil
	}
	n.upstreamDown = false
	if a == nil {
		n.Log.Info().Msg("upstream withdrawn")
	} else {
		n.Log.Info().Str("service", a.Service).Str("address", a.Address).Str("start", a.StartID).Int64("bornMs", a.StartMillis).Int("slots", a.Slots).Bool("draining", a.Draining).Msg("upstream announced")
		if n.Platform == nil {
			n.startProber(a)
		}
	}
	go n.announce()
}

// startProber starts to probe the announced upstream.
func (n *Node) startProber(a *upstream.Announcement) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopProber = cancel
	p := &upstream.Prober{
		Transport: &upstream.Transport{Addr: a.Address},
		Changed: func(up bool) {
			n.mu.Lock()
			n.upstreamDown = !up && ctx.Err() == nil
			n.mu.Unlock()
			n.Log.Warn().Str("address", a.Address).Bool("up", up).Msg("upstream probed")
			n.announce()
		},
	}
	go p.Run(ctx)
}

// announce broadcasts the upstream's current state to the other nodes. An upstream
// whose service is not known here yet takes no requests.
func (n *Node) announce() {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	n.configureGate()
	a := n.announcements.Current()
	n.mu.Lock()
	state := member.Up
	switch {
	case a == nil || n.upstreamDown || !n.gateConfigured.Load() || !n.versionAdmitted(a):
		state = member.Idle
	case n.gateDraining || a.Draining:
		state = member.Draining
	}
	n.mu.Unlock()
	u := member.Upstream{State: state}
	if a != nil {
		u.Service = a.Service
		u.Slots = min(a.Slots, a.Connections)
		u.Software, u.Canary = n.announcedVersion(a)
	}
	n.control.Announce(u)
	if n.rollouts != nil {
		n.rollouts.Wake() // the new start may be of another version
	}
}

// phase is a phase in the life of a node.
type phase string

// The phases of a node.
const (
	// phaseServing means that the node takes requests.
	phaseServing phase = "serving"
	// phaseLeaving means that the node has received the signal to stop, and still takes requests.
	phaseLeaving phase = "leaving"
	// phaseDraining means that the node takes no more requests, and completes those in
	// flight.
	phaseDraining phase = "draining"
)

// phase returns the phase that the node is in.
func (n *Node) phase() phase {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.draining:
		return phaseDraining
	case n.leaving:
		return phaseLeaving
	}
	return phaseServing
}

// serveReady responds whether the node can serve callers.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	switch {
	case leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !n.control.Snapshot().Ready:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case !n.hasDiscovered():
		http.Error(w, "no other node known yet", http.StatusServiceUnavailable)
	case !n.canValidateKeys():
		http.Error(w, "the configuration may be out of date, and keys revoked", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// View is a node's view of the system, as reported to operators.
type View struct {
	Node           string            `json:"node"`
	Zone           string            `json:"zone"`
	Representative bool              `json:"representative"`
	Members        int               `json:"members"`
	Sequences      map[string]uint64 `json:"sequences"`
	// Upstreams are the nodes whose upstreams take requests, by service.
	Upstreams map[string][]string `json:"upstreams"`
}

// listNodes responds with the live nodes that the node knows.
func (n *Node) listNodes(w http.ResponseWriter, _ *http.Request) {
	list := []operator.NodeAddress{}
	for _, r := range n.control.Members() {
		list = append(list, operator.NodeAddress{
			Node:    r.ID,
			Zone:    r.Zone,
			Address: r.Addr,
		})
	}
	slices.SortFunc(list, func(a, b operator.NodeAddress) int { return cmp.Compare(a.Node, b.Node) })
	writeJSON(w, list)
}

// serveTableStatus responds with the state of the node's table of routes.
func (n *Node) serveTableStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.control.TableStatus())
}

// serveView responds with the node's view of the system.
func (n *Node) serveView(w http.ResponseWriter, _ *http.Request) {
	s := n.control.Snapshot()
	v := View{
		Node:           n.Settings.Node,
		Zone:           n.Settings.Zone,
		Representative: n.control.IsRepresentative(),
		Members:        s.Members,
		Sequences:      s.Sequences,
		Upstreams:      make(map[string][]string),
	}
	for name, service := range s.Services {
		v.Upstreams[name] = []string{}
		for _, m := range service.Members {
			v.Upstreams[name] = append(v.Upstreams[name], m.ID)
		}
	}
	writeJSON(w, v)
}
