// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// fingerprintOf returns the fingerprint of a request for a target.
func fingerprintOf(target string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("caller", "GET", "h.example", target).WithBody(nil)
}

// crash is a crash of the upstream as reported by the gate.
type crash struct {
	suspects []quarantine.Fingerprint
	isolated quarantine.Fingerprint
}

// quarantineFixture is a fixture whose gate has a quarantine index and reports crashes.
type quarantineFixture struct {
	*fixture
	index   quarantine.Index
	crashes chan crash
	cleared chan quarantine.Fingerprint
}

func newQuarantineFixture(t *testing.T, h http.HandlerFunc) *quarantineFixture {
	t.Helper()
	w := &quarantineFixture{
		fixture: newFixture(t, 4, h),
		crashes: make(chan crash, 10),
		cleared: make(chan quarantine.Fingerprint, 10),
	}
	w.gate.Quarantine = &w.index
	w.gate.UpstreamCrashed = func(_ *upstream.Announcement, suspects []quarantine.Fingerprint, isolated quarantine.Fingerprint) {
		w.crashes <- crash{suspects, isolated}
	}
	w.gate.SuspectCleared = func(p quarantine.Fingerprint) { w.cleared <- p }
	return w
}

// get makes a call for a target and returns its failure.
func (w *quarantineFixture) get(target string) *verdict.Error {
	m := &peer.Call{Service: "service", Method: "GET", Target: target, Remaining: 5 * time.Second, Attempt: 1, Fingerprint: fingerprintOf(target)}
	x, failure := w.client.Start(context.Background(), m, nil)
	if failure != nil {
		return failure
	}
	defer x.Close()
	_, failure = x.Wait()
	return failure
}

// suspect adds a report that the given starts have crashed with a request in flight.
func (w *quarantineFixture) suspect(target string, starts ...string) {
	for _, s := range starts {
		var isolated quarantine.Fingerprint
		if w.index.Assess(fingerprintOf(target)).State == quarantine.Isolated {
			isolated = fingerprintOf(target)
		}
		w.index.Add(quarantine.NewCrashReport(s, []quarantine.Fingerprint{fingerprintOf(target)}, isolated))
	}
}

// TestSuspectedRequests checks what a gate does with a suspected request while another, isolated
// one runs.
func TestSuspectedRequests(t *testing.T) {
	tests := map[string]struct {
		starts  []string // starts that crashed with it in flight
		want    verdict.Cause
		cleared bool
	}{
		"unsuspected": {},
		"seen":        {starts: []string{"a"}, cleared: true},
		"isolated":    {starts: []string{"a", "b"}, want: verdict.Refused},
		"blocked":     {starts: []string{"a", "b", "c"}, want: verdict.Quarantined},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inside, goOn := make(chan struct{}), make(chan struct{})
			w := newQuarantineFixture(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/other" {
					close(inside)
					<-goOn
				}
			})
			w.suspect("/other", "x", "y")
			w.suspect("/it", test.starts...)
			other := make(chan *verdict.Error, 1)
			go func() { other <- w.get("/other") }()
			<-inside
			failure := w.get("/it")
			close(goOn)
			if test.want == "" {
				qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			} else {
				qt.Assert(t, failure != nil, qt.IsTrue)
				qt.Check(t, failure.Cause, qt.Equals, test.want)
				qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
				qt.Check(t, failure.RetryAfter > 0, qt.IsTrue)
			}
			qt.Check(t, <-other == nil, qt.IsTrue)
			want := map[quarantine.Fingerprint]bool{fingerprintOf("/other"): true}
			if test.cleared {
				want[fingerprintOf("/it")] = true
			}
			for range len(want) {
				qt.Check(t, want[<-w.cleared], qt.IsTrue)
			}
			qt.Check(t, w.cleared, qt.HasLen, 0)
		})
	}
}

