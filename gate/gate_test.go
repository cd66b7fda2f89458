// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"sassafrasfront.example/gate"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
	"sassafrasfront.example/watch"
)

// fixture is a gate in front of an upstream, with a client that calls it.
type fixture struct {
	gate   *gate.Gate
	client *peer.Client
	server *httptest.Server
	// address is the upstream's.
	address string
	mu      sync.Mutex
	causes  []verdict.Cause // causes of the ended calls, "" for a completed one
	loads   []peer.Report
}

func newFixture(t *testing.T, slots int, h http.HandlerFunc) *fixture {
	t.Helper()
	server := httptest.NewServer(h)
	r := &fixture{server: server, address: server.Listener.Addr().String()}
	r.gate = &gate.Gate{
		Tracer:  noop.NewTracerProvider().Tracer(""),
		Reports: &watch.Pacer[string]{Budget: watch.NewBudget(1<<20, 1), MessageBytes: 1},
		CallEnded: func(_, _ string, failure *verdict.Error, _, _ time.Duration) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if failure == nil {
				r.causes = append(r.causes, "")
			} else {
				r.causes = append(r.causes, failure.Cause)
			}
		},
	}
	config := operator.Service{Queue: operator.Queue{MaxLength: 1, MaxWait: operator.Duration(50 * time.Millisecond)}}.WithDefaults()
	r.gate.Configure(&config)
	r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: server.Listener.Addr().String(), Slots: slots, Connections: slots})
	r.serve(t)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return r
}

// serve connects the client to the fixture's current gate.
func (r *fixture) serve(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	server := &peer.Server{HandleCall: r.gate.Serve}
	go server.Run(ctx, listener)
	client := &peer.Client{
		Addr: listener.Addr().String(),
		OnReport: func(l peer.Report) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.loads = append(r.loads, l)
		},
	}
	r.client = client
	t.Cleanup(func() {
		client.Close()
		cancel()
	})
}

// call makes a call and returns its failure.
func (r *fixture) call(service string, remaining time.Duration) *verdict.Error {
	m := &peer.Call{Service: service, Method: "POST", Target: "/", Remaining: remaining}
	x, failure := r.client.Start(context.Background(), m, nil)
	if failure != nil {
		return failure
	}
	defer x.Close()
	_, failure = x.Wait()
	return failure
}

// TestPanic makes the handling of a call panic, before and after the request has been sent: the
// call fails as one that may have run, its slot is free again, and the gate continues.
func TestPanic(t *testing.T) {
	tests := map[string]func(g *gate.Gate, fault func()){
		"before it is sent": func(g *gate.Gate, fault func()) { g.ProbeLoad = func(context.Context) { fault() } },
		"with its response": func(g *gate.Gate, fault func()) { g.SuspectCleared = func(quarantine.Fingerprint) { fault() } },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			w := newQuarantineFixture(t, func(http.ResponseWriter, *http.Request) {})
			w.suspect("/it", "a")
			var panics atomic.Int32
			reported := make(chan bool, 10)
			w.gate.Panicked = func(c *peer.Call, value any, stack []byte) {
				reported <- c.Target == "/it" && value == "a fault" && len(stack) > 0
			}
			fault(w.gate, func() {
				if panics.Add(1) == 1 {
					panic("a fault")
				}
			})
			failure := w.get("/it")
			if failure != nil { // otherwise the response was complete
				qt.Check(t, failure.Cause, qt.Equals, verdict.GateFailed)
				qt.Check(t, failure.Verdict(), qt.Equals, verdict.MayHaveRun)
			}
			qt.Check(t, <-reported, qt.IsTrue) // which may come after the response
			for w.gate.Load().Running > 0 {
				time.Sleep(time.Millisecond)
			}
			qt.Check(t, w.get("/it") == nil, qt.IsTrue)
			qt.Check(t, reported, qt.HasLen, 0)
		})
	}
}

// beforeSending is a tracer that calls a function after a call has been admitted and before it is
// sent.
type beforeSending struct {
	trace.Tracer
	do func(ctx context.Context)
}

