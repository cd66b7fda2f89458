// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fair_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sassafrasfront.example/fair"
)

const run = 100 * time.Millisecond

// began is when the tests begin. What the package does depends on differences only.
var began = time.Unix(1, 0)

// serve has one slot serve the flows, which always have a request waiting, for so many
// turns, and returns for how long each has held it.
func serve(flows map[string]*fair.Flow, held map[string]time.Duration, turns int) map[string]time.Duration {
	got := make(map[string]time.Duration)
	now := began
	for _, l := range flows {
		l.Enqueue()
	}
	for range turns {
		var next string
		for name, l := range flows {
			if next == "" || l.Before(flows[next]) {
				next = name
			}
		}
		l := flows[next]
		l.Start(run)
		l.Enqueue()
		now = now.Add(held[next])
		l.End(run, held[next], now)
		got[next] += held[next]
	}
	return got
}

// TestTurns has organisations that always want more share the time of a slot by their
// weights, whatever their run times.
func TestTurns(t *testing.T) {
	tests := map[string]struct {
		weights map[string]float64
		held    map[string]time.Duration
	}{
		"alike":       {weights: map[string]float64{"a": 1, "b": 1}, held: map[string]time.Duration{"a": run, "b": run}},
		"long runs":   {weights: map[string]float64{"a": 1, "b": 1}, held: map[string]time.Duration{"a": 10 * run, "b": run}},
		"four to one": {weights: map[string]float64{"a": 4, "b": 1}, held: map[string]time.Duration{"a": run, "b": run}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fair.Flows{Weight: func(o string) float64 { return test.weights[o] }}
			flows := make(map[string]*fair.Flow)
			for o := range test.weights {
				flows[o] = f.Flow(o, began)
			}
			got := serve(flows, test.held, 1000)
			t.Logf("%v", got)
			a, b := got["a"].Seconds()/test.weights["a"], got["b"].Seconds()/test.weights["b"]
			qt.Check(t, math.Abs(a-b) < 0.02*(a+b), qt.IsTrue)
		})
	}
}

