// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/objectapi"
)

// TestCallEndsForLackOfProgress guards against calls that end at a fixed time whatever their response's size, as a
// node behind a slow link then never gets a large object.
func TestCallEndsForLackOfProgress(t *testing.T) {
	const timeout = time.Second
	for name, row := range map[string]struct {
		parts int           // of 8 KiB, of the response
		begin time.Duration // until the first of them
		pause time.Duration // between them
		size  int           // of each part
		ok    bool
	}{
		"a short response":                    {1, 0, 0, 8 << 10, true},
		"a response of ten times the timeout": {100, 0, timeout / 10, 8 << 10, true},
		"a response that begins late":         {1, 2 * timeout, 0, 8 << 10, false},
		"a response that stops":               {3, 0, 2 * timeout, 8 << 10, false},
		"a response that comes byte by byte":  {100, 0, timeout / 10, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &simnet.Network{Latency: time.Millisecond, WindowBytes: 64 << 10}
				listener := network.Host("platform").Listen()
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					pause(r, row.begin)
					fmt.Fprint(w, `{"text":"`)
					for range row.parts {
						fmt.Fprint(w, strings.Repeat("x", row.size))
						_ = http.NewResponseController(w).Flush()
						pause(r, row.pause)
					}
					fmt.Fprint(w, `"}`)
				})}
				go func() { _ = server.Serve(listener) }()
				defer server.Close()
				transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
					return network.Host("node").Dial(ctx, "platform")
				}}
				defer transport.CloseIdleConnections()
				c := &objectapi.JSONClient{
					URL:        "http://platform",
					HTTPClient: &http.Client{Transport: transport},
					Timeout:    timeout,
				}
				var reported int
				ctx := objectapi.WithProgress(t.Context(), func(received int) { reported = received })
				var response struct{ Text string }
				_, err := c.Do(ctx, http.MethodGet, "/", nil, &response)
				if row.ok {
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, response.Text, qt.HasLen, row.parts*row.size)
					qt.Check(t, reported >= row.parts*row.size/2, qt.IsTrue)
					qt.Check(t, c.ReceivedBytes() >= uint64(len(response.Text)), qt.IsTrue)
					return
				}
				qt.Assert(t, err, qt.ErrorMatches, "(?s).*no progress for 1s.*")
			})
		})
	}
}

// TestResponseWithoutEnd guards against a process that runs out of memory, as the response to a call has no
// end.
func TestResponseWithoutEnd(t *testing.T) {
	const bound = 80 << 20 // bytes, with what is read at once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		many := []byte(strings.Repeat(" ", 64<<10))
		for sent := 0; r.Context().Err() == nil && sent < 4*bound; sent += len(many) {
			if _, err := w.Write(many); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	calls := map[string]func(c *objectapi.JSONClient) error{
		"a call": func(c *objectapi.JSONClient) error {
			var response struct{}
			_, err := c.Do(t.Context(), http.MethodGet, "/", nil, &response)
			return err
		},
		"a watch that is polled": func(c *objectapi.JSONClient) error {
			ctx, stop := c.WithStallTimeout(t.Context(), time.Second, time.Second)
			defer stop()
			r, err := c.Call(ctx, http.MethodGet, "/", nil)
			if err != nil {
				return err
			}
			defer r.Body.Close()
			var response struct{}
			return json.NewDecoder(r.Body).Decode(&response)
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			c := &objectapi.JSONClient{
				URL:     server.URL,
				Timeout: time.Second,
			}
			qt.Check(t, call(c), qt.ErrorIs, objectapi.ErrTooLarge)
			qt.Check(t, c.ReceivedBytes() < bound, qt.IsTrue, qt.Commentf("%d bytes", c.ReceivedBytes()))
		})
	}
}

// pause waits, or until the request has ended.
func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// TestErrorNamesConnection checks that the error of a call tells whether its connection had been used before: one that has been
// open for long may have fallen silent.
func TestErrorNamesConnection(t *testing.T) {
	const timeout = time.Second
	synctest.Test(t, func(t *testing.T) {
		network := &simnet.Network{
			Latency:     time.Millisecond,
			WindowBytes: 64 << 10,
		}
		listener := network.Host("platform").Listen()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/late" {
				pause(r, time.Minute)
			}
			fmt.Fprint(w, `{}`)
		})}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return network.Host("node").Dial(ctx, "platform")
		}}
		defer transport.CloseIdleConnections()
		c := &objectapi.JSONClient{
			URL:        "http://platform",
			HTTPClient: &http.Client{Transport: transport},
			Timeout:    timeout,
		}
		_, err := c.Do(t.Context(), http.MethodPost, "/late", nil, nil)
		qt.Check(t, err, qt.ErrorMatches, "(?s).*new connection.*")
		_, err = c.Do(t.Context(), http.MethodPost, "/", nil, nil)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * time.Second)
		network.Host("node").SilenceConnections()
		_, err = c.Do(t.Context(), http.MethodPost, "/", nil, nil)
		qt.Check(t, err, qt.ErrorMatches, "(?s).*connection used before, idle for 3s.*")
	})
}
