// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// gates records the calls that a set of simulated gates receives.
type gates struct {
	mu    sync.Mutex
	calls []string // the gates that received a call, in order
	ended []string // the gates whose call was cancelled
}

// gateFunc handles one call at a simulated gate.
type gateFunc func(in *peer.InboundCall)

func respond(in *peer.InboundCall) {
	_ = in.Reply(&peer.ResponseHead{Status: 200, Body: []byte("done")})
}

func fail(c verdict.Cause) gateFunc {
	return func(in *peer.InboundCall) { in.Fail(verdict.New(c, nil), nil) }
}

// hang does not respond, and fails as a gate does when the call's deadline passes.
func hang(in *peer.InboundCall) {
	<-in.Context().Done()
	in.Fail(verdict.As(context.Cause(in.Context()), verdict.TimedOut), nil)
}

// queued waits in a queue until it is revoked.
func queued(in *peer.InboundCall) {
	revoked := make(chan struct{})
	var once sync.Once
	in.OnRevoke(func() bool {
		once.Do(func() { close(revoked) })
		return true
	})
	select {
	case <-revoked:
		in.Fail(verdict.New(verdict.Revoked, nil), nil) // as a gate does
	case <-in.Context().Done():
	}
}

// newDispatcher returns a dispatcher for a service whose gates handle the successive calls with
// the given functions, and all further calls with the last one.
func newDispatcher(t *testing.T, config operator.Service, n int, handlers ...gateFunc) (*entry.Dispatcher, *gates) {
	t.Helper()
	g := new(gates)
	s := &entry.Service{Name: "service", Config: config.WithDefaults()}
	for i := range n {
		s.Members = append(s.Members, g.member(t, fmt.Sprint("gate", i), handlers...))
	}
	d := &entry.Dispatcher{Hello: peer.Hello{Node: "entry"}}
	d.SetServices(map[string]*entry.Service{"service": s})
	t.Cleanup(d.Close)
	return d, g
}

// newSimDispatcher is like newDispatcher on a simulated network, for use with a fake clock. The
// caller calls stop.
func newSimDispatcher(config operator.Service, n int, handlers ...gateFunc) (d *entry.Dispatcher, g *gates, stop func()) {
	g = new(gates)
	network := &simnet.Network{Latency: 100 * time.Microsecond, WindowBytes: linkWindow}
	from := network.Host("entry")
	ctx, cancel := context.WithCancel(context.Background())
	var servers, calls sync.WaitGroup
	s := &entry.Service{Name: "service", Config: config.WithDefaults()}
	for i := range n {
		id := fmt.Sprint("gate", i)
		server := g.server(id, handlers...)
		call := server.HandleCall
		server.HandleCall = func(in *peer.InboundCall) {
			calls.Add(1)
			defer calls.Done()
			call(in)
		}
		listener := network.Host(id).Listen()
		servers.Go(func() { _ = server.Run(ctx, listener) })
		s.Members = append(s.Members, entry.Member{ID: id, Addr: id, Slots: 10})
	}
	d = &entry.Dispatcher{
		Hello: peer.Hello{Node: "entry"},
		Dial:  func(ctx context.Context, addr string) (net.Conn, error) { return from.Dial(ctx, addr) },
	}
	d.SetServices(map[string]*entry.Service{"service": s})
	return d, g, func() {
		d.Close()
		calls.Wait()
		cancel()
		servers.Wait()
	}
}

// member starts a gate and returns it as a member of the service.
func (g *gates) member(t *testing.T, id string, handlers ...gateFunc) entry.Member {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go g.server(id, handlers...).Run(ctx, listener)
	return entry.Member{ID: id, Addr: listener.Addr().String(), Slots: 10}
}

