// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// TestAtWorkCheckFails has a request given up while its upstream is at work, with and without what
// excuses it.
func TestAtWorkCheckFails(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	lost := func(change func(o *outcome)) outcome {
		o := outcome{
			id:         "1",
			node:       "entry",
			sent:       at(10),
			ended:      at(11),
			deadline:   3 * time.Second,
			status:     http.StatusBadGateway,
			connection: true,
		}
		change(&o)
		return o
	}
	unchanged := func(*outcome) {}
	tests := map[string]struct {
		outcome outcome
		began   float64 // of the run, at the node "gate"
		deed    *deed
		broken  bool
	}{
		"answered by a node":  {outcome: lost(unchanged), began: 10.2, broken: true},
		"refused by a node":   {outcome: lost(func(o *outcome) { o.status = http.StatusServiceUnavailable }), began: 10.2, broken: true},
		"closed":              {outcome: lost(func(o *outcome) { o.status = 0 }), began: 10.2, broken: true},
		"cut":                 {outcome: lost(func(o *outcome) { o.status, o.cut, o.signed = http.StatusOK, true, true }), began: 10.2, broken: true},
		"answered":            {outcome: lost(func(o *outcome) { o.status, o.signed = http.StatusOK, true }), began: 10.2},
		"failed by upstream":  {outcome: lost(func(o *outcome) { o.status, o.signed = http.StatusInternalServerError, true }), began: 10.2},
		"left by its caller":  {outcome: lost(func(o *outcome) { o.status, o.left = 0, true }), began: 10.2},
		"no connection":       {outcome: lost(func(o *outcome) { o.status, o.connection = 0, false }), began: 10.2},
		"ran after its end":   {outcome: lost(unchanged), began: 11.2},
		"at its deadline":     {outcome: lost(func(o *outcome) { o.deadline = time.Second }), began: 10.2},
		"at its timeout":      {outcome: lost(func(o *outcome) { o.deadline, o.ended = time.Minute, at(14) }), began: 10.2},
		"before its deadline": {outcome: lost(func(o *outcome) { o.ended = at(12.9) }), began: 10.2, broken: true},

		"entry killed":             {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: killed, node: "entry", from: at(10.5)}},
		"gate killed":              {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: killed, node: "gate", from: at(10.5)}},
		"another killed":           {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: killed, node: "other", from: at(10.5)}, broken: true},
		"gate killed before":       {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: killed, node: "gate", from: at(9.9)}, broken: true},
		"gate killed after":        {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: killed, node: "gate", from: at(11.1)}, broken: true},
		"link of gate reset":       {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: broken, node: "gate", from: at(10.5), to: at(12)}},
		"link of entry reset":      {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: broken, node: "entry", from: at(10.5), to: at(12)}, broken: true},
		"reset before the run":     {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: broken, node: "gate", from: at(9), to: at(10.1)}, broken: true},
		"reset before the sending": {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: broken, node: "gate", from: at(9), to: at(9.5)}, broken: true},
		"entry told to stop":       {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: told, node: "entry", from: at(9), to: at(12)}, broken: true},
		"gate told to stop":        {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: told, node: "gate", from: at(9), to: at(12)}, broken: true},
		"end of the grace time":    {outcome: lost(func(o *outcome) { o.ended = at(12.5) }), began: 10.2, deed: &deed{kind: told, node: "entry", from: at(7.4), to: at(13)}},
		"sent too late for it":     {outcome: lost(unchanged), began: 10.2, deed: &deed{kind: told, node: "entry", from: at(5), to: at(12)}, broken: true},
		"an earlier grace time":    {outcome: lost(func(o *outcome) { o.ended = at(12.9) }), began: 10.2, deed: &deed{kind: told, node: "entry", from: at(7.5), to: at(9.9)}, broken: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := new(world)
			if test.deed != nil {
				w.deeds = append(w.deeds, test.deed)
			}
			ran := map[string][]endedRun{"1": {{
				Run:  platformtest.Run{ID: "1", At: at(test.began)},
				node: "gate",
			}}}
			list := w.checkAtWork([]outcome{test.outcome}, ran)
			qt.Check(t, len(list) > 0, qt.Equals, test.broken, qt.Commentf("%q", list))
		})
	}
}

// TestEndingsOfRuns has an upstream tell which runs their callers broke off.
func TestEndingsOfRuns(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	u := &platformtest.Upstream{
		ID:    "i",
		Slots: 2,
		ServiceTimeFunc: func(r platformtest.Run) time.Duration {
			if r.ID == "whole" {
				return time.Millisecond
			}
			leave()
			return time.Hour
		},
	}
	addr, err := u.Start()
	qt.Assert(t, err, qt.IsNil)
	defer u.Close()
	n := &node{name: "n", caller: addr}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	whole := ask(client, n, outcome{id: "whole", route: "a", size: 100 << 10, deadline: time.Minute, chunked: true, slow: time.Millisecond})
	qt.Check(t, whole.whole.Before(whole.sent) || whole.whole.After(whole.ended), qt.IsFalse)
	qt.Check(t, whole.status, qt.Equals, http.StatusOK)
	qt.Check(t, whole.wrong, qt.Equals, "")
	gone := outcome{id: "gone", route: "a"}
	gone.answer(ctx, client, n)
	qt.Check(t, gone.status, qt.Equals, 0)
	runs, endings := u.RunsAndEnds()
	for len(endings) < 2 || endings[1].CancelledAt.IsZero() {
		time.Sleep(time.Millisecond)
		runs, endings = u.RunsAndEnds()
	}
	qt.Check(t, runs[0].Body, qt.Equals, platformtest.SummariseBody(whole.body()))
	qt.Check(t, strings.HasPrefix(runs[0].Body, "102400 bytes"), qt.IsTrue)
	qt.Check(t, endings[0].CancelledAt.IsZero(), qt.IsTrue)
	qt.Check(t, endings[0].FinishedAt.IsZero(), qt.IsFalse)
	qt.Check(t, endings[1].FinishedAt.IsZero(), qt.IsTrue)
}