// Start implements trace.Tracer.
func (b beforeSending) Start(ctx context.Context, name string, options ...trace.SpanStartOption) (context.Context, trace.Span) {
	if name == "upstream" {
		b.do(ctx)
	}
	return b.Tracer.Start(ctx, name, options...)
}

// TestCallerLeavesBeforeSend guards against an upstream being mistaken for unreachable because the
// caller cancelled at the moment at which the call was about to be written. A healthy upstream
// then got no requests for 300 ms, and with one of two upstreams just ended, every request was
// refused meanwhile. An upstream that can't be reached does count as unreachable.
func TestCallerLeavesBeforeSend(t *testing.T) {
	tests := map[string]struct {
		leave, closed bool
		failed        int32
	}{
		"the caller leaves":    {leave: true},
		"the upstream is gone": {closed: true, failed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var failed atomic.Int32
			r := newFixture(t, 4, func(http.ResponseWriter, *http.Request) {})
			r.gate = &gate.Gate{Tracer: r.gate.Tracer, UpstreamUnreachable: func(*upstream.Announcement, *verdict.Error) { failed.Add(1) }}
			r.serve(t)
			config := operator.Service{}.WithDefaults()
			r.gate.Configure(&config)
			r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, Slots: 4, Connections: 4, StartID: "one"})
			qt.Assert(t, r.call("service", time.Minute) == nil, qt.IsTrue, qt.Commentf("a connection is kept"))
			sending := make(chan struct{})
			r.gate.Tracer = beforeSending{Tracer: r.gate.Tracer, do: func(ctx context.Context) {
				close(sending)
				if test.leave {
					<-ctx.Done()
				}
			}}
			if test.closed {
				r.server.Close()
			}
			x, failure := r.client.Start(context.Background(), &peer.Call{Service: "service", Method: "GET", Target: "/", Remaining: time.Minute, Attempt: 1}, nil)
			qt.Assert(t, failure == nil, qt.IsTrue)
			<-sending
			if !test.leave {
				_, _ = x.Wait()
			}
			x.Close()
			for r.gate.Load().Running > 0 {
				time.Sleep(time.Millisecond)
			}
			qt.Check(t, failed.Load(), qt.Equals, test.failed)
		})
	}
}

// TestCalls has one row for each state of the gate in which a call may arrive.
func TestCalls(t *testing.T) {
	tests := map[string]struct {
		before    func(g *gate.Gate)
		service   string
		remaining time.Duration
		want      verdict.Cause
		ran       bool
	}{
		"runs":                     {ran: true},
		"another service":          {service: "other", want: verdict.Misrouted},
		"withdrawn":                {before: func(g *gate.Gate) { g.SetAnnouncement(nil) }, want: verdict.Misrouted},
		"not configured":           {before: func(g *gate.Gate) { g.Configure(nil) }, want: verdict.Misrouted},
		"leaving":                  {before: func(g *gate.Gate) { g.Drain() }, want: verdict.Draining},
		"no time left":             {remaining: -1, want: verdict.DeadlinePassed},
		"upstream address changed": {before: func(g *gate.Gate) { announceDeadAddress(g, false) }, want: verdict.UpstreamDialFailed},
		"upstream drains":          {before: func(g *gate.Gate) { announceDeadAddress(g, true) }, want: verdict.Draining},
		"drained, and called late": {before: func(g *gate.Gate) { <-g.Drain() }, want: verdict.Draining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			ran := false
			r := newFixture(t, 1, func(http.ResponseWriter, *http.Request) {
				mu.Lock()
				ran = true
				mu.Unlock()
			})
			if test.before != nil {
				test.before(r.gate)
			}
			service, remaining := test.service, test.remaining
			if service == "" {
				service = "service"
			}
			if remaining == 0 {
				remaining = 10 * time.Second
			}
			failure := r.call(service, remaining)
			mu.Lock()
			defer mu.Unlock()
			qt.Check(t, ran, qt.Equals, test.ran)
			if test.want == "" {
				qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				return
			}
			qt.Assert(t, failure != nil, qt.IsTrue)
			qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
			// Either side may detect that the deadline has passed.
			if test.remaining == 0 {
				qt.Check(t, failure.Cause, qt.Equals, test.want)
			}
		})
	}
}