// server returns the server of a gate.
func (g *gates) server(id string, handlers ...gateFunc) *peer.Server {
	return &peer.Server{HandleCall: func(in *peer.InboundCall) {
		g.mu.Lock()
		g.calls = append(g.calls, id)
		handle := handlers[min(len(g.calls), len(handlers))-1]
		g.mu.Unlock()
		handle(in)
		if in.Context().Err() != nil {
			g.mu.Lock()
			g.ended = append(g.ended, id)
			g.mu.Unlock()
		}
	}}
}

func (g *gates) count() (calls, distinct, ended int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]bool)
	for _, id := range g.calls {
		seen[id] = true
	}
	return len(g.calls), len(seen), len(g.ended)
}

// TestDo has one case for each way in which a request can proceed.
func TestDo(t *testing.T) {
	budget := operator.Service{Retry: operator.Retry{MaxAttempts: 3, Ratio: 0.1, Burst: 5}}
	tests := map[string]struct {
		handlers   []gateFunc
		idempotent bool
		timeout    time.Duration
		stream     bool
		want       verdict.Cause // empty for a response
		calls      int
		gates      int // 3 if 0
	}{
		"answered":                               {handlers: []gateFunc{respond}, calls: 1},
		"refused once, POST":                     {handlers: []gateFunc{fail(verdict.Refused), respond}, calls: 2},
		"refused by all":                         {handlers: []gateFunc{fail(verdict.Refused)}, want: verdict.Refused, calls: 3},
		"refused by the only one":                {handlers: []gateFunc{fail(verdict.Refused)}, gates: 1, want: verdict.Refused, calls: 1},
		"draining, streamed":                     {handlers: []gateFunc{fail(verdict.Draining), respond}, stream: true, calls: 2},
		"upstream lost, POST":                    {handlers: []gateFunc{fail(verdict.UpstreamLost), respond}, want: verdict.UpstreamLost, calls: 1},
		"upstream lost, GET":                     {handlers: []gateFunc{fail(verdict.UpstreamLost), respond}, idempotent: true, calls: 2},
		"response invalid, GET":                  {handlers: []gateFunc{fail(verdict.ResponseInvalid), respond}, idempotent: true, want: verdict.ResponseInvalid, calls: 1},
		"lost and then refused":                  {handlers: []gateFunc{fail(verdict.UpstreamLost), fail(verdict.Refused)}, idempotent: true, want: verdict.UpstreamLost, calls: 3},
		"no response in time":                    {handlers: []gateFunc{hang}, timeout: 50 * time.Millisecond, want: verdict.TimedOut, calls: 1},
		"deadline already passed":                {handlers: []gateFunc{respond}, timeout: -1, want: verdict.DeadlinePassed},
		"refused, no time for another attempt":   {handlers: []gateFunc{func(in *peer.InboundCall) { time.Sleep(60 * time.Millisecond); fail(verdict.Refused)(in) }}, timeout: 50 * time.Millisecond, want: verdict.TimedOut, calls: 1},
		"upstream says not run, within a budget": {handlers: []gateFunc{fail(verdict.UpstreamRefused), respond}, calls: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gates := test.gates
				if gates == 0 {
					gates = 3
				}
				d, g, stop := newSimDispatcher(budget, gates, test.handlers...)
				defer stop()
				timeout := test.timeout
				if timeout == 0 {
					timeout = 10 * time.Second
				}
				r := &entry.Request{Service: "service", Method: "X", Target: "/", Idempotent: test.idempotent, Deadline: time.Now().Add(timeout)}
				if test.stream {
					r.Stream = entry.ReadOnce(strings.NewReader("body"))
					r.Length = -1
				}
				result, failed := d.Do(context.Background(), r)
				calls, distinct, _ := g.count()
				qt.Check(t, calls, qt.Equals, test.calls)
				qt.Check(t, distinct, qt.Equals, test.calls, qt.Commentf("each attempt goes to a different gate"))
				if test.want != "" {
					qt.Assert(t, failed != nil, qt.IsTrue)
					qt.Check(t, failed.Cause, qt.Equals, test.want)
					qt.Check(t, failed.GivenUp, qt.IsTrue)
					if failed.Status() == 503 {
						qt.Check(t, failed.RetryAfter > 0, qt.IsTrue)
					}
					return
				}
				qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
				defer result.Close()
				data, err := io.ReadAll(result.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, string(data), qt.Equals, "done")
				qt.Check(t, result.Attempts, qt.Equals, test.calls)
			})
		})
	}
}

