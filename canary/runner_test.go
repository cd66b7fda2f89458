// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package canary

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/rollout"
)

const lease = 2 * time.Second

// store is a platform with one order, whose status is the name of a phase.
type store struct {
	objectapi.PollingAPI
	mu          sync.Mutex
	revision    int
	status      string
	writes      []string
	unavailable bool
	between     func() // called once before a write
}

var errUnavailable = errors.New("unavailable")

func (s *store) object() *objectapi.Object {
	o := objectapi.NewObject("rollout", "s", s.status).WithResourceVersion(strconv.Itoa(s.revision))
	if s.status != "" {
		o = o.WithStatus(s.status)
	}
	return o
}

// Get implements objectapi.Objects.
func (s *store) Get(context.Context, string, string) (*objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, errUnavailable
	}
	return s.object(), nil
}

// UpdateStatus implements objectapi.PollingAPI.
func (s *store) UpdateStatus(_ context.Context, o *objectapi.Object) (*objectapi.Object, error) {
	if f := s.between; f != nil {
		s.between = nil
		f()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, errUnavailable
	}
	if o.Metadata.ResourceVersion != strconv.Itoa(s.revision) {
		return nil, &objectapi.Error{Status: 409, Err: errors.New("conflict")}
	}
	s.revision++
	s.status, _ = strconv.Unquote(string(o.Status))
	s.writes = append(s.writes, s.status)
	return s.object(), nil
}

var order = rollout.Order{
	Service:         "s",
	Version:         "v2",
	Duration:        10 * time.Second,
	ResourceVersion: objectapi.ResourceVersion{Revision: 1},
}

// decode decodes the order of the store.
func decode(o *objectapi.Object) (rollout.StoredOrder, error) {
	f := rollout.StoredOrder{Order: order}
	f.Order.ResourceVersion, _ = objectapi.ParseResourceVersion(o.Metadata.ResourceVersion)
	switch string(o.Status) {
	case `"completed"`:
		f.Outcome = rollout.Completed
	case `"rolledBack"`:
		f.Outcome = rollout.RolledBack
	}
	return f, nil
}

// testNetwork is a set of nodes that know one roll-out. Their decisions reach all of them at once.
type testNetwork struct {
	store    *store
	mu       sync.Mutex
	known    rollout.LocalState
	noJudge  bool // whether no judge is reachable
	withheld map[string]bool
}

// node returns a node beside an upstream of a version, for which the judge is the node so named.
func (w *testNetwork) node(name, version, judge string) *Runner {
	return &Runner{
		Hello:    peer.Hello{Node: name},
		API:      w.store,
		Decode:   decode,
		Status:   func(_ string, p rollout.Phase) any { return p.String() },
		Lease:    lease,
		Rollouts: func() map[string]rollout.LocalState { return map[string]rollout.LocalState{"s": w.current()} },
		Judges: func(string) []Peer {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.noJudge {
				return nil
			}
			return []Peer{{ID: judge}}
		},
		Capacities: func(string) map[string]rollout.VersionCapacity {
			return map[string]rollout.VersionCapacity{"v1": {Upstreams: 1, Slots: 8}, "v2": {Upstreams: 1, Slots: 8}}
		},
		Upstream: func() Upstream { return Upstream{Service: "s", Version: version, StartID: "i"} },
		SetWithheld: func(withheld bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.withheld[name] = withheld
		},
		Decided: w.decide,
		Log:     zerolog.Nop(),
	}
}

// current returns the roll-out as known to all nodes.
func (w *testNetwork) current() rollout.LocalState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known
}

// decide applies a decision if it ranks above the current state.
func (w *testNetwork) decide(s rollout.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Phase > w.known.Phase {
		w.known.State = s
		w.known.Changed = time.Now()
	}
}

func newTestNetwork() *testNetwork {
	return &testNetwork{
		store:    &store{revision: 1},
		known:    rollout.LocalState{State: rollout.State{Order: order}, Received: time.Now(), Changed: time.Now()},
		withheld: make(map[string]bool),
	}
}

