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

// TestCheckAbandoned ends a request while its upstream runs it, with and without an action that
// excuses this.
func TestCheckAbandoned(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	outcomeWith := func(change func(o *outcome)) outcome {
		o := outcome{
			id:        "1",
			node:      "entry",
			sentAt:    at(10),
			endedAt:   at(11),
			deadline:  3 * time.Second,
			status:    http.StatusBadGateway,
			connected: true,
		}
		change(&o)
		return o
	}
	unchanged := func(*outcome) {}
	tests := map[string]struct {
		outcome   outcome
		startedAt float64 // in seconds, of the run at the node "gate"
		action    *action
		violated  bool
	}{
		"response of a node":          {outcome: outcomeWith(unchanged), startedAt: 10.2, violated: true},
		"refused by a node":           {outcome: outcomeWith(func(o *outcome) { o.status = http.StatusServiceUnavailable }), startedAt: 10.2, violated: true},
		"connection closed":           {outcome: outcomeWith(func(o *outcome) { o.status = 0 }), startedAt: 10.2, violated: true},
		"cut":                         {outcome: outcomeWith(func(o *outcome) { o.status, o.truncated, o.fromUpstream = http.StatusOK, true, true }), startedAt: 10.2, violated: true},
		"answered":                    {outcome: outcomeWith(func(o *outcome) { o.status, o.fromUpstream = http.StatusOK, true }), startedAt: 10.2},
		"failed by the upstream":      {outcome: outcomeWith(func(o *outcome) { o.status, o.fromUpstream = http.StatusInternalServerError, true }), startedAt: 10.2},
		"caller left":                 {outcome: outcomeWith(func(o *outcome) { o.status, o.left = 0, true }), startedAt: 10.2},
		"connection refused":          {outcome: outcomeWith(func(o *outcome) { o.status, o.connected = 0, false }), startedAt: 10.2},
		"ran after the request ended": {outcome: outcomeWith(unchanged), startedAt: 11.2},
		"at its deadline":             {outcome: outcomeWith(func(o *outcome) { o.deadline = time.Second }), startedAt: 10.2},
		"at its timeout":              {outcome: outcomeWith(func(o *outcome) { o.deadline, o.endedAt = time.Minute, at(14) }), startedAt: 10.2},
		"just before its deadline":    {outcome: outcomeWith(func(o *outcome) { o.endedAt = at(12.9) }), startedAt: 10.2, violated: true},

		"entry killed":                  {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionKill, node: "entry", from: at(10.5)}},
		"gate killed":                   {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionKill, node: "gate", from: at(10.5)}},
		"another killed":                {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionKill, node: "other", from: at(10.5)}, violated: true},
		"gate killed before":            {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionKill, node: "gate", from: at(9.9)}, violated: true},
		"gate killed after":             {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionKill, node: "gate", from: at(11.1)}, violated: true},
		"link of gate reset":            {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionReset, node: "gate", from: at(10.5), to: at(12)}},
		"link of entry reset":           {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionReset, node: "entry", from: at(10.5), to: at(12)}, violated: true},
		"reset before the run":          {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionReset, node: "gate", from: at(9), to: at(10.1)}, violated: true},
		"reset before the request":      {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionReset, node: "gate", from: at(9), to: at(9.5)}, violated: true},
		"entry stopping":                {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionStop, node: "entry", from: at(9), to: at(12)}, violated: true},
		"gate stopping":                 {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionStop, node: "gate", from: at(9), to: at(12)}, violated: true},
		"end of the grace period":       {outcome: outcomeWith(func(o *outcome) { o.endedAt = at(12.5) }), startedAt: 10.2, action: &action{kind: actionStop, node: "entry", from: at(7.4), to: at(13)}},
		"sent late in the grace period": {outcome: outcomeWith(unchanged), startedAt: 10.2, action: &action{kind: actionStop, node: "entry", from: at(5), to: at(12)}, violated: true},
		"earlier grace period":          {outcome: outcomeWith(func(o *outcome) { o.endedAt = at(12.9) }), startedAt: 10.2, action: &action{kind: actionStop, node: "entry", from: at(7.5), to: at(9.9)}, violated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := new(cluster)
			if test.action != nil {
				c.actions = append(c.actions, test.action)
			}
			ran := map[string][]endedRun{"1": {{
				Run:      platformtest.Run{ID: "1", At: at(test.startedAt)},
				nodeName: "gate",
			}}}
			list := c.checkAbandoned([]outcome{test.outcome}, ran)
			qt.Check(t, len(list) > 0, qt.Equals, test.violated, qt.Commentf("%q", list))
		})
	}
}

