// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"time"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/rollout"
)

// preferencePeriod is how long the new version is preferred after a roll-out is completed. The
// upstreams of the former version all stop at once, and nodes learn of each stop with a delay.
const preferencePeriod = 30 * time.Second

// ApplyOrders applies the roll-out orders that were read from the platform at a resource version.
// Whole is whether orders that are not among them have been withdrawn.
func (c *Control) ApplyOrders(found []rollout.StoredOrder, at objectapi.ResourceVersion, whole bool) {
	c.init()
	c.do(func() {
		now := time.Now()
		listed := make(map[string]bool)
		for _, f := range found {
			listed[f.Order.Service] = true
			known, ok := c.rollouts[f.Order.Service]
			if s, changed := rollout.Merge(known.State, ok, f, now); changed {
				c.configs.Put(acceptance.FromRollout(s))
			}
		}
		for name, known := range c.rollouts {
			if whole && !listed[name] && known.Phase < rollout.Stopped && known.Order.ResourceVersion.Era == at.Era && known.Order.ResourceVersion.Less(at) {
				c.configs.Put(acceptance.FromRollout(known.WithPhase(rollout.Stopped, "the order was withdrawn", c.self.ID, now)))
			}
		}
		c.publish()
	})
}

// SetRolloutState applies a decision of this node on a roll-out.
func (c *Control) SetRolloutState(s rollout.State) {
	c.init()
	c.do(func() {
		c.configs.Put(acceptance.FromRollout(s))
		c.publish()
	})
}

// rolloutChanged handles a new state of a roll-out. Unlike a table of routes, it is pushed.
func (c *Control) rolloutChanged(r acceptance.Config) {
	s, err := r.Rollout()
	if err != nil {
		c.Log.Error().Err(err).Str("record", r.Name).Msg("invalid roll-out record; keeping the previous state")
		return
	}
	now := time.Now()
	next := rollout.LocalState{
		State:     s,
		Received:  now,
		Changed:   now,
		Preferred: s.Phase == rollout.Completed,
	}
	if before, ok := c.rollouts[s.Order.Service]; ok && before.Order.ResourceVersion == s.Order.ResourceVersion {
		next.Received = before.Received
	}
	c.rollouts[s.Order.Service] = next
	c.dirty[s.Order.Service] = true
	c.Log.Info().Str("service", s.Order.Service).Str("version", s.Order.Version).Stringer("phase", s.Phase).Str("reason", s.Reason).Str("decidedBy", s.Node).Uint64("era", s.Order.ResourceVersion.Era).Uint64("revision", s.Order.ResourceVersion.Revision).Msg("roll-out")
}

// endPreferences ends the preference of completed versions after preferencePeriod, when the
// upstreams of the former version have stopped.
func (c *Control) endPreferences(now time.Time) {
	for name, r := range c.rollouts {
		if r.Preferred && now.Sub(r.Changed) >= preferencePeriod {
			r.Preferred = false
			c.rollouts[name] = r
			c.dirty[name] = true
		}
	}
}

// rolloutNames returns the names of the records of roll-outs.
func (c *Control) rolloutNames() []string {
	var names []string
	for service := range c.rollouts {
		names = append(names, acceptance.RolloutName(service))
	}
	return names
}

// UpstreamsByVersion returns the numbers and slots of the upstreams of a service that accept
// requests, by software version. Upstreams of unknown version are under the empty string.
func (c *Control) UpstreamsByVersion(service string) map[string]rollout.VersionCapacity {
	c.init()
	capacities := make(map[string]rollout.VersionCapacity)
	c.do(func() {
		for _, r := range c.byService[service] {
			s := capacities[r.Software]
			s.Upstreams++
			s.Slots += r.Slots
			if r.Canary {
				s.Canaries++
			}
			capacities[r.Software] = s
		}
	})
	return capacities
}

// canaryState is the share of a service's traffic and the upstreams of its canary version.
type canaryState struct {
	known    bool
	state    rollout.LocalState
	share    float64
	selected map[string]bool // canary upstreams that receive traffic
}

// unknownOrder returns whether an upstream's own node marks it as a canary by an order that this
// node has not received.
func (t canaryState) unknownOrder(r member.Record) bool {
	return r.Canary && (!t.known || r.Software != t.state.Order.Version)
}

// eligibility returns which requests an upstream may receive.
func (t canaryState) eligibility(r member.Record) rollout.Eligibility {
	s := rollout.Unrestricted
	switch {
	case t.unknownOrder(r):
		s = rollout.Canary
	case t.known:
		s = t.state.Eligibility(r.Software)
	}
	if s == rollout.Canary && !t.selected[r.ID] {
		return rollout.Withheld
	}
	return s
}

// canary returns the current state of a service's canary. Nodes that know the same upstreams
// select the same ones.
func (c *Control) canary(service string) canaryState {
	t := canaryState{selected: make(map[string]bool)}
	if c.Exposure == 0 {
		return t
	}
	t.state, t.known = c.rollouts[service]
	var ids, unknown []string
	for id, r := range c.byService[service] {
		switch {
		case c.evacuated.Has(r.Zone):
		case t.unknownOrder(r):
			unknown = append(unknown, id)
		case t.known && (t.state.Eligibility(r.Software) == rollout.Canary || t.state.Preferred && r.Software == t.state.Order.Version):
			ids = append(ids, id)
		}
	}
	phase := t.state.Phase
	if len(unknown) > 0 {
		ids, phase = unknown, rollout.Trial
	}
	for _, id := range member.RendezvousTop(service, ids, c.Exposure.UpstreamCount(phase, len(ids))) {
		t.selected[id] = true
	}
	if len(t.selected) > 0 {
		t.share = c.Exposure.Share(phase)
	}
	return t
}
