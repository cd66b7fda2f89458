// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/objectapi"
)

// Phase is how far an Order is carried out. Of one Order, a higher Phase replaces a lower one.
type Phase uint8

const (
	// Trial gives the version a small share of the requests.
	Trial Phase = iota
	// Widened gives it a larger one.
	Widened
	// Moved gives it half of them. The rest stays at the former version, to compare with.
	Moved
	// Emptied gives it all, while the upstreams of the former version are still there.
	Emptied
	// Stopped gives it no request. The platform has not recorded it yet.
	Stopped
	// Completed and RolledBack are recorded on the platform, by one conditional write. The
	// former version's upstreams stop at Completed, the new one's after RolledBack.
	Completed
	RolledBack
)

// phases are the names of the phases.
var phases = [...]string{"trial", "widened", "moved", "emptied", "stopped", "completed", "rolledBack"}

// String returns the name of p.
func (p Phase) String() string {
	if int(p) < len(phases) {
		return phases[p]
	}
	return "unknown"
}

// Settled returns whether the platform has recorded the outcome.
func (p Phase) Settled() bool { return p >= Completed }

// State is how far an Order is carried out. It is an immutable value.
type State struct {
	Order Order `json:"order"`
	Phase Phase `json:"phase"`
	// Reason says why it is in that phase, Node which node decided so, and When.
	Reason string    `json:"reason,omitempty"`
	Node   string    `json:"node,omitempty"`
	When   time.Time `json:"when"`
	// Recorded is the Point at which the platform recorded the outcome, if it has.
	Recorded objectapi.Point `json:"recorded"`
}

// With returns s in another phase.
func (s State) WithPhase(p Phase, reason, node string, when time.Time) State {
	s.Phase = p
	s.Reason = reason
	s.Node = node
	s.When = when
	return s
}

// WithRecorded returns s with the Point at which the platform recorded its outcome.
func (s State) WithRecorded(at objectapi.Point) State {
	s.Recorded = at
	return s
}

// phaseBits is how many bits of a Rank hold the phase.
const phaseBits = 3

// Rank orders the states of a service: by the Order, and then by phase.
func (s State) Rank() (era, sequence uint64) {
	return s.Order.At.Era, s.Order.At.Revision<<phaseBits | uint64(s.Phase)
}

// Standing is what an upstream of a version may get.
type Eligibility uint8

const (
	// Ordinary upstreams get requests by their room alone.
	Unrestricted Eligibility = iota
	// OnTrial upstreams get the share of the requests that the phase says.
	OnTrial
	// Withheld upstreams get none.
	Withheld
)

// Standing returns what upstreams of a version may get.
func (s State) Eligibility(version string) Eligibility {
	if version != s.Order.Version {
		return Unrestricted
	}
	switch s.Phase {
	case Completed:
		return Unrestricted
	case Stopped, RolledBack:
		return Withheld
	}
	return OnTrial
}

// Known is a State as one node knows it. It is an immutable value.
type LocalState struct {
	State
	// Received is when the node received the order first, and Changed the present phase.
	Received, Changed time.Time
	// Preferred is whether a completed version still goes before others.
	Preferred bool
}

// Size is how many upstreams there are of a version.
type VersionCapacity struct {
	// Upstreams take requests, Trial of them by an order, and Slots is how many requests they
	// run at once.
	Upstreams, Trial, Slots int
}

// Encode returns s as JSON.
func (s State) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("rollout: state can't be encoded: " + err.Error()) // it has strings and numbers
	}
	return data
}

// Decode returns the State that Encode has encoded.
func Decode(data []byte) (State, error) {
	var s State
	return s, eris.Wrap(json.Unmarshal(data, &s), "state of a roll-out")
}