// announceDeadAddress announces an address that refuses connections.
func announceDeadAddress(g *gate.Gate, draining bool) {
	g.SetAnnouncement(&upstream.Announcement{Service: "service", Address: "127.0.0.1:1", Slots: 1, Connections: 1, Draining: draining})
}

// TestSlotsAreExact sends many calls at once to an upstream with three slots.
func TestSlotsAreExact(t *testing.T) {
	var mu sync.Mutex
	var running, most, runs int
	r := newFixture(t, 3, func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		running++
		runs++
		most = max(most, running)
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
	})
	var completed, refused int
	var all sync.WaitGroup
	for range 60 {
		all.Go(func() {
			failure := r.call("service", 10*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case failure == nil:
				completed++
			case failure.Cause == verdict.Refused:
				refused++
			default:
				t.Error(failure)
			}
		})
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	qt.Check(t, most <= 3, qt.IsTrue, qt.Commentf("%d at once", most))
	qt.Check(t, completed+refused, qt.Equals, 60)
	qt.Check(t, runs, qt.Equals, completed, qt.Commentf("what was refused must not have run"))
	r.mu.Lock()
	defer r.mu.Unlock()
	qt.Check(t, len(r.loads) > 0, qt.IsTrue, qt.Commentf("responses and refusals carry load reports"))
}

