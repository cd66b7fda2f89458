// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package coldstart_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sassafrasfront.example/coldstart"
)

// limit is the number of requests that the tests allow in any second.
const limit = 5

// newLimiter returns a Limiter whose upstream has not been sent anything yet.
func newLimiter() *coldstart.Limiter {
	l := new(coldstart.Limiter)
	l.SetLimit(limit)
	l.Reset()
	return l
}

// TestTryAcquire counts how many of many simultaneous requests are let through.
func TestTryAcquire(t *testing.T) {
	tests := map[string]struct {
		setUp func(l *coldstart.Limiter)
		want  int
	}{
		"warm":                   {setUp: func(*coldstart.Limiter) {}, want: 100},
		"cold":                   {setUp: func(l *coldstart.Limiter) { l.SetRemaining(time.Minute) }, want: limit},
		"warm again":             {setUp: func(l *coldstart.Limiter) { l.SetRemaining(time.Minute); l.SetRemaining(0) }, want: 100},
		"the cold time is over":  {setUp: func(l *coldstart.Limiter) { l.SetRemaining(time.Second); time.Sleep(time.Second) }, want: 100},
		"an outdated report":     {setUp: func(l *coldstart.Limiter) { l.SetRemaining(time.Minute); l.ExtendRemaining(0) }, want: limit},
		"turns cold after three": {setUp: func(l *coldstart.Limiter) { acquireAll(l, 3); l.SetRemaining(time.Minute) }, want: limit - 3},
		"turns cold after many":  {setUp: func(l *coldstart.Limiter) { acquireAll(l, 50); l.SetRemaining(time.Minute) }, want: 0},
		"after many, long ago": {setUp: func(l *coldstart.Limiter) {
			acquireAll(l, 50)
			time.Sleep(2 * time.Second)
			l.SetRemaining(time.Minute)
		}, want: limit},
		"the upstream restarts": {setUp: func(l *coldstart.Limiter) { acquireAll(l, 50); l.SetRemaining(time.Minute); l.Reset() }, want: limit},
		"the gate restarts":     {setUp: func(l *coldstart.Limiter) { l.SetLimit(0); l.SetLimit(limit); l.SetRemaining(time.Minute) }, want: 0},
		"the gate restarts, two seconds later": {setUp: func(l *coldstart.Limiter) {
			l.SetLimit(0)
			l.SetLimit(limit)
			l.SetRemaining(time.Minute)
			time.Sleep(2 * time.Second)
		}, want: limit},
		"no limit": {setUp: func(l *coldstart.Limiter) { l.SetLimit(0); l.SetRemaining(time.Minute) }, want: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLimiter()
				test.setUp(l)
				qt.Check(t, acquireAll(l, 100), qt.Equals, test.want)
			})
		})
	}
}

// acquireAll sends the given number of requests at once, and returns how many were let through.
func acquireAll(l *coldstart.Limiter, count int) (acquired int) {
	for range count {
		if p, _ := l.TryAcquire(); p != nil {
			p.MarkWritten()
			acquired++
		}
	}
	return acquired
}

// TestAnySecond has requests arrive at any times while the upstream turns cold and warm. In no
// second in which it is cold throughout does it get more than the limit, and a request that
// has to wait is let through after that time if no other arrives.
func TestAnySecond(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 300).Draw(r, "gaps")
		coldAt := rapid.SliceOfN(rapid.IntRange(0, 30), 0, 10).Draw(r, "turns")
		synctest.Test(t, func(t *testing.T) {
			l := newLimiter()
			var sent []time.Time
			for i, gap := range gaps {
				time.Sleep(time.Duration(gap) * time.Millisecond)
				for _, index := range coldAt {
					if index == i%31 {
						l.SetRemaining(3 * time.Second)
					}
				}
				_, limited := l.Limit()
				p, wait := l.TryAcquire()
				if p == nil {
					time.Sleep(wait)
					if p, _ = l.TryAcquire(); p == nil {
						r.Fatalf("not let through after %v", wait)
					}
					_, limited = l.Limit()
				}
				p.MarkWritten()
				now := time.Now()
				sent = append(sent, now)
				if n := within(sent, now); limited && n > limit {
					r.Fatalf("%d within a second", n)
				}
			}
		})
	})
}

// within returns how many of the times are in the second that ends now.
func within(sent []time.Time, now time.Time) (n int) {
	for _, at := range sent {
		if age := now.Sub(at); age >= 0 && age < time.Second {
			n++
		}
	}
	return n
}

// TestPausedProcess pauses the process at times between letting a request through and writing
// it, so that several requests are written at once. In no second may more than the limit be
// written.
//
// It guards against a failure where an instance with a CPU quota period of 100 ms wrote 32
// requests in a second, although it let 29 through and 30 were allowed.
func TestPausedProcess(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			l := newLimiter()
			l.SetRemaining(time.Minute)
			var mu sync.Mutex
			var written []time.Time
			var all sync.WaitGroup
			pausedUntil := time.Now() // until when the process is paused
			for range 2000 {
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				if random.IntN(10) == 0 {
					pausedUntil = time.Now().Add(time.Duration(random.IntN(300)) * time.Millisecond)
				}
				p, _ := l.TryAcquire()
				if p == nil {
					continue
				}
				until := pausedUntil
				all.Go(func() {
					time.Sleep(time.Until(until))
					mu.Lock()
					written = append(written, time.Now())
					mu.Unlock()
					p.MarkWritten()
				})
			}
			all.Wait()
			for _, at := range written {
				qt.Assert(t, within(written, at) <= limit, qt.IsTrue, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestWait checks when further requests may be sent after the limit has been reached.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter()
		l.SetRemaining(time.Minute)
		acquireAll(l, 3)
		time.Sleep(500 * time.Millisecond)
		acquireAll(l, 2)
		first, second := l.Wait(0), l.Wait(3)
		qt.Check(t, first > 500*time.Millisecond && first < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", first))
		qt.Check(t, second-first, qt.Equals, 500*time.Millisecond)
		qt.Check(t, l.Wait(limit)-first > time.Second, qt.IsTrue)
		l.SetRemaining(100 * time.Millisecond)
		qt.Check(t, l.Wait(2*limit), qt.Equals, 100*time.Millisecond, qt.Commentf("it is warm then"))
	})
}

// BenchmarkTryAcquire lets requests through to a warm upstream, as nearly all are.
func BenchmarkTryAcquire(b *testing.B) {
	l := new(coldstart.Limiter)
	l.SetLimit(limit)
	for b.Loop() {
		p, _ := l.TryAcquire()
		p.MarkWritten()
	}
}
