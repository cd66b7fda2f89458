// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleConnections uses a connection rarely, or not at all: it is checked as rarely, stays
// open as long as it is in use, and is closed once it has been idle for too long.
func TestIdleConnections(t *testing.T) {
	request := func(c *Client) { _, _ = c.Request(context.Background(), "t", nil) }
	tests := map[string]struct {
		use       func(c *Client)
		every     time.Duration
		maxChecks uint64 // checks in two minutes
		open      bool   // whether the connection is still open after them
	}{
		"not used":                         {maxChecks: 3},
		"occasional requests":              {use: request, every: 20 * time.Second, maxChecks: 30, open: true},
		"used less often than IdleTimeout": {use: request, every: 45 * time.Second, maxChecks: 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := &Server{HandleControl: func(context.Context, Hello, *Request) ([]byte, error) { return nil, nil }}
				c := &Client{
					Hello:  Hello{Control: true},
					Limits: Limits{IdleTimeout: 30 * time.Second, SilenceTimeout: 600 * time.Millisecond},
					Dial: func(context.Context, string) (net.Conn, error) {
						near, far := net.Pipe()
						go s.serve(ctx, far)
						return near, nil
					},
				}
				first, err := c.connect(ctx)
				qt.Assert(t, err, qt.IsNil)
				for began := time.Now(); time.Since(began) < 2*time.Minute; {
					if test.use == nil {
						time.Sleep(time.Second)
						continue
					}
					test.use(c)
					time.Sleep(test.every)
				}
				qt.Check(t, first.usable(), qt.Equals, test.open)
				qt.Check(t, first.checks.Load() <= test.maxChecks, qt.IsTrue, qt.Commentf("%d checks", first.checks.Load()))
				c.Close()
				cancel()
				s.closeAll()
				synctest.Wait()
			})
		})
	}
}

// TestRequestCounters counts control requests by topic.
func TestRequestCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &Server{HandleControl: func(_ context.Context, _ Hello, r *Request) ([]byte, error) { return append(r.Payload, 1, 2), nil }}
		type count struct{ requests, sent, received int }
		counts := make(map[string]count)
		c := &Client{
			Hello: Hello{Control: true},
			Counters: &Counters{OnRequest: func(topic string, sent, received int) {
				n := counts[topic]
				counts[topic] = count{n.requests + 1, n.sent + sent, n.received + received}
			}},
			Dial: func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go s.serve(ctx, far)
				return near, nil
			},
		}
		for range 3 {
			_, err := c.Request(ctx, "asked", []byte{1, 2, 3})
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, counts["asked"], qt.Equals, count{3, 9, 15})
		c.Close()
		cancel()
		s.closeAll()
		synctest.Wait()
	})
}
