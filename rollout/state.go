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

// Phase is the progress of an Order. A higher Phase of the same Order replaces a lower one.
type Phase uint8

const (
	// Trial gives the version a small share of the requests.
	Trial Phase = iota
	// Widened gives it a larger share.
	Widened
	// Moved gives it half of them. The rest stays at the former version, for comparison.
	Moved
	// Emptied gives it all requests, while the upstreams of the former version still run.
	Emptied
	// Stopped gives it no requests. The outcome is not recorded on the platform yet.
	Stopped
	// Completed and RolledBack are recorded on the platform, by one conditional write. The former
	// version's upstreams stop after Completed, the new version's after RolledBack.
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

// Settled returns whether the outcome is recorded on the platform.
func (p Phase) Settled() bool { return p >= Completed }

// State is the progress of an Order. It is an immutable value.
type State struct {
	Order Order `json:"order"`
	Phase Phase `json:"phase"`
	// Reason is why the order is in that phase, Node the node that decided so, and When the time
	// of the decision.
	Reason string    `json:"reason,omitempty"`
	Node   string    `json:"node,omitempty"`
	When   time.Time `json:"when"`
	// Recorded is the resource version with which the platform recorded the outcome, if it did.
	Recorded objectapi.ResourceVersion `json:"recorded"`
}

// WithPhase returns s in another phase.
func (s State) WithPhase(p Phase, reason, node string, when time.Time) State {
	s.Phase = p
	s.Reason = reason
	s.Node = node
	s.When = when
	return s
}

// WithRecorded returns s with the resource version with which the platform recorded its outcome.
func (s State) WithRecorded(at objectapi.ResourceVersion) State {
	s.Recorded = at
	return s
}

// phaseBits is the number of bits of a Rank that hold the phase.
const phaseBits = 3

// Rank orders the states of a service by Order, and then by phase.
func (s State) Rank() (era, sequence uint64) {
	return s.Order.ResourceVersion.Era, s.Order.ResourceVersion.Revision<<phaseBits | uint64(s.Phase)
}

// Eligibility is whether upstreams of a version may get requests.
type Eligibility uint8

const (
	// Unrestricted upstreams get requests according to their capacity only.
	Unrestricted Eligibility = iota
	// Canary upstreams get the share of the requests that belongs to the phase.
	Canary
	// Withheld upstreams get no requests.
	Withheld
)

// Eligibility returns whether upstreams of a version may get requests.
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
	return Canary
}

// LocalState is a State as known to one node. It is an immutable value.
type LocalState struct {
	State
	// Received is when the node first received the order, and Changed when it learnt of the
	// current phase.
	Received, Changed time.Time
	// Preferred is whether the upstreams of a completed version are still preferred to others.
	Preferred bool
}

// VersionCapacity is the number of upstreams of a version and of their slots.
type VersionCapacity struct {
	// Upstreams is the number that accept requests, Canaries the number of canaries, and Slots
	// the number of requests that they run concurrently.
	Upstreams, Canaries, Slots int
}

// Encode returns s as JSON.
func (s State) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("rollout: state can't be encoded: " + err.Error()) // it has only strings and numbers
	}
	return data
}

// Decode decodes a State that was encoded by Encode.
func Decode(data []byte) (State, error) {
	var s State
	return s, eris.Wrap(json.Unmarshal(data, &s), "decode roll-out state")
}