// TestAsk has organisations ask at steady rates, and tells which keep to their parts.
func TestDemand(t *testing.T) {
	tests := map[string]struct {
		demand map[string]float64 // slots
		want   map[string]bool
	}{
		"room for all":         {demand: map[string]float64{"a": 1, "b": 5}, want: map[string]bool{"a": false, "b": false}},
		"one rushes":           {demand: map[string]float64{"a": 1, "b": 2, "c": 20}, want: map[string]bool{"a": true, "b": true, "c": false}},
		"alike":                {demand: map[string]float64{"a": 20, "b": 20}, want: map[string]bool{"a": false, "b": false}},
		"alone":                {demand: map[string]float64{"a": 20}, want: map[string]bool{"a": false}},
		"without organisation": {demand: map[string]float64{"": 4, "a": 1, "b": 20}, want: map[string]bool{"": true, "a": true, "b": false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var f fair.Flows
			got := make(map[string]bool)
			for i := range 10000 { // a millisecond each
				now := began.Add(time.Duration(i) * time.Millisecond)
				for o, slots := range test.demand {
					if gap := int(run.Seconds() / slots * 1000); i%gap == 0 {
						l := f.Flow(o, now)
						got[o] = l.AddDemand(run, 10, now)
						l.Enqueue()
						l.Start(run)
						l.End(run, run, now)
					}
				}
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestNobodyStarves has an organisation that is beyond its part get nothing: it counts as
// within its part then.
func TestNoStarvation(t *testing.T) {
	var f fair.Flows
	var within int
	for i := range 1000 {
		now := began.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, o := range []string{"small", "big"} {
			l := f.Flow(o, now)
			for range map[string]int{"small": 1, "big": 4}[o] {
				if l.AddDemand(run, 10, now) && o == "big" {
					within++
				}
			}
			if o == "small" {
				l.Enqueue()
				l.Start(run)
				l.End(run, run, now)
			}
		}
	}
	qt.Check(t, within > 3000, qt.IsTrue, qt.Commentf("%d", within))
}

// TestForgets has ten thousand organisations send a request each, over and over. Those
// without a request for some seconds are forgotten, however many there are.
func TestRetention(t *testing.T) {
	var f fair.Flows
	const perSecond = 200
	most := 0
	for i := range 10000 * 3 {
		now := began.Add(time.Duration(i) * time.Second / perSecond)
		l := f.Flow(fmt.Sprint(i%10000), now)
		l.AddDemand(run, 10, now)
		l.Enqueue()
		l.Start(run)
		l.End(run, run, now)
		most = max(most, f.Len())
	}
	qt.Check(t, most <= 10*perSecond+1, qt.IsTrue, qt.Commentf("%d", most))
	qt.Check(t, f.WaitingOrganisations(), qt.Equals, 0)
}

// TestAccounts draws what happens to requests, and checks the counts and that the time
// that is given out never runs backwards or away.
func TestFlowProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fair.Flows
		now := began
		waiting := make(map[string]int)
		running := make(map[string]int)
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c"}), 1, 100).Draw(t, "names")
		for i, name := range names {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
			l := f.Flow(name, now)
			switch k := rapid.IntRange(0, 3).Draw(t, "what"); {
			case k == 0 || k == 3:
				l.AddDemand(run, 2, now)
				l.Enqueue()
				waiting[name]++
			case k == 1 && waiting[name] > 0:
				l.Cancel()
				waiting[name]--
			case k == 2 && waiting[name] > 0:
				l.Start(run)
				waiting[name]--
				running[name]++
			case running[name] > 0:
				l.End(run, time.Duration(i)*time.Millisecond, now)
				running[name]--
			}
			var all, organisations int
			for o, n := range waiting {
				all += n
				if n > 0 && o != "" {
					organisations++
				}
			}
			if l.Waiting() != waiting[name] || f.WaitingOrganisations() != organisations {
				t.Fatalf("%d wait of %q and %d organisations, want %d and %d", l.Waiting(), name, f.WaitingOrganisations(), waiting[name], organisations)
			}
			if position := l.QueuePosition(run); waiting[name] > 0 && (position < waiting[name] || position > all) {
				t.Fatalf("%d are ahead of the last of %d, of %d", position, waiting[name], all)
			}
		}
	})
}

// BenchmarkRequest is what the parts cost a request, at a gate that a thousand
// organisations have used lately.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var f fair.Flows
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := began.Add(time.Duration(i) * time.Millisecond)
				l := f.Flow(names[i%n], now)
				l.AddDemand(run, math.MaxInt32, now)
				l.Enqueue()
				l.Start(run)
				l.End(run, run, now)
			}
		})
	}
}

// BenchmarkNewFlow is what an organisation costs that comes anew.
func BenchmarkNewFlow(b *testing.B) {
	names := make([]string, 10000)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	var f fair.Flows
	for i := 0; b.Loop(); i++ {
		if i%len(names) == 0 {
			f = fair.Flows{}
		}
		f.Flow(names[i%len(names)], began)
	}
}

// TestWeightChanges has an organisation that is always busy get another weight: its part of
// the turns follows.
func TestWeightChanges(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 1}
	f := &fair.Flows{Weight: func(organisation string) float64 { return weights[organisation] }}
	now := time.Unix(0, 0)
	const each = 100 * time.Millisecond
	turns := func() map[string]int {
		count := make(map[string]int)
		for range 110 {
			now = now.Add(each)
			a, b := f.Flow("a", now), f.Flow("b", now)
			for _, l := range []*fair.Flow{a, b} {
				if l.Waiting() == 0 {
					l.Enqueue()
				}
			}
			next := a
			if b.Before(a) {
				next = b
			}
			next.Start(each)
			next.End(each, each, now)
			count[next.Name()]++
		}
		return count
	}
	turns()
	weights["a"] = 10
	f.UpdateWeights()
	got := turns()
	qt.Check(t, got["a"] >= 95, qt.IsTrue, qt.Commentf("%v", got))
}