// TestLease checks that the node beside a canary upstream withholds it when no judge responds for
// longer than the lease.
func TestLease(t *testing.T) {
	tests := map[string]struct {
		version    string
		phase      rollout.Phase
		noJudgeFor time.Duration // for how long no judge is reachable
		want       bool          // whether the upstream is withheld after that
	}{
		"canary":                                 {version: "v2"},
		"canary, no judge for less than a lease": {version: "v2", noJudgeFor: lease / 2},
		"canary, no judge for more than a lease": {version: "v2", noJudgeFor: lease + time.Second, want: true},
		"the former version needs no judge":      {version: "v1", noJudgeFor: lease + time.Second},
		"unknown version":                        {version: "", want: true},
		"stopped":                                {version: "v2", phase: rollout.Stopped, want: true},
		"rolled back":                            {version: "v2", phase: rollout.RolledBack, want: true},
		"completed":                              {version: "v2", phase: rollout.Completed, noJudgeFor: lease + time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestNetwork()
				w.known.Phase = test.phase
				r := w.node("n", test.version, "n")
				ctx, cancel := context.WithCancel(t.Context())
				go r.Run(ctx)
				time.Sleep(2 * time.Second)
				w.mu.Lock()
				w.noJudge = true
				w.mu.Unlock()
				r.mu.Lock()
				r.candidatesCachedAt = time.Time{}
				r.mu.Unlock()
				time.Sleep(test.noJudgeFor)
				w.mu.Lock()
				got := w.withheld["n"]
				w.noJudge = false
				w.mu.Unlock()
				qt.Check(t, got, qt.Equals, test.want)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestOutcomes checks that when nodes record different outcomes concurrently, also on a platform that is
// unavailable for a while, the first one stays and all nodes adopt it.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		first, second  rollout.Phase
		unavailableFor time.Duration
		stored         string
	}{
		"both rolled back":               {first: rollout.RolledBack, second: rollout.RolledBack, stored: "rolledBack"},
		"completed by another meanwhile": {first: rollout.RolledBack, second: rollout.Completed, stored: "completed"},
		"rolled back by another":         {first: rollout.Completed, second: rollout.RolledBack, stored: "rolledBack"},
		"the platform is unavailable":    {first: rollout.RolledBack, second: rollout.RolledBack, unavailableFor: 8 * time.Second, stored: "rolledBack"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestNetwork()
				w.store.unavailable = test.unavailableFor > 0
				one, other := w.node("a", "v1", "a"), w.node("b", "v1", "b")
				one.init()
				other.init()
				w.store.between = func() {
					_, err := other.write(t.Context(), w.current().WithPhase(test.second, "", "b", time.Now()))
					qt.Check(t, err, qt.IsNil)
				}
				began := time.Now()
				for !w.current().Phase.Settled() && time.Since(began) < time.Minute {
					w.store.mu.Lock()
					w.store.unavailable = time.Since(began) < test.unavailableFor
					w.store.mu.Unlock()
					one.mu.Lock()
					one.record(t.Context(), one.judgementOf(w.current()), w.current().WithPhase(test.first, "", "a", time.Now()), time.Now())
					one.mu.Unlock()
					time.Sleep(stepInterval)
				}
				qt.Check(t, w.store.status, qt.Equals, test.stored)
				qt.Check(t, w.store.writes, qt.DeepEquals, []string{test.stored}, qt.Commentf("it is written once"))
				qt.Check(t, w.current().Phase.String(), qt.Equals, test.stored)
			})
		})
	}
}

// TestJudgeRefusedByPlatform guards against a faulty version that keeps getting requests while the platform
// refuses the judge, as it may do with a third of the nodes: the judge stops the roll-out anyway, and the
// outcome is recorded later.
func TestJudgeRefusedByPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestNetwork()
		w.store.unavailable = true
		judge := w.node("a", "v1", "a")
		others := map[string]*Runner{"b": w.node("b", "v2", "a"), "c": w.node("c", "v2", "a")}
		ctx, cancel := context.WithCancel(t.Context())
		go judge.Run(ctx)
		for began := time.Now(); w.current().Phase < rollout.Stopped && time.Since(began) < 4*time.Second; {
			for range 20 {
				judge.RecordRequest("class", false, 10*time.Millisecond)
				for _, r := range others {
					r.RecordRequest("class", true, 10*time.Millisecond)
				}
			}
			for name, r := range others {
				qt.Check(t, judge.observe(name, rollout.Report{Service: "s", Version: "v2", StartID: 1, Classes: map[string]rollout.Tally{"class": r.classes["class"]}}), qt.IsNil)
			}
			time.Sleep(stepInterval)
		}
		qt.Check(t, w.current().Phase, qt.Equals, rollout.Stopped)
		w.store.mu.Lock()
		w.store.unavailable = false
		w.store.mu.Unlock()
		for range 4 * 8 {
			for name := range others {
				_ = judge.observe(name, rollout.Report{Service: "s", Version: "v2", StartID: 1}) // refused for declineFor
			}
			time.Sleep(stepInterval)
		}
		qt.Check(t, w.current().Phase, qt.Equals, rollout.RolledBack)
		cancel()
		synctest.Wait()
	})
}
