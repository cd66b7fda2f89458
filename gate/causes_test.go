// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/gate"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// blockedReader is a body that never arrives.
type blockedReader struct{}

// Read implements io.Reader.
func (blockedReader) Read([]byte) (int, error) { select {} }

// TestFailedCallsHaveCauses ends a call in each way, at each stage of its handling: the gate reports a
// cause, and reports peerLost only if the connection of the call is lost. It guards against a
// peerLost that no log explains.
func TestFailedCallsHaveCauses(t *testing.T) {
	stages := map[string]struct {
		call    peer.Call
		body    func() io.Reader
		busy    bool // whether another call holds the slot
		runs    bool // whether it has reached the upstream
		reached func(r admit.Report) bool
	}{
		"waits for a slot": {
			busy:    true,
			reached: func(r admit.Report) bool { return r.Waiting == 1 },
		},
		"waits for its body": {
			call:    peer.Call{Streams: true, Length: 1},
			body:    func() io.Reader { return blockedReader{} },
			reached: func(r admit.Report) bool { return r.Running == 1 },
		},
		"waits for its body before admission": {
			call:    peer.Call{Streams: true, EarlyBody: true, Length: 100 << 10},
			body:    func() io.Reader { return blockedReader{} },
			reached: func(admit.Report) bool { return true },
		},
		"runs": {
			runs: true,
		},
		"runs with half of its body": {
			call: peer.Call{Streams: true, Length: 20 << 10},
			body: func() io.Reader {
				return io.MultiReader(strings.NewReader(strings.Repeat("x", 10<<10)), blockedReader{})
			},
			runs: true,
		},
		"is answered": {
			call: peer.Call{Target: "/long"},
			runs: true,
		},
	}
	ends := map[string]struct {
		remaining time.Duration
		end       func(p *endingCalls)
		causes    []verdict.Cause
	}{
		"its caller leaves": {
			end:    func(p *endingCalls) { p.exchange.Close() },
			causes: []verdict.Cause{verdict.Revoked, verdict.CallerGone, verdict.BodyLost, verdict.UpstreamDialFailed, verdict.ResponseTruncated, verdict.ResponseMalformed},
		},
		"its sender stops": {
			end:    func(p *endingCalls) { p.client.Close() },
			causes: []verdict.Cause{verdict.Revoked, verdict.PeerLost, verdict.UpstreamDialFailed, verdict.ResponseTruncated, verdict.ResponseMalformed},
		},
		"its connection is reset": {
			end:    func(p *endingCalls) { _ = p.conn.(*net.TCPConn).SetLinger(0); p.conn.Close() },
			causes: []verdict.Cause{verdict.Revoked, verdict.PeerLost, verdict.UpstreamDialFailed, verdict.ResponseTruncated, verdict.ResponseMalformed},
		},
		"its deadline passes": {
			remaining: 50 * time.Millisecond,
			end:       func(*endingCalls) {},
			causes:    []verdict.Cause{verdict.Revoked, verdict.Refused, verdict.DeadlinePassed, verdict.UpstreamDialFailed, verdict.TimedOut, verdict.CallerGone, verdict.ResponseTruncated, verdict.ResponseMalformed},
		},
	}
	for stage, s := range stages {
		for name, e := range ends {
			if stage == "is answered" && e.remaining > 0 {
				continue // a response that has begun may continue
			}
			t.Run(stage+"/"+name, func(t *testing.T) {
				t.Parallel()
				p := newEndingCalls(t)
				if s.busy {
					go p.start(peer.Call{Remaining: time.Minute}, nil)
					p.await(func(r admit.Report) bool { return r.Running == 1 })
				}
				m := s.call
				m.Remaining = time.Minute
				if e.remaining > 0 {
					m.Remaining = e.remaining
				}
				var body io.Reader
				if s.body != nil {
					body = s.body()
				}
				p.exchange = p.start(m, body)
				switch {
				case e.remaining > 0:
				case s.runs:
					<-p.inside
				default:
					p.await(s.reached)
				}
				e.end(p)
				failure := <-p.failures
				qt.Check(t, e.causes, qt.Contains, failure.Cause)
				if failure.Cause == verdict.PeerLost {
					qt.Check(t, failure.Err, qt.IsNotNil)
				}
			})
		}
	}
}

// TestServerStopIsNotCallerGone stops the server of a gate while a call runs, which its caller has not
// given up. It guards against reporting callerGone, which no node retries, when no caller has left.
func TestServerStopIsNotCallerGone(t *testing.T) {
	p := newEndingCalls(t)
	p.start(peer.Call{Remaining: time.Minute}, nil)
	<-p.inside
	p.stop()
	failure := <-p.failures
	qt.Check(t, failure.Cause, qt.Not(qt.Equals), verdict.CallerGone, qt.Commentf("%v", failure))
	qt.Check(t, failure.Err, qt.IsNotNil)
}

// endingCalls is a gate whose calls are ended by the test.
type endingCalls struct {
	t        *testing.T
	gate     *gate.Gate
	client   *peer.Client
	conn     net.Conn // of the client
	stop     func()   // ends the gate's server
	exchange *peer.Exchange
	inside   chan struct{}       // receives a value for each call that reaches the upstream
	failures chan *verdict.Error // of the ended calls
}

func newEndingCalls(t *testing.T) *endingCalls {
	inside := make(chan struct{}, 10)
	r := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		inside <- struct{}{}
		if r.URL.Path == "/long" {
			w.(http.Flusher).Flush()
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
	})
	p := &endingCalls{
		t:        t,
		inside:   inside,
		failures: make(chan *verdict.Error, 10),
	}
	p.gate = &gate.Gate{
		Tracer: r.gate.Tracer,
		CallEnded: func(_, _ string, failure *verdict.Error, _, _ time.Duration) {
			p.failures <- failure
		},
	}
	config := operator.Service{Queue: operator.Queue{MaxLength: 1, MaxWait: operator.Duration(time.Minute)}}.WithDefaults()
	p.gate.Configure(&config)
	p.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, Slots: 1, Connections: 1})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	server := &peer.Server{HandleCall: p.gate.Serve}
	go server.Run(ctx, listener)
	p.client = &peer.Client{
		Addr: listener.Addr().String(),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", addr)
			p.conn = c
			return c, err
		},
	}
	t.Cleanup(func() {
		p.client.Close()
		stop()
	})
	return p
}

// start makes a call.
func (p *endingCalls) start(m peer.Call, body io.Reader) *peer.Exchange {
	m.Service, m.Method = "service", "POST"
	if m.Target == "" {
		m.Target = "/"
	}
	// A call whose deadline passes before it has been written does not reach the gate.
	for wait := m.Remaining; ; wait *= 2 {
		m.Remaining = wait
		x, failure := p.client.Start(context.Background(), &m, body)
		if failure == nil {
			return x
		}
		if failure.Cause != verdict.DeadlinePassed && failure.Cause != verdict.NotWritten || wait > time.Minute {
			p.t.Error(failure)
			return nil
		}
	}
}

// await waits until the gate's load meets the condition.
func (p *endingCalls) await(condition func(r admit.Report) bool) {
	for !condition(p.gate.Load()) {
		time.Sleep(time.Millisecond)
	}
}
