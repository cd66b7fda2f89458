// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member

import (
	"time"

	"sassafrasfront.example/gossip"
)

// State is the state of a node and its upstream, as announced by the node.
type State string

const (
	// Up means that the upstream accepts requests.
	Up State = "up"
	// Idle means that the node has no upstream, or one that is down. The node still
	// accepts requests from callers.
	Idle State = "idle"
	// Draining means that the upstream or the node is shutting down.
	Draining State = "draining"
	// Left means that the node has shut down gracefully.
	Left State = "left"
	// Removed means that the node was declared failed by a representative.
	Removed State = "removed"
)

// Record is the membership record of one node. It is immutable.
type Record struct {
	// ID is the node's name. It does not change on restart.
	ID string `json:"id"`
	// Addr is the address at which the node accepts peer connections.
	Addr string `json:"addr"`
	// Zone and Region are the node's location.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Service is the service of the node's upstream, or empty.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int `json:"slots,omitempty"`
	// State is the announced state.
	State State `json:"state"`
	// Incarnation increases with each start of the node.
	Incarnation uint64 `json:"incarnation"`
	// Version increases with each change within an incarnation.
	Version uint64 `json:"version"`
	// Software is the version of the upstream's software, or empty if it is not used or not
	// known yet.
	Software string `json:"software,omitempty"`
	// Canary is whether an operator has ordered a roll-out of that version which is not
	// completed, as far as the node itself knows.
	Canary bool `json:"trial,omitempty"`
	// PlatformUnreachable is whether the node should read the platform for others but cannot
	// reach it.
	PlatformUnreachable bool `json:"blind,omitempty"`
	// WrittenAt is when the record was written, in seconds since 1970.
	WrittenAt int64 `json:"at"`
}

// TombstoneRetention is how long the record of a node that has left or was removed is kept
// after it was written. Nodes whose clocks differ drop it at different times. One that has
// dropped it does not accept it again from a node that has not.
const TombstoneRetention = time.Hour

// Expired returns whether the node has left or was removed more than TombstoneRetention ago.
func (r Record) Expired(now time.Time) bool {
	return !r.Live() && now.Sub(time.Unix(r.WrittenAt, 0)) > TombstoneRetention
}

// Key implements gossip.Record.
func (r Record) Key() string { return r.ID }

// GossipVersion implements gossip.Record.
func (r Record) GossipVersion() gossip.Version {
	return gossip.Version{
		Major: r.Incarnation,
		Minor: r.Version,
	}
}

// Live returns whether the node is live, as far as is known.
func (r Record) Live() bool { return r.State != Left && r.State != Removed }

// AcceptsRequests returns whether the node's upstream accepts requests.
func (r Record) AcceptsRequests() bool { return r.State == Up && r.Service != "" }

// WithState returns the next version of r, with the given state.
func (r Record) WithState(s State) Record {
	r.State = s
	r.Version++
	r.WrittenAt = time.Now().Unix()
	return r
}

// Upstream is the announced state of a node's upstream. Its fields are as in Record.
type Upstream struct {
	Service  string
	Slots    int
	State    State
	Software string
	Canary   bool
}

// Upstream returns the part of r that describes the upstream.
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

// WithPlatformUnreachable returns the next version of r, with the given reachability of the
// platform.
func (r Record) WithPlatformUnreachable(unreachable bool) Record {
	r.PlatformUnreachable = unreachable
	return r.WithState(r.State)
}

// NextIncarnation returns r with a new incarnation, which is the given time in nanoseconds
// since 1970, or more if that does not exceed the incarnations of r and of the record of the
// node that was received from another node.
func (r Record) NextIncarnation(received Record, now time.Time) Record {
	r.Incarnation = max(uint64(now.UnixNano()), received.Incarnation+1, r.Incarnation+1)
	r.Version = 1
	r.PlatformUnreachable = false
	r.WrittenAt = now.Unix()
	return r
}

// Tombstone returns the record by which a representative removes the node. It is newer
// than all records of the present incarnation, and older than those of the next one.
func (r Record) Tombstone() Record {
	r.State = Removed
	r.WrittenAt = time.Now().Unix()
	r.Version = tombstoneVersion
	return r
}

// tombstoneVersion is higher than any version that a node reaches.
const tombstoneVersion = 1 << 62
