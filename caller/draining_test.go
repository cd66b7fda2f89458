// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/caller"
)

// The moments of a stop in the tests below, from their beginnings.
const (
	stopTime  = 10 * time.Second
	drainTime = 11 * time.Second
)

// stop stops the server as a node does.
func (s *testServer) stop() {
	time.Sleep(stopTime)
	s.listener.DisableKeepAlives()
	time.Sleep(drainTime - stopTime)
	qt.Check(s.t, s.listener.Drain(s.t.Context()), qt.IsNil)
	qt.Check(s.t, s.server.Shutdown(s.t.Context()), qt.IsNil)
	s.checkClosed()
}

// part is what a caller writes at a moment.
type timedWrite struct {
	at   time.Duration
	text string
}

// TestRequestsCrossStop has requests come in around the moments of a stop. Those whose heads were
// read while the server shut down got no answer, and neither did those that came in on a
// kept connection just when it was closed.
func TestRequestsDuringStop(t *testing.T) {
	const moment = time.Millisecond
	first := timedWrite{5 * time.Second, firstRequest}
	tests := map[string]struct {
		sent []timedWrite
		want []string
	}{
		"running as it leaves":            {sent: []timedWrite{{stopTime - moment, firstRequest}}, want: []string{"/one "}},
		"running as it drains":            {sent: []timedWrite{{drainTime - moment, firstRequest}}, want: []string{"/one "}},
		"fresh, in between":               {sent: []timedWrite{{stopTime + moment, firstRequest}}, want: []string{"/one "}},
		"fresh, crossing the drain":       {sent: []timedWrite{{drainTime + moment, firstRequest}}, want: []string{"/one "}},
		"kept, crossing the leave":        {sent: []timedWrite{first, {stopTime + moment, secondRequest}}, want: []string{"/one ", "/two "}},
		"kept, in between":                {sent: []timedWrite{first, {stopTime + 500*moment, secondRequest}}, want: []string{"/one ", "/two "}},
		"kept, crossing the drain":        {sent: []timedWrite{first, {drainTime + moment, secondRequest}}, want: []string{"/one ", "/two "}},
		"kept, nothing more comes":        {sent: []timedWrite{first}, want: []string{"/one "}},
		"nothing comes":                   {},
		"head in halves over the leave":   {sent: []timedWrite{{stopTime - moment, firstRequest[:20]}, {stopTime + moment, firstRequest[20:]}}, want: []string{"/one "}},
		"head in halves over the drain":   {sent: []timedWrite{{drainTime - moment, firstRequest[:20]}, {drainTime + 900*moment, firstRequest[20:]}}, want: []string{"/one "}},
		"kept, in halves over the drain":  {sent: []timedWrite{first, {drainTime - moment, secondRequest[:20]}, {drainTime + 900*moment, secondRequest[20:]}}, want: []string{"/one ", "/two "}},
		"pipelined before it leaves":      {sent: []timedWrite{{stopTime - 1500*moment, firstRequest + secondRequest}}, want: []string{"/one ", "/two "}},
		"pipelined, the first runs on":    {sent: []timedWrite{{stopTime - moment, firstRequest + secondRequest}}, want: []string{"/one "}},
		"a body through all of it":        {sent: []timedWrite{{stopTime - moment, chunkedPost + "2\nhi\n"}, {drainTime - moment, "2\nho\n"}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/two hihohu"}},
		"a body whose head crosses":       {sent: []timedWrite{{drainTime - moment, chunkedPost[:30]}, {drainTime + moment, chunkedPost[30:]}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/two hu"}},
		"a pipelined body crosses":        {sent: []timedWrite{{drainTime - 1001*moment, firstRequest + chunkedPost}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/one "}},
		"a body after a kept request":     {sent: []timedWrite{first, {drainTime + moment, chunkedPost}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/one ", "/two hu"}},
		"an aborted answer, then nothing": {sent: []timedWrite{first, {stopTime + moment, strings.Replace(firstRequest, "/one", "/abort", 1)}}, want: []string{"/one "}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, nil)
				responses := s.responses()
				var sending sync.WaitGroup
				sending.Go(func() {
					began := time.Now()
					for _, p := range test.sent {
						time.Sleep(p.at - time.Since(began))
						s.send(p.text)
					}
				})
				s.stop()
				sending.Wait()
				var got []string
				for a := range responses {
					got = append(got, a)
				}
				qt.Check(t, got, qt.DeepEquals, test.want)
			})
		})
	}
}

// TestStreamsCrossStop does the same over HTTP/2, where a caller is told which requests have not
// been taken up.
func TestHTTP2RequestsDuringStop(t *testing.T) {
	const moment = time.Millisecond
	tests := map[string][]time.Duration{
		"running as it leaves":     {stopTime - moment},
		"running as it drains":     {drainTime - moment},
		"in between":               {stopTime + moment},
		"kept, in between":         {5 * time.Second, stopTime + moment},
		"kept, crossing the drain": {5 * time.Second, drainTime - 2*moment, drainTime - moment},
		"all at once":              {stopTime - moment, stopTime, stopTime + moment, drainTime - moment},
	}
	for name, moments := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, nil)
				transport := &http.Transport{
					Protocols: new(http.Protocols),
					DialContext: func(context.Context, string, string) (net.Conn, error) {
						ours, theirs := net.Pipe()
						s.source.pipeListener <- theirs
						return ours, nil
					},
				}
				transport.Protocols.SetUnencryptedHTTP2(true)
				defer transport.CloseIdleConnections()
				got := make(chan string, len(moments))
				for _, at := range moments {
					go func() {
						time.Sleep(at)
						r, err := transport.RoundTrip(request(t, "http://service.example/one"))
						if err != nil {
							got <- err.Error()
							return
						}
						defer r.Body.Close()
						body, _ := io.ReadAll(r.Body)
						got <- string(body)
					}()
				}
				_ = s.conn.Close()
				s.stop()
				for range moments {
					qt.Check(t, <-got, qt.Equals, "/one ")
				}
			})
		})
	}
}

// toldListener says when it is first told to close, or to look for a time only.
type notifyingListener struct {
	*net.TCPListener
	notify func()
}

func (l *notifyingListener) SetDeadline(t time.Time) error {
	defer l.notify()
	return l.TCPListener.SetDeadline(t)
}

func (l *notifyingListener) Close() error {
	defer l.notify()
	return l.TCPListener.Close()
}

// TestConnectionOpenedBeforeDrain has a caller open a connection and send a request, which the server comes
// to after the node has begun to close its listener. The connection was reset.
func TestConnectionOpenedBeforeDrain(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := newTestServer(t, nil)
	notified := make(chan struct{})
	listener := &caller.Listener{
		Listener: &notifyingListener{
			TCPListener: tcp.(*net.TCPListener),
			notify:      sync.OnceFunc(func() { close(notified) }),
		},
	}
	c, err := net.Dial("tcp", tcp.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = io.WriteString(c, strings.ReplaceAll(firstRequest, "\n", "\r\n"))
	qt.Assert(t, err, qt.IsNil)
	drained := make(chan error)
	go func() { drained <- listener.Drain(t.Context()) }()
	<-notified
	go s.server.Serve(listener)
	all, err := io.ReadAll(c)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(all), qt.Contains, "/one ")
	qt.Check(t, <-drained, qt.IsNil)
	_, err = net.Dial("tcp", tcp.Addr().String())
	qt.Check(t, err, qt.Not(qt.IsNil))
}

// request returns a GET request of the URL.
func request(t *testing.T, url string) *http.Request {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	qt.Assert(t, err, qt.IsNil)
	return r
}