// TestRunEnds checks that an upstream reports which runs were interrupted by their callers.
func TestRunEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	u := &platformtest.Upstream{
		ID:    "i",
		Slots: 2,
		ServiceTimeFunc: func(r platformtest.Run) time.Duration {
			if r.ID == "whole" {
				return time.Millisecond
			}
			cancel()
			return time.Hour
		},
	}
	addr, err := u.Start()
	qt.Assert(t, err, qt.IsNil)
	defer u.Close()
	n := &node{name: "n", callerAddr: addr}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	complete := send(client, n, outcome{id: "whole", route: "a", minBodyBytes: 100 << 10, deadline: time.Minute, chunked: true, sendDuration: time.Millisecond})
	qt.Check(t, complete.bodySentAt.Before(complete.sentAt) || complete.bodySentAt.After(complete.endedAt), qt.IsFalse)
	qt.Check(t, complete.status, qt.Equals, http.StatusOK)
	qt.Check(t, complete.wrongBody, qt.Equals, "")
	cancelled := outcome{id: "gone", route: "a"}
	cancelled.exchange(ctx, client, n)
	qt.Check(t, cancelled.status, qt.Equals, 0)
	runs, ends := u.RunsAndEnds()
	for len(ends) < 2 || ends[1].CancelledAt.IsZero() {
		time.Sleep(time.Millisecond)
		runs, ends = u.RunsAndEnds()
	}
	qt.Check(t, runs[0].Body, qt.Equals, platformtest.SummariseBody(complete.body()))
	qt.Check(t, strings.HasPrefix(runs[0].Body, "102400 bytes"), qt.IsTrue)
	qt.Check(t, ends[0].CancelledAt.IsZero(), qt.IsTrue)
	qt.Check(t, ends[0].FinishedAt.IsZero(), qt.IsFalse)
	qt.Check(t, ends[1].FinishedAt.IsZero(), qt.IsTrue)
}

// TestCheckStops checks runs in which no request ran while its entry or its upstream's node was stopping.
func TestCheckStops(t *testing.T) {
	now := time.Now()
	o := outcome{id: "1", node: "entry", sentAt: now, endedAt: now.Add(time.Second)}
	tests := map[string]struct {
		action     action
		violations int
	}{
		"entry":   {action: action{kind: actionStop, node: "entry", from: now.Add(-time.Second)}},
		"gate":    {action: action{kind: actionStop, node: "gate", from: now.Add(time.Millisecond)}},
		"another": {action: action{kind: actionStop, node: "other", from: now}, violations: 1},
		"before":  {action: action{kind: actionStop, node: "gate", from: now.Add(-time.Hour), to: now.Add(-time.Minute)}, violations: 1},
		"after":   {action: action{kind: actionStop, node: "gate", from: now.Add(time.Hour)}, violations: 1},
		"killed":  {action: action{kind: actionKill, node: "gate", from: now.Add(time.Millisecond)}, violations: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &cluster{actions: []*action{&test.action}}
			ran := map[string][]endedRun{"1": {{nodeName: "gate"}}}
			qt.Check(t, c.checkStops([]outcome{o}, ran), qt.HasLen, test.violations)
		})
	}
}

