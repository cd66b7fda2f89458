// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package throttle_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/throttle"
)

const (
	// overage and slack bound the requests beyond a limit in any window, as a factor and a count.
	overage = 1.5
	slack   = 5
	// graceTime is the time after which the requests of a node count, once it has received a
	// response with a limit.
	graceTime = 500 * time.Millisecond
)

// simulation is an upstream with a limit, the gate beside it and the nodes that send requests
// there, without a network.
type simulation struct {
	random *rand.Rand

	mu         sync.Mutex
	advertised *float64 // that the upstream advertises now, or nil
	firstLimit time.Time
	changes    []change // of the limit
	gate       *throttle.Limiter
	starts     int       // of the gate's process
	passedOn   time.Time // when it first passed on a limit
	nodes      []node
	arrivals   []arrival
}

// change is a limit that applies from a time on. No limit is +Inf.
type change struct {
	at    time.Time
	limit float64
}

// node is what a sender of requests knows about the limit.
type node struct {
	limitKnownAt time.Time // when it first received a limit, zero if it has not
	limited      bool      // whether it assumes that a limit applies
	limit        float64
}

// arrival is a request or a health check that has reached the upstream.
type arrival struct {
	at           time.Time
	limitKnownAt time.Time // since when its node has known a limit, zero if it has not
}

// advertise has the upstream advertise a limit, or none if it is negative.
func (s *simulation) advertise(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := change{at: time.Now(), limit: limit}
	s.advertised = &limit
	if limit < 0 {
		s.advertised, c.limit = nil, math.Inf(1)
	} else if s.firstLimit.IsZero() {
		s.firstLimit = c.at
	}
	s.changes = append(s.changes, c)
}

// restart replaces the gate's process by a new one.
func (s *simulation) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = new(throttle.Limiter)
	s.starts++
	s.passedOn = time.Time{}
}

// draw returns a random time below the given one.
func (s *simulation) draw(most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(most)))
}

// request sends a request from a node to the upstream. The delay to the gate, the time between
// admission and writing, the run and the delay back are random.
func (s *simulation) request(i int) {
	s.mu.Lock()
	sender := s.nodes[i]
	s.mu.Unlock()
	time.Sleep(s.draw(5 * time.Millisecond))
	s.mu.Lock()
	gate, starts := s.gate, s.starts
	s.mu.Unlock()
	if sender.limited {
		gate.AdoptLimit(sender.limit)
	}
	if gate.Wait(0) > 0 {
		return
	}
	gate.Admit()
	if s.draw(10) == 0 {
		time.Sleep(s.draw(200 * time.Millisecond))
	}
	sent := time.Now()
	if gate.TryAcquire() > 0 {
		return
	}
	time.Sleep(s.draw(20 * time.Millisecond))
	s.mu.Lock()
	if s.starts != starts { // the process ended before it wrote
		s.mu.Unlock()
		return
	}
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), limitKnownAt: s.nodes[i].limitKnownAt})
	s.mu.Unlock()
	gate.MarkWritten()
	time.Sleep(s.draw(300 * time.Millisecond))
	s.mu.Lock()
	advertised := s.advertised
	ended := s.starts != starts
	s.mu.Unlock()
	if ended {
		return
	}
	time.Sleep(s.draw(2 * time.Millisecond)) // responses overtake each other
	if advertised != nil {
		gate.ObserveLimit(*advertised, sent)
	} else {
		gate.ObserveNoLimit(sent)
	}
	state := gate.State()
	time.Sleep(s.draw(5 * time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &s.nodes[i]
	switch {
	case s.starts != starts: // the response is lost with the connection
	case state.Limited:
		n.limited, n.limit = true, state.Rate
		if n.limitKnownAt.IsZero() {
			n.limitKnownAt = time.Now()
		}
		if s.passedOn.IsZero() {
			s.passedOn = time.Now()
		}
	case sender.limited:
		n.limited = false
	}
}

// healthCheck sends a health check, whose responses advertise no limit.
func (s *simulation) healthCheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate.TryHealthCheck() == 0 {
		s.arrivals = append(s.arrivals, arrival{at: time.Now(), limitKnownAt: s.passedOn})
	}
}