// TestRetryOnError has upstreams that answer with status 500 and report the share of their
// requests that fail.
func TestRetryOnError(t *testing.T) {
	failing := func(share float64) gateFunc {
		return func(in *peer.InboundCall) {
			_ = in.Reply(&peer.ResponseHead{Status: 500, Body: []byte("error"), Report: &peer.Report{Slots: 10, FailureRatio: share}})
		}
	}
	config := operator.Retry{MaxAttempts: 3, Ratio: 0.1, Burst: 5, OnError: true}
	tests := map[string]struct {
		handlers      []gateFunc
		retry         operator.Retry
		notIdempotent bool // whether the request is not idempotent
		maxAttempts   int  // value of MaxAttempts
		want          int
		calls         int
	}{
		"error rate stands out":         {handlers: []gateFunc{failing(0.5), respond}, want: 200, calls: 2},
		"error rate does not stand out": {handlers: []gateFunc{failing(0.1), respond}, want: 500, calls: 1},
		"not idempotent":                {handlers: []gateFunc{failing(0.5), respond}, notIdempotent: true, want: 500, calls: 1},
		"two errors":                    {handlers: []gateFunc{failing(0.5), failing(0.5), respond}, want: 500, calls: 2},
		"second attempt is lost":        {handlers: []gateFunc{failing(0.5), fail(verdict.UpstreamLost), fail(verdict.UpstreamLost)}, want: 500, calls: 3},
		"one upstream allowed":          {handlers: []gateFunc{failing(0.5), respond}, maxAttempts: 1, want: 500, calls: 1},
		"not configured":                {handlers: []gateFunc{failing(0.5), respond}, retry: operator.Retry{MaxAttempts: 3, Ratio: 0.1, Burst: 5}, want: 500, calls: 1},
		"no budget":                     {handlers: []gateFunc{failing(0.5), respond}, retry: operator.Retry{MaxAttempts: 3, Ratio: 1e-9, Burst: 1e-9, OnError: true}, want: 500, calls: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			retry := test.retry
			if retry.MaxAttempts == 0 {
				retry = config
			}
			d, g := newDispatcher(t, operator.Service{Retry: retry}, 4, test.handlers...)
			result, failed := d.Do(context.Background(), &entry.Request{Service: "service", Method: "X", Target: "/", Idempotent: !test.notIdempotent, MaxAttempts: test.maxAttempts, Deadline: time.Now().Add(10 * time.Second)})
			qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			defer result.Close()
			qt.Check(t, result.Status, qt.Equals, test.want)
			data, err := io.ReadAll(result.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(data), qt.Equals, map[int]string{200: "done", 500: "error"}[test.want])
			calls, distinct, _ := g.count()
			qt.Check(t, calls, qt.Equals, test.calls)
			qt.Check(t, distinct, qt.Equals, test.calls)
		})
	}
}

