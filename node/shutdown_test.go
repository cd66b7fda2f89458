// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/platform/platformtest"
	"sassafrasfront.example/settings"
)

// blockingSystem is a system whose upstream of the service b blocks requests until they are released.
type blockingSystem struct {
	*testSystem
	entry, other *testNode // entry takes requests, and other is beside the upstream
	upstream     *httptest.Server
	started      chan string // the IDs of the requests that it runs
	release      chan struct{}
	unblock      func()
	sent         int

	mu    sync.Mutex
	lines []map[string]any // of the log
}

// Write records a line of the nodes' log.
func (h *blockingSystem) Write(line []byte) (int, error) {
	fields := make(map[string]any)
	err := json.Unmarshal(line, &fields)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, fields)
	return len(line), err
}

// lastLine returns the last log line of an event at a node.
func (h *blockingSystem) lastLine(m *testNode, event string) map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, fields := range slices.Backward(h.lines) {
		if fields["message"] == event && fields["node"] == m.settings.Node {
			return fields
		}
	}
	return nil
}

// newBlockingSystem starts the nodes with the given settings, and the upstream with the given
// number of slots.
func newBlockingSystem(t *testing.T, adjust func(s *settings.Settings), slots int) *blockingSystem {
	h := &blockingSystem{
		testSystem: newTestSystem(t),
		started:    make(chan string, 100),
		release:    make(chan struct{}),
	}
	h.log = zerolog.New(h)
	h.unblock = sync.OnceFunc(func() { close(h.release) })
	u := &platformtest.Upstream{
		Service: "b",
		Slots:   slots,
	}
	h.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" || r.URL.Path == "/i/warm" {
			u.ServeHTTP(w, r)
			return
		}
		h.serve(w, r, u)
	}))
	t.Cleanup(func() {
		h.unblock()
		h.upstream.CloseClientConnections()
		h.upstream.Close()
	})
	long := func(name, kind string) string {
		return fmt.Sprintf(`{"name":"%[1]s","pathPrefix":"/%[1]s/","kind":"%[2]s","timeoutS":60,"targetLatencyS":30,"priority":1,"service":"b","maxAttempts":2}`, name, kind)
	}
	h.configure(1, "", long("i", "idempotent"), long("n", "non_idempotent"))
	h.adjust = func(s *settings.Settings) {
		adjust(s)
		if s.Service == "b" {
			s.UpstreamAddress = h.upstream.Listener.Addr().String()
		}
	}
	h.entry = h.add("a")
	h.other = h.addUpstream("z", u)
	for _, m := range []*testNode{h.entry, h.other} {
		h.eventually("a node serves", func() bool { return m.request("GET", "/i/warm", "warm", "").status == 200 })
	}
	return h
}

// serve responds to a request once it is released, in the way that its path names.
func (h *blockingSystem) serve(w http.ResponseWriter, r *http.Request, u *platformtest.Upstream) {
	id := r.Header.Get(platformtest.RequestID)
	w.Header().Set(platformtest.Instance, u.ID)
	w.Header().Set(platformtest.RequestID, id)
	w.Header().Set(platformtest.Signature, platformtest.Sign(u.ID, id))
	kind := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	control := http.NewResponseController(w)
	switch kind {
	case "begun":
		_, _ = io.WriteString(w, "begun ")
		_ = control.Flush()
	case "hints":
		w.Header().Set("Link", "</x>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
	}
	h.started <- id
	select {
	case <-h.release:
	case <-r.Context().Done():
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, kind+" "+string(body))
}

// pending is a request that has been sent, and its response.
type pending struct {
	name string
	done chan struct{}
	got  callerResponse
	err  error
}

// transport returns a new transport for HTTP/1.1, or for HTTP/2 if streams is set.
func (h *blockingSystem) transport(streams bool) *http.Transport {
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetHTTP1(!streams)
	t.Protocols.SetUnencryptedHTTP2(streams)
	h.t.Cleanup(t.CloseIdleConnections)
	return t
}

// send sends a request to a node. Its body may be written after the call.
func (h *blockingSystem) send(m *testNode, transport *http.Transport, name, method, path string, body io.Reader) *pending {
	h.sent++
	r, err := http.NewRequest(method, "http://"+m.settings.CallerAddress+path, body)
	qt.Assert(h.t, err, qt.IsNil)
	r.Host = "h.example"
	r.Header.Set(platformtest.RequestID, fmt.Sprint("request", h.sent))
	r.Header.Set(platformtest.Timeout, "60000")
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}))
	p := &pending{
		name: name,
		done: make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		response, err := transport.RoundTrip(r)
		if err != nil {
			p.err = err
			return
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		p.err = err
		p.got = callerResponse{
			status:    response.StatusCode,
			body:      string(data),
			signature: response.Header.Get(platformtest.Signature),

			retryAfter: response.Header.Get("Retry-After"),
		}
	}()
	return p
}

