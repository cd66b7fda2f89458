// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/retry"
	"sassafrasfront.example/verdict"
)

func TestBudgetIsAShare(t *testing.T) {
	b := &retry.Budget{Share: 0.1, Burst: 5}
	var taken int
	for range 1000 {
		b.Earn()
		for b.Take() {
			taken++
		}
	}
	qt.Check(t, taken >= 100 && taken <= 105, qt.IsTrue, qt.Commentf("%d of 1000", taken))
	var none retry.Budget
	qt.Check(t, none.Take(), qt.IsFalse)
}

func TestAgain(t *testing.T) {
	second := time.Second
	tests := map[string]struct {
		err        *verdict.Error
		idempotent bool
		tries      int
		remaining  time.Duration
		noBudget   bool
		want       bool
	}{
		"refused":                      {err: verdict.New(verdict.Refused, nil), tries: 1, remaining: second, want: true},
		"refused, no budget needed":    {err: verdict.New(verdict.Refused, nil), tries: 1, remaining: second, noBudget: true, want: true},
		"refused for the third time":   {err: verdict.New(verdict.Refused, nil), tries: 3, remaining: second},
		"refused, no time left":        {err: verdict.New(verdict.Refused, nil), tries: 1, remaining: time.Microsecond},
		"lost, idempotent":             {err: verdict.New(verdict.PeerLost, nil), idempotent: true, tries: 1, remaining: second, want: true},
		"lost, idempotent, no budget":  {err: verdict.New(verdict.PeerLost, nil), idempotent: true, tries: 1, remaining: second, noBudget: true},
		"lost, not idempotent":         {err: verdict.New(verdict.PeerLost, nil), tries: 1, remaining: second},
		"shed by the upstream":         {err: verdict.New(verdict.UpstreamRefused, nil), tries: 1, remaining: second, want: true},
		"shed by the upstream, budget": {err: verdict.New(verdict.UpstreamRefused, nil), tries: 1, remaining: second, noBudget: true},
		"given up by a deeper hop":     {err: verdict.New(verdict.UpstreamRefused, nil).WithGivenUp(), idempotent: true, tries: 1, remaining: second},
		"cut answer":                   {err: verdict.New(verdict.AnswerCut, nil), idempotent: true, tries: 1, remaining: second},
		"timed out":                    {err: verdict.New(verdict.TimedOut, nil), idempotent: true, tries: 1, remaining: second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := &retry.Budget{Share: 0.1, Burst: 1}
			if test.noBudget {
				budget.Take()
			}
			p := retry.Plan{MaxTries: 3, Budget: budget, Least: time.Millisecond}
			qt.Check(t, p.Again(test.err, test.idempotent, test.tries, test.remaining), qt.Equals, test.want)
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

func ExamplePlan_Again() {
	p := retry.Plan{MaxTries: 3, Budget: &retry.Budget{Share: 0.1, Burst: 10}}
	lost := verdict.New(verdict.PeerLost, nil)
	fmt.Println(p.Again(lost, false, 1, time.Second))
	fmt.Println(p.Again(lost, true, 1, time.Second))
	// Output:
	// false
	// true
}
