// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package throttle_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/throttle"
)

// write admits and writes at once as many of the given number of requests as it may, and returns
// how many these are.
func write(l *throttle.Limiter, count int) (written int) {
	for range count {
		if l.Wait(0) > 0 || l.TryAcquire() > 0 {
			return written
		}
		l.Admit()
		l.MarkWritten()
		written++
	}
	return written
}

// TestObserveLimit observes limits in different orders, and checks which one applies then.
func TestObserveLimit(t *testing.T) {
	tests := map[string]struct {
		setUp   func(l *throttle.Limiter)
		limited bool
		rate    float64
	}{
		"nothing": {setUp: func(*throttle.Limiter) {}},
		"a limit": {setUp: func(l *throttle.Limiter) { l.ObserveLimit(5, time.Now()) }, limited: true, rate: 5},
		"lower":   {setUp: func(l *throttle.Limiter) { l.ObserveLimit(5, time.Now()); l.ObserveLimit(0.5, time.Now()) }, limited: true, rate: 0.5},
		"higher":  {setUp: func(l *throttle.Limiter) { l.ObserveLimit(5, time.Now()); l.ObserveLimit(9, time.Now()) }, limited: true, rate: 9},
		"zero":    {setUp: func(l *throttle.Limiter) { l.ObserveLimit(0, time.Now()) }, limited: true},
		"over":    {setUp: func(l *throttle.Limiter) { l.ObserveLimit(5, time.Now()); l.ObserveNoLimit(time.Now()) }},
		"another after its end": {setUp: func(l *throttle.Limiter) {
			l.ObserveLimit(5, time.Now())
			l.ObserveNoLimit(time.Now())
			l.ObserveLimit(6, time.Now())
		}, limited: true, rate: 6},
		"a delayed end":                           {setUp: func(l *throttle.Limiter) { sent := timeBeforeLimit(l); l.ObserveNoLimit(sent) }, limited: true, rate: 5},
		"a delayed higher one":                    {setUp: func(l *throttle.Limiter) { sent := timeBeforeLimit(l); l.ObserveLimit(9, sent) }, limited: true, rate: 5},
		"a delayed lower one":                     {setUp: func(l *throttle.Limiter) { sent := timeBeforeLimit(l); l.ObserveLimit(3, sent) }, limited: true, rate: 3},
		"a restart":                               {setUp: func(l *throttle.Limiter) { l.ObserveLimit(5, time.Now()); l.Reset() }},
		"from others":                             {setUp: func(l *throttle.Limiter) { l.AdoptLimit(5) }, limited: true, rate: 5},
		"from others, lowest":                     {setUp: func(l *throttle.Limiter) { l.AdoptLimit(5); l.AdoptLimit(3); l.AdoptLimit(7) }, limited: true, rate: 3},
		"from the upstream, then from others":     {setUp: func(l *throttle.Limiter) { l.ObserveLimit(5, time.Now()); l.AdoptLimit(2) }, limited: true, rate: 5},
		"from others, ended by the upstream":      {setUp: func(l *throttle.Limiter) { l.AdoptLimit(5); l.ObserveNoLimit(time.Now()) }},
		"ended by the upstream, then from others": {setUp: func(l *throttle.Limiter) { l.AdoptLimit(5); l.ObserveNoLimit(time.Now()); l.AdoptLimit(5) }},
		"a restart, then from others":             {setUp: func(l *throttle.Limiter) { l.ObserveLimit(5, time.Now()); l.Reset(); l.AdoptLimit(4) }, limited: true, rate: 4},
		"rises under requests":                    {setUp: risesUnderRequests, limited: true, rate: 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := new(throttle.Limiter)
				test.setUp(l)
				s := l.State()
				qt.Check(t, s.Limited, qt.Equals, test.limited)
				qt.Check(t, s.Rate, qt.Equals, test.rate)
				if !test.limited {
					qt.Check(t, write(l, 100), qt.Equals, 100)
				}
			})
		})
	}
}

// timeBeforeLimit observes a limit, and returns a time before it.
func timeBeforeLimit(l *throttle.Limiter) time.Time {
	sent := time.Now()
	time.Sleep(time.Millisecond)
	l.ObserveLimit(5, time.Now())
	time.Sleep(time.Millisecond)
	return sent
}

// risesUnderRequests observes a higher limit in one response after another, each to a request that was
// written while others were in flight.
func risesUnderRequests(l *throttle.Limiter) {
	l.ObserveLimit(5, time.Now())
	for range 10 {
		sent := time.Now()
		time.Sleep(10 * time.Millisecond)
		l.ObserveLimit(9, sent.Add(-5*time.Millisecond))
	}
}

