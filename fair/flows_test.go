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

// began is the time at which the tests start. The package only uses time differences.
var began = time.Unix(1, 0)

// serve has one slot serve the flows, which always have a request waiting, for the given number of
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

// TestTurns checks that organisations that always have requests waiting share the time of a slot by
// their weights, whatever their run times.
func TestTurns(t *testing.T) {
	tests := map[string]struct {
		weights map[string]float64
		held    map[string]time.Duration
	}{
		"equal":       {weights: map[string]float64{"a": 1, "b": 1}, held: map[string]time.Duration{"a": run, "b": run}},
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

// TestDemand has organisations send requests at steady rates and checks which are within their fair
// shares.
func TestDemand(t *testing.T) {
	tests := map[string]struct {
		demand map[string]float64 // slots
		want   map[string]bool
	}{
		"enough for all":       {demand: map[string]float64{"a": 1, "b": 5}, want: map[string]bool{"a": false, "b": false}},
		"one overloads":        {demand: map[string]float64{"a": 1, "b": 2, "c": 20}, want: map[string]bool{"a": true, "b": true, "c": false}},
		"equal":                {demand: map[string]float64{"a": 20, "b": 20}, want: map[string]bool{"a": false, "b": false}},
		"alone":                {demand: map[string]float64{"a": 20}, want: map[string]bool{"a": false}},
		"without organisation": {demand: map[string]float64{"": 4, "a": 1, "b": 20}, want: map[string]bool{"": true, "a": true, "b": false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var f fair.Flows
			got := make(map[string]bool)
			for i := range 10000 { // one millisecond each
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

// TestNoStarvation guards against starving an organisation that is above its fair share: if it gets
// nothing, it counts as within its share.
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

// TestRetention has ten thousand organisations send a request each, over and over. Those without a
// request for some seconds are removed, however many there are.
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

// TestFlowProperties applies random operations to flows and checks the counts and the queue
// positions.
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
				t.Fatalf("queue position %d of the last of %d waiting requests, of %d", position, waiting[name], all)
			}
		}
	})
}

// BenchmarkRequest measures the cost of a request at a gate that a number of organisations have
// used recently.
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

// BenchmarkNewFlow measures the cost of a request of a new organisation.
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

// TestWeightChanges changes the weight of an organisation that is always busy: its share of the
// turns follows.
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
