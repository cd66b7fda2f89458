// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfront.example/rollout"
)

// randomSystem is a random system of entries and upstreams. Some nodes learn of phases late, or are
// partitioned for a time.
type randomSystem struct {
	entries, upstreams []*simNode
	phases             []rollout.Phase // at the judge, by step
}

// simNode is a node that learns of phases after some steps, and of none while it is partitioned.
type simNode struct {
	delay    int
	from, to int // steps in which it is partitioned
	phase    rollout.Phase
	lease    int // the last step in which a judge accepted its report, for the node of an upstream
}

func (h *simNode) partitioned(step int) bool { return step >= h.from && step < h.to }

// deliver delivers the phase that reaches the node in a step.
func (d *randomSystem) deliver(h *simNode, step int) {
	if h.partitioned(step) {
		return
	}
	if at := step - h.delay; at >= 0 && at < len(d.phases) {
		h.phase = max(h.phase, d.phases[at])
	}
}

// randomNode returns a random node: it learns of phases within half a second, and one in four is partitioned
// for up to eight seconds.
func randomNode(random *rand.Rand, steps int) *simNode {
	h := &simNode{delay: random.IntN(3)}
	if random.IntN(4) == 0 {
		h.from = random.IntN(steps)
		h.to = h.from + random.IntN(32)
	}
	return h
}

// TestExposureInRandomSystems simulates the roll-out of a faulty version where entries and upstreams learn
// of phases late and are partitioned. The fault begins at any time up to the step in which half of the
// requests move. In all cases the version gets at most its share of all requests, and none from five
// seconds after its fiftieth failure on.
func TestExposureInRandomSystems(t *testing.T) {
	const (
		step     = 250 * time.Millisecond
		duration = 14 * time.Second
		exposure = rollout.Exposure(0.1)
		perEntry = 2 // requests per step
		slack    = 50
		leases   = 8  // steps for which an upstream runs requests after a judge has accepted a report
		rollback = 20 // steps after the fiftieth failure
	)
	steps := int(duration / step)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 7))
		begins := rapid.IntRange(0, 30).Draw(t, "first step of the fault")
		fails := rapid.Float64Range(0.4, 1).Draw(t, "share of its requests that fail")
		d := new(randomSystem)
		for range 90 {
			d.entries = append(d.entries, randomNode(random, steps))
		}
		for range 60 {
			d.upstreams = append(d.upstreams, randomNode(random, steps))
		}
		order := rollout.Order{Service: "s", Version: "v2", Duration: duration}
		start := time.Unix(1e9, 0)
		judge := rollout.Judge{Order: order, StartedAt: start}
		state := rollout.State{Order: order}
		former, next := make(map[int]rollout.Tally), make(map[int]rollout.Tally)
		sent, atNext, failures, fiftieth, last := 0, 0, 0, 0, 0
		for n := range steps {
			d.phases = append(d.phases, state.Phase)
			for _, h := range append(d.entries, d.upstreams...) {
				d.deliver(h, n)
			}
			for i, u := range d.upstreams {
				if u.partitioned(n) || u.phase >= rollout.Stopped {
					continue
				}
				u.lease = n
				judge.Observe(fmt.Sprint("new", i), rollout.Report{Version: "v2", StartID: 1, Classes: map[string]rollout.Tally{"c": next[i]}}, start.Add(time.Duration(n)*step))
			}
			for i, r := range former {
				judge.Observe(fmt.Sprint("old", i), rollout.Report{Version: "v1", StartID: 1, Classes: map[string]rollout.Tally{"c": r}}, start.Add(time.Duration(n)*step))
			}
			for _, e := range d.entries {
				for range perEntry {
					sent++
					took := usualRun/2 + time.Duration(random.Int64N(int64(usualRun)))
					inUse := exposure.UpstreamCount(e.phase, len(d.upstreams))
					if inUse > 0 && random.Float64() < exposure.Share(e.phase) {
						i := random.IntN(inUse)
						if u := d.upstreams[i]; u.phase < rollout.Stopped && n-u.lease <= leases {
							failed := n >= begins && random.Float64() < fails
							next[i] = next[i].WithRequest(failed, took)
							atNext++
							last = n
							if failed {
								if failures++; failures == 50 {
									fiftieth = n
								}
							}
							continue
						}
					}
					i := random.IntN(60)
					former[i] = former[i].WithRequest(random.Float64() < 0.005, took)
				}
			}
			phase, reason := judge.Step(state, true, start.Add(time.Duration(n+1)*step))
			state = state.WithPhase(phase, reason, "n", start)
		}
		if atNext > int(float64(exposure)*float64(sent))+slack {
			t.Fatalf("%d of %d requests, %d failed, ends in %v: %s", atNext, sent, failures, state.Phase, state.Reason)
		}
		if failures >= 50 && last-fiftieth > rollback {
			t.Fatalf("the last request came %v after the fiftieth failure", time.Duration(last-fiftieth)*step)
		}
	})
}
