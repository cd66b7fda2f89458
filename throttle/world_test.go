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
	// overage and slack are what may come beyond a limit in any window, as a factor and a count.
	overage = 1.5
	slack   = 5
	// known is how long after a node has passed on an answer with a limit its requests count.
	known = 500 * time.Millisecond
)

// world is a limited upstream with the gate beside it and the nodes that send requests there,
// played without network.
type world struct {
	random *rand.Rand

	mu       sync.Mutex
	limit    *float64 // that the upstream names now, or nil
	first    time.Time
	changes  []change // of the limit
	gate     *throttle.Limiter
	started  int       // of the gate's process
	told     time.Time // when it passed on a limit first
	nodes    []node
	arrivals []arrival
}

// change is a limit from a moment on. No limit is +Inf.
type change struct {
	at    time.Time
	limit float64
}

// node is what a sender of requests has been told.
type node struct {
	told  time.Time // first, zero if nothing
	knows bool      // whether a limit holds, as far as it knows
	limit float64
}

// arrival is a request or question that has come to the upstream.
type arrival struct {
	at   time.Time
	told time.Time // since when its node knew of a limit, zero if it did not
}

// name has the upstream name a limit, or none if it is negative.
func (w *world) name(limit float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := change{at: time.Now(), limit: limit}
	w.limit = &limit
	if limit < 0 {
		w.limit, c.limit = nil, math.Inf(1)
	} else if w.first.IsZero() {
		w.first = c.at
	}
	w.changes = append(w.changes, c)
}

// restart has another process take the gate's place.
func (w *world) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gate = new(throttle.Limiter)
	w.started++
	w.told = time.Time{}
}

// draw returns a time up to the given one.
func (w *world) draw(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(most)))
}

// request sends a request from a node to the upstream: the way to the gate, a hold-up between
// admission and writing, the run and the way back are drawn.
func (w *world) request(i int) {
	w.mu.Lock()
	sender := w.nodes[i]
	w.mu.Unlock()
	time.Sleep(w.draw(5 * time.Millisecond))
	w.mu.Lock()
	gate, started := w.gate, w.started
	w.mu.Unlock()
	if sender.knows {
		gate.AdoptLimit(sender.limit)
	}
	if gate.Wait(0) > 0 {
		return
	}
	gate.Admit()
	if w.draw(10) == 0 {
		time.Sleep(w.draw(200 * time.Millisecond))
	}
	asked := time.Now()
	if gate.TryAcquire() > 0 {
		return
	}
	time.Sleep(w.draw(20 * time.Millisecond))
	w.mu.Lock()
	if w.started != started { // it was ended before it wrote
		w.mu.Unlock()
		return
	}
	w.arrivals = append(w.arrivals, arrival{at: time.Now(), told: w.nodes[i].told})
	w.mu.Unlock()
	gate.MarkWritten()
	time.Sleep(w.draw(300 * time.Millisecond))
	w.mu.Lock()
	limit := w.limit
	ended := w.started != started
	w.mu.Unlock()
	if ended {
		return
	}
	time.Sleep(w.draw(2 * time.Millisecond)) // answers overtake each other
	if limit != nil {
		gate.ObserveLimit(*limit, asked)
	} else {
		gate.ObserveNoLimit(asked)
	}
	s := gate.State()
	time.Sleep(w.draw(5 * time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	n := &w.nodes[i]
	switch {
	case w.started != started: // the answer is lost with the connection
	case s.Limited:
		n.knows, n.limit = true, s.Rate
		if n.told.IsZero() {
			n.told = time.Now()
		}
		if w.told.IsZero() {
			w.told = time.Now()
		}
	case sender.knows:
		n.knows = false
	}
}

// question asks the health check, whose answers name no limit.
func (w *world) question() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gate.TryHealthCheck() == 0 {
		w.arrivals = append(w.arrivals, arrival{at: time.Now(), told: w.told})
	}
}

// allowed returns the integral of the limit over a window that ends at the given time.
func (w *world) allowed(end time.Time) float64 {
	var sum float64
	for i, c := range w.changes {
		from, to := c.at, end
		if i+1 < len(w.changes) && w.changes[i+1].at.Before(end) {
			to = w.changes[i+1].at
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
// largest share of that.
func (w *world) worst() (over float64, share float64) {
	over = math.Inf(-1)
	slices.SortFunc(w.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for i, last := range w.arrivals {
		if last.at.Before(w.first.Add(throttle.Window)) {
			continue
		}
		count := 0
		for _, a := range w.arrivals[:i+1] {
			if last.at.Sub(a.at) < throttle.Window && !a.told.IsZero() && a.at.Sub(a.told) >= known {
				count++
			}
		}
		allowed := overage*w.allowed(last.at) + slack
		over = max(over, float64(count)-allowed)
		share = max(share, float64(count)/allowed)
	}
	return over, share
}

// TestAnyWindow plays worlds of hundreds of nodes in which the limit moves, messages are late and
// the process of the gate and those of nodes start anew: in no window does the upstream get more
// than it bears from nodes that have been told.
func TestAnyWindow(t *testing.T) {
	moves := map[string]func(random *rand.Rand) float64{
		"any":         func(random *rand.Rand) float64 { return random.Float64() * 40 },
		"small":       func(random *rand.Rand) float64 { return random.Float64() * 2 },
		"to a tenth":  func(random *rand.Rand) float64 { return []float64{50, 5}[random.IntN(2)] },
		"over, again": func(random *rand.Rand) float64 { return []float64{-1, 8}[random.IntN(2)] },
		"zero":        func(random *rand.Rand) float64 { return []float64{0, 0, 10, -1}[random.IntN(4)] },
		"steady":      func(*rand.Rand) float64 { return 9 },
	}
	for name, move := range moves {
		t.Run(name, func(t *testing.T) {
			var most float64
			for seed := range uint64(12) {
				synctest.Test(t, func(t *testing.T) {
					w := play(seed, move)
					over, share := w.worst()
					most = max(most, share)
					qt.Check(t, over <= 0, qt.IsTrue, qt.Commentf("seed %d: %.1f more than allowed", seed, over))
				})
			}
			t.Logf("at most %.2f of what is allowed", most)
		})
	}
}

// play plays a world for half a minute.
func play(seed uint64, move func(random *rand.Rand) float64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(1, seed)),
		gate:   new(throttle.Limiter),
		nodes:  make([]node, 200),
	}
	drawn := rand.New(rand.NewPCG(2, seed))
	var all sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	w.name(move(drawn))
	for next := time.Now(); time.Now().Before(end); {
		time.Sleep(time.Duration(drawn.Int64N(int64(20 * time.Millisecond))))
		sender := drawn.IntN(len(w.nodes))
		all.Go(func() { w.request(sender) })
		if drawn.IntN(4) == 0 {
			w.question()
		}
		if time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(time.Duration(drawn.Int64N(int64(5 * time.Second))))
		switch drawn.IntN(4) {
		case 0:
			w.restart()
		case 1:
			w.mu.Lock()
			clear(w.nodes[:len(w.nodes)/2]) // half of the nodes start anew
			w.mu.Unlock()
		default:
			w.name(move(drawn))
		}
	}
	all.Wait()
	return w
}
