// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/gate"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// TestEvacuate evacuates the zone of a gate while one request runs and one waits: the running
// one completes, the waiting one and later ones are refused without having run, and the gate
// accepts requests again after the evacuation ends.
func TestEvacuate(t *testing.T) {
	inside, goOn := make(chan struct{}), make(chan struct{})
	var runs atomic.Int32
	r := newFixture(t, 1, func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) == 1 {
			close(inside)
			<-goOn
		}
	})
	config := operator.Service{Queue: operator.Queue{MaxLength: 1, MaxWait: operator.Duration(time.Minute)}}.WithDefaults()
	r.gate.Configure(&config)
	first, second := make(chan *verdict.Error, 1), make(chan *verdict.Error, 1)
	go func() { first <- r.call("service", time.Minute) }()
	<-inside
	go func() { second <- r.call("service", time.Minute) }()
	for r.gate.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	r.gate.SetEvacuated(true)
	refused := func(failure *verdict.Error) {
		t.Helper()
		qt.Assert(t, failure != nil, qt.IsTrue)
		qt.Check(t, failure.Cause, qt.Equals, verdict.Draining)
		qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
	}
	refused(<-second)
	refused(r.call("service", time.Minute))
	close(goOn)
	qt.Check(t, <-first == nil, qt.IsTrue)
	refused(r.call("service", time.Minute))
	qt.Check(t, runs.Load(), qt.Equals, int32(1))
	r.gate.SetEvacuated(false)
	qt.Check(t, r.call("service", time.Minute) == nil, qt.IsTrue)
	qt.Check(t, runs.Load(), qt.Equals, int32(2))
}

// TestEvacuateAfterAdmission evacuates the zone while a request waits for the only connection and
// for its body: it must not reach the upstream.
func TestEvacuateAfterAdmission(t *testing.T) {
	inside, goOn := make(chan struct{}), make(chan struct{})
	var runs atomic.Int32
	r := newFixture(t, 2, func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) == 1 {
			close(inside)
			<-goOn
		}
	})
	r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, Slots: 2, Connections: 1, StartID: "one"})
	config := operator.Service{}.WithDefaults()
	r.gate.Configure(&config)
	// With a single connection the gate has a single slot as well, so the streamed body is the
	// only thing left to wait for.
	go func() { _ = r.call("service", time.Minute) }()
	<-inside
	body := make(chan struct{})
	m := &peer.Call{Service: "service", Method: "PUT", Target: "/", Remaining: time.Minute, Streams: true, Length: 1}
	done := make(chan *verdict.Error, 1)
	go func() {
		x, failure := r.client.Start(context.Background(), m, delayedReader{Reader: strings.NewReader("x"), ready: body})
		if failure == nil {
			_, failure = x.Wait()
			x.Close()
		}
		done <- failure
	}()
	r.gate.SetEvacuated(true)
	close(body)
	close(goOn)
	failure := <-done
	qt.Assert(t, failure != nil, qt.IsTrue)
	qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
	qt.Check(t, runs.Load(), qt.Equals, int32(1))
}

// delayedReader is a body that can be read once its channel is closed.
type delayedReader struct {
	*strings.Reader
	ready chan struct{}
}

// Read implements io.Reader.
func (h delayedReader) Read(p []byte) (int, error) {
	<-h.ready
	return h.Reader.Read(p)
}

// TestNodeStartsBesideColdUpstream starts a node beside a cold upstream. If the upstream started
// before the node, an earlier process of the node may have sent it all that is allowed in the last
// second; if both started together, as after a power loss, nothing was sent to it.
func TestNodeStartsBesideColdUpstream(t *testing.T) {
	const maxAdmitted, calls = 5, 20
	tests := map[string]struct {
		cold       time.Duration // remaining cold time
		configured bool          // before the upstream announces itself
		want       int32
	}{
		"started together":                   {cold: 3 * time.Second, configured: true, want: maxAdmitted},
		"started together, configured later": {cold: 3 * time.Second, want: maxAdmitted},
		"started before":                     {cold: 2 * time.Second, configured: true, want: 0},
		"started before, configured later":   {cold: 2 * time.Second, want: 0},
		"warm":                               {configured: true, want: calls},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			r := newFixture(t, calls, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			r.gate = &gate.Gate{Tracer: r.gate.Tracer, Started: time.Now()}
			r.serve(t)
			config := operator.Service{
				Cold:  operator.Cold{MaxAdmittedPerSecond: maxAdmitted, MaxSentPerSecond: maxAdmitted, AssumedDuration: operator.Duration(3 * time.Second)},
				Queue: operator.Queue{MaxLength: calls, MaxWait: operator.Duration(10 * time.Millisecond)},
			}.WithDefaults()
			if test.configured {
				r.gate.Configure(&config)
			}
			r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, Slots: calls, Connections: calls, StartID: "one", ColdRemaining: test.cold})
			if !test.configured {
				r.gate.Configure(&config)
			}
			done := make(chan *verdict.Error, calls)
			for range calls {
				go func() { done <- r.call("service", time.Minute) }()
			}
			for range calls {
				<-done
			}
			qt.Check(t, runs.Load(), qt.Equals, test.want)
		})
	}
}

// TestColdUpstream sends many calls at once to a gate whose upstream has just started: no more
// are sent on than the cold limits allow, also if more were admitted, and the others are refused
// without having run, with a retry delay. Once the upstream reports that it is warm, all are sent.
func TestColdUpstream(t *testing.T) {
	const maxAdmitted, maxSent, calls = 5, 7, 40
	tests := map[string]struct {
		cold operator.Cold
		warm bool
		want int32
	}{
		"cold":                    {cold: operator.Cold{MaxAdmittedPerSecond: maxAdmitted, MaxSentPerSecond: maxSent, AssumedDuration: operator.Duration(time.Minute)}, want: maxAdmitted},
		"admitted, then delayed":  {cold: operator.Cold{MaxSentPerSecond: maxSent, AssumedDuration: operator.Duration(time.Minute)}, want: maxSent},
		"reports that it is warm": {cold: operator.Cold{MaxAdmittedPerSecond: maxAdmitted, MaxSentPerSecond: maxSent, AssumedDuration: operator.Duration(time.Minute)}, warm: true, want: calls},
		"no limit is configured":  {want: calls},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			r := newFixture(t, calls, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			config := operator.Service{Cold: test.cold, Queue: operator.Queue{MaxLength: calls, MaxWait: operator.Duration(10 * time.Millisecond)}}.WithDefaults()
			r.gate.Configure(&config)
			r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, Slots: calls, Connections: calls, StartID: "new"})
			if test.warm {
				r.gate.SetColdRemaining(0)
			}
			done := make(chan *verdict.Error, calls)
			for range calls {
				go func() { done <- r.call("service", time.Minute) }()
			}
			refused := int32(0)
			for range calls {
				if failure := <-done; failure != nil {
					refused++
					qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
					qt.Check(t, failure.RetryAfter > 0, qt.IsTrue, qt.Commentf("%v", failure))
				}
			}
			qt.Check(t, runs.Load(), qt.Equals, test.want)
			qt.Check(t, refused, qt.Equals, calls-test.want)
		})
	}
}