// TestSlowRequests records the latency of fast requests and then has a request hang. An
// idempotent request is hedged and its slower attempt cancelled. Any other is revoked
// if it is queued, and left alone if it runs.
func TestSlowRequests(t *testing.T) {
	config := operator.Service{Hedge: operator.Hedge{Ratio: 0.2, MinDelay: operator.Duration(20 * time.Millisecond)}}
	tests := map[string]struct {
		slow       gateFunc
		idempotent bool
		want       verdict.Cause
		calls      int
		ended      int
	}{
		"hedged":           {slow: hang, idempotent: true, calls: 2, ended: 1},
		"revoked":          {slow: queued, calls: 2},
		"runs, left alone": {slow: hang, want: verdict.TimedOut, calls: 1, ended: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const warmUp = 64
			handlers := make([]gateFunc, warmUp, warmUp+2)
			for i := range handlers {
				handlers[i] = respond
			}
			d, g := newDispatcher(t, config, 2, append(handlers, test.slow, respond)...)
			send := func() *verdict.Error {
				result, failed := d.Do(context.Background(), &entry.Request{
					Service: "service", Method: "X", Target: "/",
					Idempotent: test.idempotent,
					Deadline:   time.Now().Add(time.Second),
				})
				if failed == nil {
					result.Close()
				}
				return failed
			}
			for range warmUp {
				qt.Assert(t, send() == nil, qt.IsTrue)
			}
			failed := send()
			if test.want == "" {
				qt.Check(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			} else {
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, failed.Cause, qt.Equals, test.want)
			}
			for range 500 {
				if _, _, ended := g.count(); ended >= test.ended {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			calls, _, ended := g.count()
			qt.Check(t, calls, qt.Equals, warmUp+test.calls)
			qt.Check(t, ended, qt.Equals, test.ended)
		})
	}
}

// TestNoUpstream sends requests to a service without upstreams, and to one that the Dispatcher
// does not know yet. Neither may be reported as a service that does not exist.
func TestNoUpstream(t *testing.T) {
	d, _ := newDispatcher(t, operator.Service{}, 0)
	for service, want := range map[string]verdict.Cause{"service": verdict.NoUpstream, "other": verdict.NoUpstream} {
		_, failed := d.Do(context.Background(), &entry.Request{Service: service, Deadline: time.Now().Add(time.Second)})
		qt.Assert(t, failed != nil, qt.IsTrue)
		qt.Check(t, failed.Cause, qt.Equals, want)
	}
}

// TestRetryAfterStart sends requests to a node that has its configuration and does not know any
// upstream yet. Its callers are told to retry soon while the node has just started, and later
// otherwise.
func TestRetryAfterStart(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration
		want time.Duration
	}{
		"just started":       {age: 0, want: 250 * time.Millisecond},
		"a second ago":       {age: time.Second, want: 250 * time.Millisecond},
		"three seconds ago":  {age: 3 * time.Second, want: time.Second},
		"an hour ago":        {age: time.Hour, want: time.Second},
		"start time unknown": {age: 1 << 62, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &entry.Dispatcher{Started: time.Now().Add(-test.age)}
				defer d.Close()
				s := &entry.Service{Name: "known", Config: operator.Service{}.WithDefaults()}
				d.SetServices(map[string]*entry.Service{s.Name: s})
				for _, service := range []string{"known", "not known yet"} {
					_, failed := d.Do(context.Background(), &entry.Request{Service: service, Deadline: time.Now().Add(time.Second)})
					qt.Assert(t, failed, qt.IsNotNil)
					qt.Check(t, failed.Cause, qt.Equals, verdict.NoUpstream)
					qt.Check(t, failed.Verdict(), qt.Equals, verdict.NotRun)
					qt.Check(t, failed.RetryAfter, qt.Equals, test.want)
				}
			})
		})
	}
}

// BenchmarkSetServices measures an update that changes one service of many.
func BenchmarkSetServices(b *testing.B) {
	for _, n := range []int{160, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := new(entry.Dispatcher)
			services := make(map[string]*entry.Service)
			for i := range n {
				s := &entry.Service{Name: fmt.Sprint("service", i), Config: operator.Service{}.WithDefaults()}
				for j := range 6 {
					s.Members = append(s.Members, entry.Member{ID: fmt.Sprint(i, "/", j), Slots: 10})
				}
				services[s.Name] = s
			}
			for b.Loop() {
				changed := *services["service0"]
				services["service0"] = &changed
				d.SetServices(services)
			}
		})
	}
}