// TestErrorsAreReported has an upstream that responds in 20 ms and then fails all requests
// immediately: the failures are reported and their times do not count as service times.
func TestErrorsAreReported(t *testing.T) {
	var failing atomic.Bool
	r := newFixture(t, 4, func(w http.ResponseWriter, _ *http.Request) {
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		time.Sleep(20 * time.Millisecond)
	})
	for range 10 {
		qt.Assert(t, r.call("service", time.Second) == nil, qt.IsTrue)
	}
	before := r.gate.Load()
	qt.Check(t, before.FailureRatio, qt.Equals, 0.0)
	failing.Store(true)
	for range 10 {
		qt.Assert(t, r.call("service", time.Second) == nil, qt.IsTrue)
	}
	after := r.gate.Load()
	qt.Check(t, after.FailureRatio > 0.3, qt.IsTrue, qt.Commentf("%v", after.FailureRatio))
	qt.Check(t, after.ServiceTime, qt.Equals, before.ServiceTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	qt.Check(t, r.loads[10].FailureRatio > 0, qt.IsTrue, qt.Commentf("the response's own load report includes it"))
}

// TestSlowedUpstreamRedirects slows the upstream down without a report: the first attempt
// of a request detects it and is sent elsewhere, a second one is accepted, and so is a first one
// once senders may know.
func TestSlowedUpstreamRedirects(t *testing.T) {
	r := newFixture(t, 4, func(http.ResponseWriter, *http.Request) {})
	var probes atomic.Int32
	slowdown := 1.0
	r.gate.ProbeLoad = func(context.Context) {
		probes.Add(1)
		r.gate.ObserveLoad(upstream.Load{Slowdown: slowdown})
	}
	call := func(attempt int) verdict.Cause {
		x, failure := r.client.Start(context.Background(), &peer.Call{Service: "service", Method: "GET", Target: "/", Remaining: time.Second, Attempt: attempt}, nil)
		qt.Assert(t, failure == nil, qt.IsTrue)
		defer x.Close()
		<-x.Ready()
		if _, failure := x.Result(); failure != nil {
			return failure.Cause
		}
		return ""
	}
	qt.Check(t, call(1), qt.Equals, verdict.Cause(""))
	qt.Check(t, probes.Load(), qt.Equals, int32(1))
	qt.Check(t, call(2), qt.Equals, verdict.Cause(""), qt.Commentf("a later attempt does not probe the upstream"))
	qt.Check(t, probes.Load(), qt.Equals, int32(1))
	time.Sleep(30 * time.Millisecond) // until the reported speed is stale
	slowdown = 4
	qt.Check(t, call(1), qt.Equals, verdict.Slowed)
	qt.Check(t, probes.Load(), qt.Equals, int32(2))
	qt.Check(t, call(2), qt.Equals, verdict.Cause(""))
	time.Sleep(30 * time.Millisecond)
	qt.Check(t, call(1), qt.Equals, verdict.Cause(""), qt.Commentf("senders may know by now"))
	qt.Check(t, r.gate.Load().Running, qt.Equals, 0)
}

// TestUpstreamRestart restarts an upstream at the same address while a call runs there. The call
// fails as soon as its connection is lost, and the state of the new start is fresh. It guards
// against losing calls at an upstream that continues with them: the announcement of a new
// start does not prove that the former one has ended.
func TestUpstreamRestart(t *testing.T) {
	tests := map[string]struct {
		first, second upstream.Announcement
		ends          bool // whether the first start ends
	}{
		"same id":                         {upstream.Announcement{StartID: "i-1", StartMillis: 1000}, upstream.Announcement{StartID: "i-1", StartMillis: 2000}, true},
		"new id":                          {upstream.Announcement{StartID: "i-1"}, upstream.Announcement{StartID: "i-2"}, true},
		"same id, former one continues":   {upstream.Announcement{StartID: "i-1", StartMillis: 1000}, upstream.Announcement{StartID: "i-1", StartMillis: 2000}, false},
		"new id, former one continues":    {upstream.Announcement{StartID: "i-1"}, upstream.Announcement{StartID: "i-2"}, false},
		"after a drain":                   {upstream.Announcement{StartID: "i-1", StartMillis: 1000, Draining: true}, upstream.Announcement{StartID: "i-1", StartMillis: 2000}, false},
		"not restarted, start time added": {upstream.Announcement{StartID: "i-1"}, upstream.Announcement{StartID: "i-1", StartMillis: 2000}, false},
		"not restarted, drains":           {upstream.Announcement{StartID: "i-1", StartMillis: 1000}, upstream.Announcement{StartID: "i-1", StartMillis: 1000, Draining: true}, false},
		"not restarted, more slots":       {upstream.Announcement{StartID: "i-1", StartMillis: 1000}, upstream.Announcement{StartID: "i-1", StartMillis: 1000, Slots: 8}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inside, goOn := make(chan struct{}), make(chan struct{})
			r := newFixture(t, 4, func(http.ResponseWriter, *http.Request) {
				close(inside)
				<-goOn
			})
			announce := func(a upstream.Announcement) {
				a.Service = "service"
				a.Address = r.address
				a.Slots = max(4, a.Slots)
				a.Connections = a.Slots
				r.gate.SetAnnouncement(&a)
			}
			running := test.first
			running.Draining = false
			announce(running)
			r.gate.ObserveLoad(upstream.Load{Running: 1, Slots: 4, Slowdown: 4})
			ended := make(chan *verdict.Error, 1)
			go func() { ended <- r.call("service", 5*time.Second) }()
			<-inside
			if test.first.Draining {
				announce(test.first)
			}
			announce(test.second)
			restarted := test.first.StartID != test.second.StartID || test.first.StartMillis != 0 && test.first.StartMillis != test.second.StartMillis
			if test.ends {
				r.server.CloseClientConnections()
				failure := <-ended
				close(goOn)
				qt.Assert(t, failure, qt.IsNotNil)
				qt.Check(t, failure.Cause, qt.Equals, verdict.UpstreamLost)
				qt.Check(t, failure.Verdict(), qt.Equals, verdict.MayHaveRun)
			} else {
				close(goOn)
				failure := <-ended
				qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			}
			if !restarted {
				return
			}
			report := r.gate.Load()
			qt.Check(t, report.Slowdown, qt.Equals, 1.0)
			qt.Check(t, report.FailureRatio, qt.Equals, 0.0)
			qt.Check(t, report.ServiceTime, qt.Equals, time.Duration(0))
		})
	}
}