// awaitRunning waits until the upstream runs the given number of requests.
func (h *blockingSystem) awaitRunning(count int) {
	h.t.Helper()
	begun := 0
	h.eventually(fmt.Sprintf("the upstream runs %d requests", count), func() bool {
		for {
			select {
			case <-h.started:
				begun++
			default:
				return begun >= count
			}
		}
	})
}

// awaitClosed waits until a node accepts no more connections of callers.
func (h *blockingSystem) awaitClosed(m *testNode) {
	h.eventually("the node drains", func() bool {
		c, err := net.Dial("tcp", m.settings.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

// stopSoon makes a node stop within a moment if no requests are in flight, and otherwise within
// a grace period of a minute.
func stopSoon(s *settings.Settings) {
	s.LeaveDelay = 100 * time.Millisecond
	s.AdmitDelay = 50 * time.Millisecond
	s.DrainTimeout = 100 * time.Millisecond
	s.GracePeriod = time.Minute
}

// TestLeaveWhileUpstreamWorks stops nodes with requests of every kind in flight, which the upstream
// runs for longer than drainTimeout and for less than the grace period. It guards against responses
// of status 502 at the end of drainTimeout.
func TestLeaveWhileUpstreamWorks(t *testing.T) {
	tests := map[string]func(h *blockingSystem) []*testNode{
		"the node that received them":  func(h *blockingSystem) []*testNode { return []*testNode{h.entry} },
		"the node beside the upstream": func(h *blockingSystem) []*testNode { return []*testNode{h.other} },
		"both at once":                 func(h *blockingSystem) []*testNode { return []*testNode{h.entry, h.other} },
		"its upstream says that it leaves": func(h *blockingSystem) []*testNode {
			h.other.upstream.AdvertiseLeaving()
			return []*testNode{h.entry, h.other}
		},
	}
	for name, leaving := range tests {
		t.Run(name, func(t *testing.T) {
			h := newBlockingSystem(t, stopSoon, 40)
			reused := h.transport(false)
			first := h.send(h.entry, reused, "first", "GET", "/i/warm", nil)
			<-first.done
			var all []*pending
			var bodies []*io.PipeWriter
			stream := func() io.Reader {
				r, w := io.Pipe()
				bodies = append(bodies, w)
				go func() { _, _ = io.WriteString(w, strings.Repeat("x", 100)) }()
				return r
			}
			add := func(p *pending) { all = append(all, p) }
			add(h.send(h.entry, reused, "reused connection", "GET", "/i/plain", nil))
			add(h.send(h.entry, h.transport(false), "new connection", "GET", "/i/plain", nil))
			add(h.send(h.entry, h.transport(false), "not idempotent", "POST", "/n/plain", strings.NewReader("body")))
			add(h.send(h.entry, h.transport(false), "response has begun", "GET", "/i/begun", nil))
			add(h.send(h.entry, h.transport(false), "informational", "GET", "/n/hints", nil))
			add(h.send(h.entry, h.transport(true), "HTTP/2", "GET", "/n/plain", nil))
			add(h.send(h.entry, h.transport(false), "streamed body", "POST", "/n/body", stream()))
			add(h.send(h.other, h.transport(false), "beside its upstream", "GET", "/i/plain", nil))
			h.awaitRunning(len(all))
			var stopping sync.WaitGroup
			nodes := leaving(h)
			for _, m := range nodes {
				stopping.Go(m.stop)
			}
			for _, m := range nodes {
				if m == h.entry {
					h.awaitClosed(m) // its own upstream has nothing to run
				}
			}
			time.Sleep(500 * time.Millisecond) // well beyond leaveDelay and drainTimeout
			if slices.Contains(nodes, h.other) {
				want := 200
				if slices.Contains(nodes, h.entry) {
					want = 503 // the only upstream that could run it leaves
				}
				qt.Check(t, h.other.request("GET", "/a/warm", "inner", "").status, qt.Equals, want, qt.Commentf("a call that the upstream makes meanwhile"))
			}
			for _, p := range all {
				select {
				case <-p.done:
					t.Errorf("%s ended before its upstream: %+v %v", p.name, p.got, p.err)
				default:
				}
			}
			h.unblock()
			for _, w := range bodies {
				_, _ = io.WriteString(w, "y")
				_ = w.Close()
			}
			for _, p := range all {
				<-p.done
				qt.Check(t, p.err, qt.IsNil, qt.Commentf(p.name))
				qt.Check(t, p.got.status, qt.Equals, 200, qt.Commentf(p.name))
				qt.Check(t, p.got.signature, qt.Not(qt.Equals), "", qt.Commentf(p.name))
			}
			stopping.Wait()
			for _, m := range nodes {
				line := h.lastLine(m, "drained")
				extra := 0.0
				if m == h.other {
					extra = 1 // the call that the upstream made meanwhile
				}
				qt.Check(t, line["cut"], qt.Equals, 0.0)
				qt.Check(t, line["ended"], qt.Equals, line["requests"].(float64)+extra)
				qt.Check(t, line["callsCut"], qt.Equals, 0.0)
			}
		})
	}
}

// TestRequestsCutAtEndOfGracePeriod has requests running at the end of the grace period. The node
// itself responds to each that it may have run, and that the node's stop is the cause. It guards
// against naming the caller as the cause for requests to a node that left at the same time.
func TestRequestsCutAtEndOfGracePeriod(t *testing.T) {
	tests := map[string]func(h *blockingSystem) []*testNode{
		"the node that received them": func(h *blockingSystem) []*testNode { return []*testNode{h.entry} },
		"both at once":                func(h *blockingSystem) []*testNode { return []*testNode{h.other, h.entry} },
	}
	for name, leaving := range tests {
		t.Run(name, func(t *testing.T) {
			h := newBlockingSystem(t, func(s *settings.Settings) {
				stopSoon(s)
				s.GracePeriod = 1500 * time.Millisecond
			}, 40)
			all := []*pending{
				h.send(h.entry, h.transport(false), "idempotent", "GET", "/i/plain", nil),
				h.send(h.entry, h.transport(false), "not idempotent", "POST", "/n/plain", strings.NewReader("body")),
				h.send(h.entry, h.transport(true), "HTTP/2", "GET", "/n/plain", nil),
			}
			h.awaitRunning(len(all))
			var stopping sync.WaitGroup
			for _, m := range leaving(h) {
				stopping.Go(m.stop)
			}
			for _, p := range all {
				<-p.done
				qt.Check(t, p.err, qt.IsNil, qt.Commentf(p.name))
				qt.Check(t, p.got.status, qt.Equals, 502, qt.Commentf(p.name))
				qt.Check(t, p.got.body, qt.Contains, `"verdict":"mayHaveRun"`, qt.Commentf(p.name))
				qt.Check(t, p.got.body, qt.Contains, `"cause":"stopped"`, qt.Commentf(p.name))
			}
			stopping.Wait()
			line := h.lastLine(h.entry, "drained")
			qt.Check(t, line["requests"], qt.Equals, 3.0)
			qt.Check(t, line["requestsAtClosing"], qt.Equals, 3.0)
			qt.Check(t, line["ended"], qt.Equals, 0.0)
			qt.Check(t, line["cut"], qt.Equals, 3.0)
			ids := strings.Split(line["cutIds"].(string), ",")
			slices.Sort(ids)
			qt.Check(t, ids, qt.DeepEquals, []string{"request1", "request2", "request3"})
			h.unblock()
			for _, m := range leaving(h) {
				h.run(m)
			}
			h.eventually("it serves again at its address", func() bool { return h.entry.request("GET", "/i/warm", "again", "").status == 200 })
		})
	}
}

// TestQueuedAtEndOfGracePeriod has requests wait for a slot of the upstream at the end of the grace
// period. They have not run; it guards against the response that they may have.
func TestQueuedAtEndOfGracePeriod(t *testing.T) {
	h := newBlockingSystem(t, func(s *settings.Settings) {
		stopSoon(s)
		s.GracePeriod = 1500 * time.Millisecond
	}, 1)
	running := h.send(h.entry, h.transport(false), "running", "POST", "/n/plain", nil)
	h.awaitRunning(1)
	queued := []*pending{
		h.send(h.entry, h.transport(false), "waits", "POST", "/n/plain", nil),
		h.send(h.entry, h.transport(false), "waits, idempotent", "GET", "/i/plain", nil),
	}
	h.eventually("they wait", func() bool { return strings.Contains(h.other.metrics(), "sassafras_upstream_waiting 2") })
	h.entry.stop()
	<-running.done
	qt.Check(t, running.err, qt.IsNil)
	qt.Check(t, running.got.status, qt.Equals, 502)
	qt.Check(t, running.got.body, qt.Contains, `"cause":"stopped"`)
	for _, p := range queued {
		<-p.done
		qt.Check(t, p.err, qt.IsNil)
		qt.Check(t, p.got.status, qt.Equals, 503, qt.Commentf(p.name))
		qt.Check(t, p.got.body, qt.Contains, `"verdict":"notRun"`)
		qt.Check(t, p.got.retryAfter, qt.Not(qt.Equals), "")
	}
}

// metrics returns the node's metrics.
func (n *testNode) metrics() string {
	r, err := http.Get("http://" + n.settings.OperatorAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	data, _ := io.ReadAll(r.Body)
	return string(data)
}