// TestStopCheckFails has no request run while its entry or the node of its upstream is stopping.
func TestStopCheckFails(t *testing.T) {
	now := time.Now()
	o := outcome{id: "1", node: "entry", sent: now, ended: now.Add(time.Second)}
	tests := map[string]struct {
		deed   deed
		broken int
	}{
		"entry":   {deed: deed{kind: told, node: "entry", from: now.Add(-time.Second)}},
		"gate":    {deed: deed{kind: told, node: "gate", from: now.Add(time.Millisecond)}},
		"another": {deed: deed{kind: told, node: "other", from: now}, broken: 1},
		"before":  {deed: deed{kind: told, node: "gate", from: now.Add(-time.Hour), to: now.Add(-time.Minute)}, broken: 1},
		"after":   {deed: deed{kind: told, node: "gate", from: now.Add(time.Hour)}, broken: 1},
		"killed":  {deed: deed{kind: killed, node: "gate", from: now.Add(time.Millisecond)}, broken: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &world{deeds: []*deed{&test.deed}}
			ran := map[string][]endedRun{"1": {{node: "gate"}}}
			qt.Check(t, w.checkStops([]outcome{o}, ran), qt.HasLen, test.broken)
		})
	}
}

// TestUnansweredCheckFails has a connection be closed with a request on it.
func TestUnansweredCheckFails(t *testing.T) {
	start := time.Now()
	closed := outcome{node: "n", sent: start, whole: start, ended: start.Add(time.Second), connection: true}
	crossed := closed
	crossed.ended = start.Add(closeSlack / 2)
	coming := closed
	coming.whole = time.Time{}
	left := closed
	left.left = true
	tests := map[string]struct {
		outcome outcome
		deed    deed
		broken  int
	}{
		"closed":        {outcome: closed, broken: 1},
		"crossed":       {outcome: crossed},
		"coming in":     {outcome: coming},
		"left":          {outcome: left},
		"paused":        {outcome: closed, deed: deed{kind: paused, node: "n", from: start.Add(-time.Second), to: start.Add(time.Millisecond)}},
		"paused before": {outcome: closed, deed: deed{kind: paused, node: "n", from: start.Add(-time.Second), to: start.Add(-time.Millisecond)}, broken: 1},
		"killed":        {outcome: closed, deed: deed{kind: killed, node: "n", from: start.Add(time.Millisecond)}},
		"killed before": {outcome: closed, deed: deed{kind: killed, node: "n", from: start.Add(-time.Millisecond)}, broken: 1},
		"told to stop":  {outcome: closed, deed: deed{kind: told, node: "n", from: start.Add(time.Millisecond)}, broken: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &world{deeds: []*deed{&test.deed}}
			qt.Check(t, w.checkUnanswered([]outcome{test.outcome}), qt.HasLen, test.broken)
		})
	}
}

// TestProxyCheckFails has a proxy end while its run goes on.
func TestProxyCheckFails(t *testing.T) {
	p, err := newProxy("127.0.0.1:1", 0)
	qt.Assert(t, err, qt.IsNil)
	w := &world{nodes: []*node{{name: "n", link: p}}}
	p.close()
	qt.Check(t, w.checkProxies(), qt.HasLen, 0)
	failure := errors.New("too many open files")
	p.failed.Store(&failure)
	qt.Check(t, w.checkProxies(), qt.HasLen, 1)
}

// TestEndCheckFails has a process be killed at the end of its grace time.
func TestEndCheckFails(t *testing.T) {
	w := &world{deeds: []*deed{{kind: killed, node: "n"}}}
	qt.Check(t, w.checkEnds(), qt.HasLen, 0)
	w.deeds[0].overstayed = true
	qt.Check(t, w.checkEnds(), qt.HasLen, 1)
}

// TestLane has a link send pieces one after the other, at its rate.
func TestLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var l lane
		const rate = 1000
		done := make(chan time.Duration)
		for range 3 {
			go func() {
				l.send(500, rate)
				done <- time.Since(start)
			}()
		}
		for i := range 3 {
			qt.Check(t, <-done, qt.Equals, time.Duration(i+1)*500*time.Millisecond)
		}
		time.Sleep(time.Second)
		start = time.Now()
		l.send(100, rate)
		qt.Check(t, time.Since(start), qt.Equals, 100*time.Millisecond)
	})
}

// TestStopsAreDrawnAlike has a seed draw the same stops each time.
func TestStopsAreDrawnAlike(t *testing.T) {
	for seed := range uint64(50) {
		for _, nodes := range []int{2 * pairs, 200} {
			one, two := drawStops(seed, time.Minute, nodes), drawStops(seed, time.Minute, nodes)
			qt.Check(t, one, qt.HasLen, len(two))
			stops := 0
			for i := range one {
				qt.Check(t, one[i], qt.Equals, two[i])
				if one[i].name == stopped {
					stops++
				}
			}
			qt.Check(t, stops >= 2, qt.IsTrue)
		}
	}
}
