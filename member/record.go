// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member

import (
	"time"

	"sassafrasfront.example/gossip"
)

// State is what a node says of itself and its upstream.
type State string

const (
	// Up means that the upstream takes requests.
	Up State = "up"
	// Idle means that the node has no upstream, or one that is down. It is an
	// entry all the same.
	Idle State = "idle"
	// Draining means that the upstream or the node is leaving.
	Draining State = "draining"
	// Left means that the node has stopped in good order.
	Left State = "left"
	// Removed means that a representative took the node for gone.
	Removed State = "removed"
)

// Record is what is known of one node. It is an immutable value.
type Record struct {
	// ID is the node's name. It stays the same over restarts.
	ID string `json:"id"`
	// Addr is where the node takes peer connections.
	Addr string `json:"addr"`
	// Zone and Region are where it is.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Service is the service of its upstream, or empty.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that its upstream runs at once.
	Slots int `json:"slots,omitempty"`
	// State is what the node says of itself.
	State State `json:"state"`
	// Incarnation grows with each start of the node.
	Incarnation uint64 `json:"incarnation"`
	// Version grows with each change within an incarnation.
	Version uint64 `json:"version"`
	// Software is the version of the upstream's software, or empty where it is of no
	// concern or not known yet.
	Software string `json:"software,omitempty"`
	// Trial is whether an operator has ordered a roll-out of that version which is not
	// completed, as the node itself has heard.
	Canary bool `json:"trial,omitempty"`
	// Blind is whether the node was to look after the platform for others and can't
	// reach it.
	PlatformUnreachable bool `json:"blind,omitempty"`
	// At is when the record was written, in seconds since 1970.
	WrittenAt int64 `json:"at"`
}

// Keep is how long a record of a node that is gone is kept after it was
// written. Nodes whose clocks differ drop it at different times, and until
// then may hand it to each other; it is not taken in again.
const TombstoneRetention = time.Hour

// Expired returns whether the record is of a node that is gone for long.
func (r Record) Expired(now time.Time) bool {
	return !r.Live() && now.Sub(time.Unix(r.WrittenAt, 0)) > TombstoneRetention
}

// Key implements gossip.Record.
func (r Record) Key() string { return r.ID }

// Rank implements gossip.Record.
func (r Record) GossipVersion() gossip.Version {
	return gossip.Version{
		Major: r.Incarnation,
		Minor: r.Version,
	}
}

// Live returns whether the node is there, as far as is known.
func (r Record) Live() bool { return r.State != Left && r.State != Removed }

// Takes returns whether the node's upstream takes requests.
func (r Record) AcceptsRequests() bool { return r.State == Up && r.Service != "" }

// WithState returns the next version of r, with the given state.
func (r Record) WithState(s State) Record {
	r.State = s
	r.Version++
	r.WrittenAt = time.Now().Unix()
	return r
}

// Upstream is what a node says of its upstream. Its fields are as in Record.
type Upstream struct {
	Service  string
	Slots    int
	State    State
	Software string
	Canary   bool
}

// Upstream returns what r says of the upstream.
func (r Record) Upstream() Upstream {
	return Upstream{
		Service:  r.Service,
		Slots:    r.Slots,
		State:    r.State,
		Software: r.Software,
		Canary:   r.Canary,
	}
}

// WithUpstream returns the next version of r, with the given upstream.
func (r Record) WithUpstream(u Upstream) Record {
	r.Service = u.Service
	r.Slots = u.Slots
	r.Software = u.Software
	r.Canary = u.Canary
	return r.WithState(u.State)
}

// WithBlind returns the next version of r, which can't reach the platform, or can
// again.
func (r Record) WithPlatformUnreachable(blind bool) Record {
	r.PlatformUnreachable = blind
	return r.WithState(r.State)
}

// Reborn returns r as of a new incarnation, which is higher than its present
// one and that of the record heard of it, and otherwise counts the nanoseconds
// since 1970 at the given time.
func (r Record) NextIncarnation(heard Record, now time.Time) Record {
	r.Incarnation = max(uint64(now.UnixNano()), heard.Incarnation+1, r.Incarnation+1)
	r.Version = 1
	r.PlatformUnreachable = false
	r.WrittenAt = now.Unix()
	return r
}

// Tombstone returns the record by which a representative removes the node. It comes
// after all that the node has said, and before anything that the node says in
// its next incarnation.
func (r Record) Tombstone() Record {
	r.State = Removed
	r.WrittenAt = time.Now().Unix()
	r.Version = tombstoneVersion
	return r
}

// tombstoneVersion comes after every version that a node reaches.
const tombstoneVersion = 1 << 62
