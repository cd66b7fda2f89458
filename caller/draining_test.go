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

// The times at which a server begins to stop and to drain in the tests below.
const (
	stopTime  = 10 * time.Second
	drainTime = 11 * time.Second
)

// stop stops the server in the same steps as a node.
func (s *testServer) stop() {
	time.Sleep(stopTime)
	s.listener.DisableKeepAlives()
	time.Sleep(drainTime - stopTime)
	qt.Check(s.t, s.listener.Drain(s.t.Context()), qt.IsNil)
	qt.Check(s.t, s.server.Shutdown(s.t.Context()), qt.IsNil)
	s.checkClosed()
}

// timedWrite is a text that a caller writes at a given time.
type timedWrite struct {
	at   time.Duration
	text string
}

// TestRequestsDuringStop sends requests around the steps of a stop. It guards against missing
// responses to requests whose headers were read while the server shut down, and to those received
// on an idle connection just when it was closed.
func TestRequestsDuringStop(t *testing.T) {
	const moment = time.Millisecond
	first := timedWrite{5 * time.Second, firstRequest}
	tests := map[string]struct {
		sent []timedWrite
		want []string
	}{
		"running at the stop":                          {sent: []timedWrite{{stopTime - moment, firstRequest}}, want: []string{"/one "}},
		"running at the drain":                         {sent: []timedWrite{{drainTime - moment, firstRequest}}, want: []string{"/one "}},
		"first request, between stop and drain":        {sent: []timedWrite{{stopTime + moment, firstRequest}}, want: []string{"/one "}},
		"first request, just after the drain":          {sent: []timedWrite{{drainTime + moment, firstRequest}}, want: []string{"/one "}},
		"second request, just after the stop":          {sent: []timedWrite{first, {stopTime + moment, secondRequest}}, want: []string{"/one ", "/two "}},
		"second request, between stop and drain":       {sent: []timedWrite{first, {stopTime + 500*moment, secondRequest}}, want: []string{"/one ", "/two "}},
		"second request, just after the drain":         {sent: []timedWrite{first, {drainTime + moment, secondRequest}}, want: []string{"/one ", "/two "}},
		"no second request":                            {sent: []timedWrite{first}, want: []string{"/one "}},
		"no request":                                   {},
		"header in halves around the stop":             {sent: []timedWrite{{stopTime - moment, firstRequest[:20]}, {stopTime + moment, firstRequest[20:]}}, want: []string{"/one "}},
		"header in halves around the drain":            {sent: []timedWrite{{drainTime - moment, firstRequest[:20]}, {drainTime + 900*moment, firstRequest[20:]}}, want: []string{"/one "}},
		"second header in halves around the drain":     {sent: []timedWrite{first, {drainTime - moment, secondRequest[:20]}, {drainTime + 900*moment, secondRequest[20:]}}, want: []string{"/one ", "/two "}},
		"pipelined before the stop":                    {sent: []timedWrite{{stopTime - 1500*moment, firstRequest + secondRequest}}, want: []string{"/one ", "/two "}},
		"pipelined, the first running at the stop":     {sent: []timedWrite{{stopTime - moment, firstRequest + secondRequest}}, want: []string{"/one "}},
		"body from before the stop to after the drain": {sent: []timedWrite{{stopTime - moment, chunkedPost + "2\nhi\n"}, {drainTime - moment, "2\nho\n"}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/two hihohu"}},
		"header of a body in halves around the drain":  {sent: []timedWrite{{drainTime - moment, chunkedPost[:30]}, {drainTime + moment, chunkedPost[30:]}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/two hu"}},
		"pipelined body after the drain":               {sent: []timedWrite{{drainTime - 1001*moment, firstRequest + chunkedPost}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/one "}},
		"body of a second request after the drain":     {sent: []timedWrite{first, {drainTime + moment, chunkedPost}, {drainTime + 5*time.Second, "2\nhu\n0\n\n"}}, want: []string{"/one ", "/two hu"}},
		"aborted response, then no request":            {sent: []timedWrite{first, {stopTime + moment, strings.Replace(firstRequest, "/one", "/abort", 1)}}, want: []string{"/one "}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, nil)
				responses := s.responses()
				var writes sync.WaitGroup
				writes.Go(func() {
					began := time.Now()
					for _, p := range test.sent {
						time.Sleep(p.at - time.Since(began))
						s.send(p.text)
					}
				})
				s.stop()
				writes.Wait()
				var got []string
				for response := range responses {
					got = append(got, response)
				}
				qt.Check(t, got, qt.DeepEquals, test.want)
			})
		})
	}
}

// TestHTTP2RequestsDuringStop does the same as TestRequestsDuringStop over HTTP/2, where the server
// tells the caller which requests have not been processed.
func TestHTTP2RequestsDuringStop(t *testing.T) {
	const moment = time.Millisecond
	tests := map[string][]time.Duration{
		"running at the stop":                             {stopTime - moment},
		"running at the drain":                            {drainTime - moment},
		"between stop and drain":                          {stopTime + moment},
		"second request, between stop and drain":          {5 * time.Second, stopTime + moment},
		"second and third request, just before the drain": {5 * time.Second, drainTime - 2*moment, drainTime - moment},
		"all at once":                                     {stopTime - moment, stopTime, stopTime + moment, drainTime - moment},
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

// notifyingListener calls notify when it is closed or gets a deadline.
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

// TestConnectionOpenedBeforeDrain guards against resetting a connection that a caller has opened, and
// sent a request on, before the listener is closed, and that the server accepts only afterwards.
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