// TestPace writes as many requests as it may for ten seconds.
func TestPace(t *testing.T) {
	tests := map[string]struct {
		rate        float64
		every       time.Duration // between two attempts
		least, most int
	}{
		"steady":            {rate: 9, every: time.Millisecond, least: 88, most: 91},
		"delayed at times":  {rate: 9, every: 45 * time.Millisecond, least: 86, most: 91},
		"below one":         {rate: 0.5, every: time.Millisecond, least: 4, most: 6},
		"zero":              {rate: 0, every: time.Millisecond, least: 2, most: 3},
		"a huge number":     {rate: 1e6, every: time.Millisecond, least: 100000, most: 1e7},
		"many":              {rate: 400, every: 10 * time.Millisecond, least: 3900, most: 4030},
		"rarely tried":      {rate: 9, every: time.Second, least: 9, most: 20},
		"every two seconds": {rate: 1, every: 2 * time.Second, least: 4, most: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := new(throttle.Limiter)
				l.ObserveLimit(test.rate, time.Now())
				var written int
				for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(test.every) {
					written += write(l, 100)
				}
				qt.Check(t, written >= test.least && written <= test.most, qt.IsTrue, qt.Commentf("%d", written))
			})
		})
	}
}

// TestLimitFalls has a limit fall during a surge. What was written before counts until it is a window
// old.
func TestLimitFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := new(throttle.Limiter)
		l.ObserveLimit(50, time.Now())
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			write(l, 10)
		}
		l.ObserveLimit(5, time.Now())
		wait := l.Wait(0)
		qt.Check(t, wait > 3*time.Second && wait < throttle.Window, qt.IsTrue, qt.Commentf("%v", wait))
		qt.Check(t, l.TryAcquire() > 0, qt.IsTrue)
		time.Sleep(wait)
		qt.Check(t, l.Wait(0), qt.Equals, time.Duration(0))
		qt.Check(t, write(l, 100), qt.Equals, 1)
	})
}

// TestLimitEndsBriefly has a limit end for some time, in which many requests are written. They count
// if the limit is back within a window, and do not otherwise.
func TestLimitEndsBriefly(t *testing.T) {
	for name, test := range map[string]struct {
		ended time.Duration
		waits bool
	}{
		"a moment": {ended: time.Second, waits: true},
		"a window": {ended: throttle.Window},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := new(throttle.Limiter)
				l.ObserveLimit(5, time.Now())
				l.ObserveNoLimit(time.Now())
				time.Sleep(test.ended)
				write(l, 200)
				l.ObserveLimit(5, time.Now())
				time.Sleep(300 * time.Millisecond) // for a token
				qt.Check(t, l.Wait(0) > 0, qt.Equals, test.waits)
			})
		})
	}
}

// TestHealthChecks sends health checks as often as it may.
func TestHealthChecks(t *testing.T) {
	for name, test := range map[string]struct {
		rate float64
		most int
	}{
		"no limit":  {rate: -1, most: 4000},
		"many":      {rate: 100, most: 121},
		"few":       {rate: 5, most: 7},
		"below one": {rate: 0.5, most: 1},
		"zero":      {rate: 0, most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := new(throttle.Limiter)
				if test.rate >= 0 {
					l.ObserveLimit(test.rate, time.Now())
				}
				var checks int
				for range 4000 {
					if l.TryHealthCheck() == 0 {
						checks++
					}
					time.Sleep(time.Millisecond)
				}
				qt.Check(t, checks <= test.most && checks >= 1, qt.IsTrue, qt.Commentf("%d", checks))
			})
		})
	}
}

// TestRetryAfter has many requests refused at once. Their retries are spread at the rate of the limit.
func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := new(throttle.Limiter)
		qt.Check(t, l.RetryAfter(time.Second), qt.Equals, time.Second, qt.Commentf("no limit"))
		l.ObserveLimit(10, time.Now())
		last := time.Duration(0)
		for i := range 20 {
			wait := l.RetryAfter(200 * time.Millisecond)
			qt.Check(t, wait, qt.Equals, 200*time.Millisecond+time.Duration(i)*100*time.Millisecond)
			last = wait
		}
		time.Sleep(last)
		qt.Check(t, l.RetryAfter(0), qt.Equals, 100*time.Millisecond, qt.Commentf("after the last one"))
		time.Sleep(time.Second)
		qt.Check(t, l.RetryAfter(0), qt.Equals, time.Duration(0))
		for range 200 {
			wait := l.RetryAfter(50 * time.Millisecond)
			qt.Check(t, wait <= 50*time.Millisecond+throttle.Window, qt.IsTrue)
		}
		qt.Check(t, l.State().Refused, qt.Equals, uint64(222))
	})
}

// TestCancel cancels requests that were let through.
func TestCancel(t *testing.T) {
	l := new(throttle.Limiter)
	l.ObserveLimit(1, time.Now())
	for range 100 {
		qt.Assert(t, l.TryAcquire(), qt.Equals, time.Duration(0))
		l.Cancel()
	}
	qt.Check(t, l.State().Written, qt.Equals, 0)
}

// BenchmarkTryAcquire lets requests through to an upstream that advertises no limit, as nearly all do,
// and to one whose limit is not reached.
func BenchmarkTryAcquire(b *testing.B) {
	for name, rate := range map[string]float64{"none": -1, "a limit": 1e6} {
		b.Run(name, func(b *testing.B) {
			l := new(throttle.Limiter)
			if rate >= 0 {
				l.ObserveLimit(rate, time.Now())
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = l.Wait(0)
				l.Admit()
				if l.TryAcquire() == 0 {
					l.MarkWritten()
				}
			}
		})
	}
}
