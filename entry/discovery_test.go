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

// TestDiscoveryWait guards against callers that are refused only because this node has not
// discovered an upstream yet. Their requests have to wait during the discovery, and no longer.
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
		known     map[time.Duration]*entry.Service // the service, by the time at which it becomes known
		done      time.Duration                    // when the discovery is done
		stop      time.Duration
		leave     time.Duration
		regions   []string
		objective time.Duration // the objective; the deadline is one second
		sent      bool          // whether the request is sent to an upstream, which does not respond
		want      verdict.Cause // if it is not sent
		after     time.Duration
	}{
		"known before":                                 {known: map[time.Duration]*entry.Service{0: service("r")}, done: never, sent: true},
		"known later":                                  {known: map[time.Duration]*entry.Service{0: service(), 400 * time.Millisecond: service("r")}, done: never, sent: true, after: 400 * time.Millisecond},
		"service known later":                          {known: map[time.Duration]*entry.Service{400 * time.Millisecond: service("r")}, done: never, sent: true, after: 400 * time.Millisecond},
		"another region's upstream known first":        {known: map[time.Duration]*entry.Service{100 * time.Millisecond: service("q"), 400 * time.Millisecond: service("q", "r")}, regions: []string{"r"}, done: never, sent: true, after: 400 * time.Millisecond},
		"not known in time":                            {known: map[time.Duration]*entry.Service{800 * time.Millisecond: service("r")}, done: never, objective: 300 * time.Millisecond, want: verdict.NoUpstream, after: 700 * time.Millisecond},
		"waits for half of the time":                   {done: never, want: verdict.NoUpstream, after: 500 * time.Millisecond},
		"objective as long as the deadline":            {done: never, objective: time.Second, want: verdict.NoUpstream, after: 500 * time.Millisecond},
		"discovery done while waiting":                 {done: 200 * time.Millisecond, want: verdict.NoUpstream, after: 200 * time.Millisecond},
		"discovery done before":                        {want: verdict.NoUpstream},
		"the node stops":                               {done: never, stop: 100 * time.Millisecond, want: verdict.NotSent, after: 100 * time.Millisecond},
		"the caller leaves":                            {done: never, leave: 100 * time.Millisecond, want: verdict.NoUpstream, after: 100 * time.Millisecond},
		"known without upstreams, then discovery done": {known: map[time.Duration]*entry.Service{100 * time.Millisecond: service()}, done: 300 * time.Millisecond, want: verdict.NoUpstream, after: 300 * time.Millisecond},
		"upstream known as the discovery ends":         {known: map[time.Duration]*entry.Service{300 * time.Millisecond: service("r")}, done: 300*time.Millisecond + 1, sent: true, after: 300 * time.Millisecond},
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
