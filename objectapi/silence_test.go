// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/objectapi"
)

// TestCallOnSilentConnection guards against calls that wait for a connection that has fallen silent, and then take the next one that
// has: the incident CONFIG.
func TestCallOnSilentConnection(t *testing.T) {
	const (
		timeout = time.Second
		silence = 200 * time.Millisecond
		rtt     = 20 * time.Millisecond // at most
	)
	for name, row := range map[string]struct {
		method   string
		delay    time.Duration // of the platform
		silenced bool          // whether the open connections are
		fresh    bool          // whether there are none
		calls    uint64
		within   time.Duration // 0 if the call fails
	}{
		"undisturbed":                         {http.MethodGet, 0, false, false, 1, rtt},
		"open connections silent":             {http.MethodGet, 0, true, false, 2, silence + rtt},
		"a write, which is made once":         {http.MethodPost, 0, true, false, 1, 0},
		"platform slow":                       {http.MethodGet, silence / 2, false, false, 1, silence/2 + rtt},
		"platform slower than the timeout":    {http.MethodGet, 2 * silence, false, false, 2, 2*silence + rtt},
		"platform slow over a new connection": {http.MethodGet, 2 * silence, false, true, 1, 2*silence + rtt},
		"platform does not respond":           {http.MethodGet, time.Minute, false, false, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newSilentPlatform(t)
				c := p.client
				c.Timeout, c.SilenceTimeout = timeout, silence
				if !row.fresh {
					// Two connections are open and idle.
					p.delay.Store(int64(rtt))
					done := make(chan error)
					for range 2 {
						go func() {
							_, err := c.Do(t.Context(), http.MethodGet, "/", nil, nil)
							done <- err
						}()
					}
					for range 2 {
						qt.Assert(t, <-done, qt.IsNil)
					}
				}
				p.delay.Store(int64(row.delay))
				before := c.Calls()
				if row.silenced {
					p.node.SilenceConnections()
				}
				began := time.Now()
				_, err := c.Do(t.Context(), row.method, "/", nil, nil)
				took := time.Since(began)
				if row.within > 0 {
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, took <= row.within, qt.IsTrue, qt.Commentf("%v", took))
				} else {
					qt.Check(t, err, qt.IsNotNil)
					qt.Check(t, took, qt.Equals, timeout)
				}
				qt.Check(t, c.Calls()-before, qt.Equals, row.calls)
				if !row.silenced {
					return
				}
				p.delay.Store(0)
				began = time.Now()
				_, err = c.Do(t.Context(), http.MethodPost, "/", nil, nil)
				qt.Check(t, err, qt.IsNil, qt.Commentf("the next call takes no silent connection"))
				qt.Check(t, time.Since(began) <= rtt, qt.IsTrue)
			})
		})
	}
}

// TestStalledResponse has the connection fall silent while a large response arrives: the call ends soon, with an error that says
// that it may be repeated at once.
func TestStalledResponse(t *testing.T) {
	const silence = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newSilentPlatform(t)
		p.parts.Store(100)
		p.client.SilenceTimeout = silence
		time.AfterFunc(500*time.Millisecond, p.node.SilenceConnections)
		_, err := p.client.Do(t.Context(), http.MethodGet, "/", nil, nil)
		qt.Check(t, errors.Is(err, objectapi.ErrStalled), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// silentPlatform is a platform on a simulated network, and a client on a node of it.
type silentPlatform struct {
	node   *simnet.Host
	client *objectapi.JSONClient
	delay  atomic.Int64 // of responses, as a time.Duration
	parts  atomic.Int64 // of 8 KiB, 20 ms apart, of a response
}

// newSilentPlatform must be called in a bubble.
func newSilentPlatform(t *testing.T) *silentPlatform {
	network := &simnet.Network{
		Latency:     time.Millisecond,
		WindowBytes: 64 << 10,
	}
	p := &silentPlatform{node: network.Host("node")}
	listener := network.Host("platform").Listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pause(r, time.Duration(p.delay.Load()))
		fmt.Fprint(w, `{"text":"`)
		for range p.parts.Load() {
			fmt.Fprint(w, strings.Repeat("x", 8<<10))
			_ = http.NewResponseController(w).Flush()
			pause(r, 20*time.Millisecond)
		}
		fmt.Fprint(w, `"}`)
	})}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return p.node.Dial(ctx, "platform")
	}}
	p.client = &objectapi.JSONClient{
		URL:        "http://platform",
		HTTPClient: &http.Client{Transport: transport},
	}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return p
}
