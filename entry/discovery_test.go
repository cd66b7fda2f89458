// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/verdict"
)

// TestUpstreamKnownLate guards against callers that are refused for the reason alone that this node
// has not heard of an upstream yet: their requests wait while it learns, and no longer.
func TestDiscoveryWait(t *testing.T) {
	const never = time.Hour
	service := func(regions ...string) *entry.Service {
		s := &entry.Service{Name: "s", Config: operator.Service{}.WithDefaults()}
		for _, r := range regions {
			s.Members = append(s.Members, entry.Member{ID: "n-" + r, Region: r, Addr: "127.0.0.1:1", Slots: 1})
		}
		return s
	}
	tests := map[string]struct {
		known     map[time.Duration]*entry.Service // by when it is known
		done      time.Duration                    // when the node has learnt
		stop      time.Duration
		leave     time.Duration
		regions   []string
		objective time.Duration // the objective, of a second
		sent      bool          // whether it is sent to an upstream, where nobody answers
		want      verdict.Cause // if it is not
		after     time.Duration
	}{
		"known before":                {known: map[time.Duration]*entry.Service{0: service("r")}, done: never, sent: true},
		"known later":                 {known: map[time.Duration]*entry.Service{0: service(), 400 * time.Millisecond: service("r")}, done: never, sent: true, after: 400 * time.Millisecond},
		"the service later":           {known: map[time.Duration]*entry.Service{400 * time.Millisecond: service("r")}, done: never, sent: true, after: 400 * time.Millisecond},
		"another region's first":      {known: map[time.Duration]*entry.Service{100 * time.Millisecond: service("q"), 400 * time.Millisecond: service("q", "r")}, regions: []string{"r"}, done: never, sent: true, after: 400 * time.Millisecond},
		"not in time":                 {known: map[time.Duration]*entry.Service{800 * time.Millisecond: service("r")}, done: never, objective: 300 * time.Millisecond, want: verdict.NoUpstream, after: 700 * time.Millisecond},
		"half of the time":            {done: never, want: verdict.NoUpstream, after: 500 * time.Millisecond},
		"an objective of all of it":   {done: never, objective: time.Second, want: verdict.NoUpstream, after: 500 * time.Millisecond},
		"learnt meanwhile":            {done: 200 * time.Millisecond, want: verdict.NoUpstream, after: 200 * time.Millisecond},
		"learnt before":               {want: verdict.NoUpstream},
		"the node stops":              {done: never, stop: 100 * time.Millisecond, want: verdict.NotSent, after: 100 * time.Millisecond},
		"the caller leaves":           {done: never, leave: 100 * time.Millisecond, want: verdict.NoUpstream, after: 100 * time.Millisecond},
		"known in vain, then learnt":  {known: map[time.Duration]*entry.Service{100 * time.Millisecond: service()}, done: 300 * time.Millisecond, want: verdict.NoUpstream, after: 300 * time.Millisecond},
		"learnt and known, in a race": {known: map[time.Duration]*entry.Service{300 * time.Millisecond: service("r")}, done: 300*time.Millisecond + 1, sent: true, after: 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				discovered := make(chan struct{})
				triggered := 0
				d := &entry.Dispatcher{
					DiscoveryDone:    discovered,
					TriggerDiscovery: func() { triggered++ },
				}
				defer d.Close()
				if test.done == 0 {
					close(discovered)
				}
				if s := test.known[0]; s != nil {
					d.SetServices(map[string]*entry.Service{s.Name: s})
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				at := func(when time.Duration, f func()) {
					if when > 0 && when < never {
						time.AfterFunc(when, f)
					}
				}
				for when, s := range test.known {
					at(when, func() { d.SetServices(map[string]*entry.Service{s.Name: s}) })
				}
				at(test.done, func() { close(discovered) })
				at(test.stop, d.Stop)
				at(test.leave, cancel)
				began := time.Now()
				r := &entry.Request{Service: "s", Regions: test.regions, Objective: test.objective, Deadline: began.Add(time.Second)}
				_, failed := d.Do(ctx, r)
				qt.Check(t, time.Since(began), qt.Equals, test.after)
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, entry.CountAttempts(r.Steps) > 0, qt.Equals, test.sent)
				if !test.sent {
					qt.Check(t, failed.Cause, qt.Equals, test.want)
				}
				qt.Check(t, failed.Verdict(), qt.Equals, verdict.NotRun)
				qt.Check(t, triggered > 0, qt.Equals, test.after > 0)
				synctest.Wait()
			})
		})
	}
}