// TestErrorDoesNotClearSuspect responds to a suspected request with an error, which does not show that
// it is harmless.
func TestErrorDoesNotClearSuspect(t *testing.T) {
	w := newQuarantineFixture(t, func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusInternalServerError) })
	w.suspect("/it", "a")
	qt.Check(t, w.get("/it") == nil, qt.IsTrue)
	qt.Check(t, w.cleared, qt.HasLen, 0)
}

// TestUpstreamCrash checks which lost connections count as a crash of the upstream.
func TestUpstreamCrash(t *testing.T) {
	tests := map[string]struct {
		before  func(w *quarantineFixture) // causes the loss
		crashed bool
	}{
		"it refuses connections": {
			before: func(w *quarantineFixture) {
				w.server.Listener.Close()
				w.server.CloseClientConnections()
			},
			crashed: true,
		},
		"its connections are reset, and it accepts new ones": {
			before: func(w *quarantineFixture) { w.server.CloseClientConnections() },
		},
		"another start is announced, and its connections end": {
			before: func(w *quarantineFixture) {
				w.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: w.address, Slots: 4, Connections: 4, StartID: "another"})
				w.server.CloseClientConnections()
			},
			crashed: true,
		},
		"its connections end, and another start is announced": {
			before: func(w *quarantineFixture) {
				w.server.CloseClientConnections()
				for w.gate.Load().Running > 0 {
					time.Sleep(time.Millisecond)
				}
				w.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: w.address, Slots: 4, Connections: 4, StartID: "another"})
			},
			crashed: true,
		},
		"it left before": {
			before: func(w *quarantineFixture) {
				w.gate.SetAnnouncement(nil)
				w.server.Listener.Close()
				w.server.CloseClientConnections()
			},
		},
		"it drained before": {
			before: func(w *quarantineFixture) {
				w.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: w.address, Slots: 4, Connections: 4, Draining: true})
				w.server.Listener.Close()
				w.server.CloseClientConnections()
			},
		},
		"another start is announced after its drain": {
			before: func(w *quarantineFixture) {
				w.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: w.address, Slots: 4, Connections: 4, Draining: true})
				w.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: w.address, Slots: 4, Connections: 4, StartID: "another"})
				w.server.CloseClientConnections()
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var inside sync.WaitGroup
			inside.Add(2)
			goOn := make(chan struct{})
			w := newQuarantineFixture(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/after" {
					inside.Done()
					<-goOn
				}
			})
			w.suspect("/b", "x", "y")
			done := make(chan *verdict.Error, 2)
			for _, target := range []string{"/a", "/b"} {
				go func() { done <- w.get(target) }()
			}
			inside.Wait()
			test.before(w)
			qt.Check(t, <-done != nil, qt.IsTrue)
			qt.Check(t, <-done != nil, qt.IsTrue)
			if test.crashed {
				e := <-w.crashes
				close(goOn)
				qt.Check(t, e.suspects, qt.HasLen, 2)
				qt.Check(t, e.isolated, qt.Equals, fingerprintOf("/b"))
				return
			}
			close(goOn)
			w.get("/after") // by then the gate has checked the upstream
			qt.Check(t, w.crashes, qt.HasLen, 0)
		})
	}
}

// TestReplacedUpstreamStillRunning announces a new start of the upstream while the former one continues
// with its requests and completes them: this is not a crash.
func TestReplacedUpstreamStillRunning(t *testing.T) {
	inside, goOn := make(chan struct{}), make(chan struct{})
	w := newQuarantineFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/it" {
			close(inside)
			<-goOn
		}
	})
	done := make(chan *verdict.Error, 1)
	go func() { done <- w.get("/it") }()
	<-inside
	w.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: w.address, Slots: 4, Connections: 4, StartID: "another"})
	qt.Check(t, w.get("/after") == nil, qt.IsTrue)
	close(goOn)
	failure := <-done
	qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	qt.Check(t, w.get("/after") == nil, qt.IsTrue)
	qt.Check(t, w.crashes, qt.HasLen, 0)
}
