// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/retry"
	"sassafrasfront.example/verdict"
)

func TestBudgetIsAShare(t *testing.T) {
	b := &retry.Budget{Share: 0.1, Burst: 5}
	var taken int
	for range 1000 {
		b.RecordRequest()
		for b.Take() {
			taken++
		}
	}
	qt.Check(t, taken >= 100 && taken <= 105, qt.IsTrue, qt.Commentf("%d of 1000", taken))
	var none retry.Budget
	qt.Check(t, none.Take(), qt.IsFalse)
}

func TestShouldRetry(t *testing.T) {
	second := time.Second
	tests := map[string]struct {
		err        *verdict.Error
		idempotent bool
		attempts   int
		remaining  time.Duration
		noBudget   bool
		want       bool
	}{
		"refused":                         {err: verdict.New(verdict.Refused, nil), attempts: 1, remaining: second, want: true},
		"refused, no budget needed":       {err: verdict.New(verdict.Refused, nil), attempts: 1, remaining: second, noBudget: true, want: true},
		"refused for the third time":      {err: verdict.New(verdict.Refused, nil), attempts: 3, remaining: second},
		"refused, no time left":           {err: verdict.New(verdict.Refused, nil), attempts: 1, remaining: time.Microsecond},
		"lost, idempotent":                {err: verdict.New(verdict.PeerLost, nil), idempotent: true, attempts: 1, remaining: second, want: true},
		"lost, idempotent, no budget":     {err: verdict.New(verdict.PeerLost, nil), idempotent: true, attempts: 1, remaining: second, noBudget: true},
		"lost, not idempotent":            {err: verdict.New(verdict.PeerLost, nil), attempts: 1, remaining: second},
		"shed by the upstream":            {err: verdict.New(verdict.UpstreamRefused, nil), attempts: 1, remaining: second, want: true},
		"shed by the upstream, no budget": {err: verdict.New(verdict.UpstreamRefused, nil), attempts: 1, remaining: second, noBudget: true},
		"given up by a later hop":         {err: verdict.New(verdict.UpstreamRefused, nil).WithGivenUp(), idempotent: true, attempts: 1, remaining: second},
		"truncated response":              {err: verdict.New(verdict.ResponseTruncated, nil), idempotent: true, attempts: 1, remaining: second},
		"timed out":                       {err: verdict.New(verdict.TimedOut, nil), idempotent: true, attempts: 1, remaining: second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := &retry.Budget{Share: 0.1, Burst: 1}
			if test.noBudget {
				budget.Take()
			}
			p := retry.Policy{MaxAttempts: 3, Budget: budget, MinRemaining: time.Millisecond}
			qt.Check(t, p.ShouldRetry(test.err, test.idempotent, test.attempts, test.remaining), qt.Equals, test.want)
		})
	}
}

func TestLatencyQuantile(t *testing.T) {
	var l retry.Latency
	_, ok := l.Quantile(0.95)
	qt.Check(t, ok, qt.IsFalse)
	for i := range 1024 {
		l.Observe(time.Duration(i%100) * time.Millisecond)
	}
	got, ok := l.Quantile(0.95)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, got >= 90*time.Millisecond && got <= 99*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

func ExamplePolicy_ShouldRetry() {
	p := retry.Policy{MaxAttempts: 3, Budget: &retry.Budget{Share: 0.1, Burst: 10}}
	lost := verdict.New(verdict.PeerLost, nil)
	fmt.Println(p.ShouldRetry(lost, false, 1, time.Second))
	fmt.Println(p.ShouldRetry(lost, true, 1, time.Second))
	// Output:
	// false
	// true
}

// TestBudgetOfManyProcesses has many processes with a small part each of one budget. Together
// they use about as much as they may, and not more.
func TestBudgetOfManyProcesses(t *testing.T) {
	const processes = 1000
	tests := map[string]struct {
		share, burst float64
		requests     int // of each process
		least, most  int // extra ones of all together
	}{
		"a burst of under one each":    {burst: 0.76, requests: 5, least: 680, most: 840},
		"a share of under one each":    {share: 0.06, requests: 5, least: 230, most: 370},
		"more than one each":           {share: 0.06, burst: 0.76, requests: 50, least: 3600, most: 3900},
		"a burst without any requests": {burst: 0.25, least: 170, most: 330},
		"neither, and none is taken":   {requests: 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var taken int
			for range processes {
				b := &retry.Budget{Share: test.share, Burst: test.burst}
				for range test.requests {
					b.RecordRequest()
				}
				for range 100 {
					if b.Take() {
						taken++
					}
				}
			}
			qt.Check(t, taken >= test.least && taken <= test.most, qt.IsTrue, qt.Commentf("%d", taken))
		})
	}
}

// TestBudgetWindow checks that a used budget is available again when the window is over.
func TestBudgetWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &retry.Budget{Share: 0.1, Burst: 5, Window: 10 * time.Second}
		spend := func() (n int) {
			for b.Take() {
				n++
			}
			return n
		}
		for range 100 {
			b.RecordRequest()
		}
		first := spend()
		qt.Check(t, first >= 15 && first <= 16, qt.IsTrue, qt.Commentf("%d", first))
		time.Sleep(8 * time.Second)
		qt.Check(t, spend() <= 1, qt.IsTrue)
		time.Sleep(4 * time.Second)
		second := spend()
		qt.Check(t, second >= 4 && second <= 6, qt.IsTrue, qt.Commentf("%d", second))
		time.Sleep(time.Hour)
		qt.Check(t, spend() >= 5, qt.IsTrue)
	})
}

func TestHedgeDelay(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct{ slow, usual, objective, want time.Duration }{
		"few are slow":       {slow: 200 * ms, usual: 100 * ms, objective: 500 * ms, want: 200 * ms},
		"many are slow":      {slow: 2000 * ms, usual: 500 * ms, objective: 1500 * ms, want: 1000 * ms},
		"a tight objective":  {slow: 200 * ms, usual: 100 * ms, objective: 150 * ms, want: 200 * ms},
		"no objective":       {slow: 200 * ms, usual: 100 * ms, want: 200 * ms},
		"barely enough time": {slow: 400 * ms, usual: 100 * ms, objective: 225 * ms, want: 125 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, retry.HedgeDelay(test.slow, test.usual, test.objective), qt.Equals, test.want)
		})
	}
}