// allowed returns the integral of the limit over a window that ends at the given time.
func (s *simulation) allowed(end time.Time) float64 {
	var sum float64
	for i, c := range s.changes {
		from, to := c.at, end
		if i+1 < len(s.changes) && s.changes[i+1].at.Before(end) {
			to = s.changes[i+1].at
		}
		if begin := end.Add(-throttle.Window); from.Before(begin) {
			from = begin
		}
		if to.After(from) {
			sum += to.Sub(from).Seconds() * c.limit
		}
	}
	return sum
}

// worst returns the largest number of requests in a window beyond what is allowed there, and the
// largest ratio of the two.
func (s *simulation) worst() (over float64, ratio float64) {
	over = math.Inf(-1)
	slices.SortFunc(s.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for i, last := range s.arrivals {
		if last.at.Before(s.firstLimit.Add(throttle.Window)) {
			continue
		}
		count := 0
		for _, a := range s.arrivals[:i+1] {
			if last.at.Sub(a.at) < throttle.Window && !a.limitKnownAt.IsZero() && a.at.Sub(a.limitKnownAt) >= graceTime {
				count++
			}
		}
		allowed := overage*s.allowed(last.at) + slack
		over = max(over, float64(count)-allowed)
		ratio = max(ratio, float64(count)/allowed)
	}
	return over, ratio
}

// TestAnyWindow simulates hundreds of nodes while the limit changes, messages are late, and the
// processes of the gate and of nodes restart. In no window does the upstream get more requests than
// it tolerates from nodes that know the limit.
func TestAnyWindow(t *testing.T) {
	limits := map[string]func(random *rand.Rand) float64{
		"any":              func(random *rand.Rand) float64 { return random.Float64() * 40 },
		"small":            func(random *rand.Rand) float64 { return random.Float64() * 2 },
		"to a tenth":       func(random *rand.Rand) float64 { return []float64{50, 5}[random.IntN(2)] },
		"ends and returns": func(random *rand.Rand) float64 { return []float64{-1, 8}[random.IntN(2)] },
		"zero":             func(random *rand.Rand) float64 { return []float64{0, 0, 10, -1}[random.IntN(4)] },
		"steady":           func(*rand.Rand) float64 { return 9 },
	}
	for name, drawLimit := range limits {
		t.Run(name, func(t *testing.T) {
			var most float64
			for seed := range uint64(12) {
				synctest.Test(t, func(t *testing.T) {
					s := simulate(seed, drawLimit)
					over, ratio := s.worst()
					most = max(most, ratio)
					qt.Check(t, over <= 0, qt.IsTrue, qt.Commentf("seed %d: %.1f more than allowed", seed, over))
				})
			}
			t.Logf("at most %.2f of what is allowed", most)
		})
	}
}

// simulate runs a simulation for half a minute.
func simulate(seed uint64, drawLimit func(random *rand.Rand) float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(1, seed)),
		gate:   new(throttle.Limiter),
		nodes:  make([]node, 200),
	}
	choices := rand.New(rand.NewPCG(2, seed))
	var all sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	s.advertise(drawLimit(choices))
	for next := time.Now(); time.Now().Before(end); {
		time.Sleep(time.Duration(choices.Int64N(int64(20 * time.Millisecond))))
		sender := choices.IntN(len(s.nodes))
		all.Go(func() { s.request(sender) })
		if choices.IntN(4) == 0 {
			s.healthCheck()
		}
		if time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(time.Duration(choices.Int64N(int64(5 * time.Second))))
		switch choices.IntN(4) {
		case 0:
			s.restart()
		case 1:
			s.mu.Lock()
			clear(s.nodes[:len(s.nodes)/2]) // half of the nodes restart
			s.mu.Unlock()
		default:
			s.advertise(drawLimit(choices))
		}
	}
	all.Wait()
	return s
}
