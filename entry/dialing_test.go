// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestRequestWhileDialling guards against requests that are held past the first response, their
// deadline, their caller's departure or the stop of the entry node, because another node to which
// they are to be sent is being dialled and does not respond.
func TestRequestWhileDialling(t *testing.T) {
	const (
		event  = linkSilence + 100*time.Millisecond // while the other node is dialled
		notRun = verdict.Cause("any that says that it has not run")
	)
	for name, test := range map[string]struct {
		onlyGate bool          // whether the only gate is the one that does not respond
		work     time.Duration // how long the gate that responds takes
		deadline time.Duration
		leaves   bool // whether the caller leaves at the event
		stops    bool // whether the entry node stops at the event
		want     verdict.Cause
		after    time.Duration
	}{
		"the first attempt is answered":          {work: event, deadline: time.Minute, after: event + 2*linkDelay},
		"its deadline passes":                    {work: time.Minute, deadline: event, want: verdict.TimedOut, after: event},
		"the caller leaves":                      {work: time.Minute, deadline: time.Minute, leaves: true, want: verdict.CallerGone, after: event},
		"the entry node stops":                   {work: time.Minute, deadline: time.Minute, stops: true, want: verdict.Stopped, after: event},
		"its deadline passes before any attempt": {onlyGate: true, deadline: linkHandshake / 2, want: notRun, after: linkHandshake / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gates := 2
				if test.onlyGate {
					gates = 1
				}
				w := newSimCluster(gates, fastNetwork(), retryConfig(), 0)
				defer w.stop()
				responder := "gate0"
				w.handle = func(node string, in *peer.InboundCall) {
					if in.Call.Target == "/find" {
						responder = node
						respondAfter(0)(node, in)
						return
					}
					w.Host(node).PauseUplink(event)
					respondAfter(test.work)(node, in)
				}
				time.Sleep(time.Second)
				_, err := w.sendTo("/find", false)
				qt.Assert(t, err, qt.IsNil)
				for _, h := range w.gates { // the other gate's connections end, and it can't be dialled
					if test.onlyGate || h != w.Host(responder) {
						h.ResetConnections()
						time.Sleep(2 * linkDelay)
						h.PowerOff()
					}
				}
				time.Sleep(time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if test.leaves {
					time.AfterFunc(event, cancel)
				}
				if test.stops {
					time.AfterFunc(event, w.dispatcher.Close)
				}
				r := w.request(true, 0)
				began := time.Now()
				r.Deadline = began.Add(test.deadline)
				result, failed := w.dispatcher.Do(ctx, r)
				qt.Check(t, time.Since(began), qt.Equals, test.after, qt.Commentf("%v", failed))
				if test.want != "" {
					qt.Assert(t, failed != nil, qt.IsTrue)
					if test.want == notRun {
						qt.Check(t, failed.Verdict(), qt.Equals, verdict.NotRun)
					} else {
						qt.Check(t, failed.Cause, qt.Equals, test.want)
					}
					time.Sleep(time.Minute)
					return
				}
				qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
				data, err := io.ReadAll(result.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(data), qt.Equals, responder)
				result.Close()
			})
		})
	}
}