// TestCheckUnanswered closes a connection with a request in flight.
func TestCheckUnanswered(t *testing.T) {
	start := time.Now()
	closed := outcome{node: "n", sentAt: start, bodySentAt: start, endedAt: start.Add(time.Second), connected: true}
	crossed := closed
	crossed.endedAt = start.Add(closeSlack / 2)
	receiving := closed
	receiving.bodySentAt = time.Time{}
	left := closed
	left.left = true
	tests := map[string]struct {
		outcome    outcome
		action     action
		violations int
	}{
		"connection closed":           {outcome: closed, violations: 1},
		"request crossed the closing": {outcome: crossed},
		"body not fully sent":         {outcome: receiving},
		"left":                        {outcome: left},
		"paused":                      {outcome: closed, action: action{kind: actionPause, node: "n", from: start.Add(-time.Second), to: start.Add(time.Millisecond)}},
		"paused before":               {outcome: closed, action: action{kind: actionPause, node: "n", from: start.Add(-time.Second), to: start.Add(-time.Millisecond)}, violations: 1},
		"killed":                      {outcome: closed, action: action{kind: actionKill, node: "n", from: start.Add(time.Millisecond)}},
		"killed before":               {outcome: closed, action: action{kind: actionKill, node: "n", from: start.Add(-time.Millisecond)}, violations: 1},
		"stopping":                    {outcome: closed, action: action{kind: actionStop, node: "n", from: start.Add(time.Millisecond)}, violations: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &cluster{actions: []*action{&test.action}}
			qt.Check(t, c.checkUnanswered([]outcome{test.outcome}), qt.HasLen, test.violations)
		})
	}
}

// TestCheckProxies stops a proxy during its run.
func TestCheckProxies(t *testing.T) {
	p, err := newProxy("127.0.0.1:1", 0)
	qt.Assert(t, err, qt.IsNil)
	c := &cluster{nodes: []*node{{name: "n", link: p}}}
	p.close()
	qt.Check(t, c.checkProxies(), qt.HasLen, 0)
	failure := errors.New("too many open files")
	p.acceptErr.Store(&failure)
	qt.Check(t, c.checkProxies(), qt.HasLen, 1)
}

// TestCheckExits has a process killed at the end of its grace period.
func TestCheckExits(t *testing.T) {
	c := &cluster{actions: []*action{{kind: actionKill, node: "n"}}}
	qt.Check(t, c.checkExits(), qt.HasLen, 0)
	c.actions[0].graceExceeded = true
	qt.Check(t, c.checkExits(), qt.HasLen, 1)
}

// TestLinkQueue checks that a link sends pieces one after the other at its rate.
func TestLinkQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var q linkQueue
		const rate = 1000
		done := make(chan time.Duration)
		for range 3 {
			go func() {
				q.send(500, rate)
				done <- time.Since(start)
			}()
		}
		for i := range 3 {
			qt.Check(t, <-done, qt.Equals, time.Duration(i+1)*500*time.Millisecond)
		}
		time.Sleep(time.Second)
		start = time.Now()
		q.send(100, rate)
		qt.Check(t, time.Since(start), qt.Equals, 100*time.Millisecond)
	})
}

// TestDrawStopsRepeats checks that a seed always draws the same stops.
func TestDrawStopsRepeats(t *testing.T) {
	for seed := range uint64(50) {
		for _, nodes := range []int{2 * nodesPerService, 200} {
			one, two := drawStops(seed, time.Minute, nodes), drawStops(seed, time.Minute, nodes)
			qt.Check(t, one, qt.HasLen, len(two))
			stops := 0
			for i := range one {
				qt.Check(t, one[i], qt.Equals, two[i])
				if one[i].name == faultStopSeries {
					stops++
				}
			}
			qt.Check(t, stops >= 2, qt.IsTrue)
		}
	}
}
