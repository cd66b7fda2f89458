// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/internal/loopback"
	"sassafrasfront.example/node"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/platform"
	"sassafrasfront.example/platform/platformtest"
	"sassafrasfront.example/settings"
)

// testSystem is a managed system on loopback: the store, and nodes with an upstream
// each.
type testSystem struct {
	t     *testing.T
	store *platformtest.Store
	url   string
	nodes []*testNode
	// revokeWithin is the nodes' RevokeWithin, and rolloutShare their RolloutShare.
	revokeWithin time.Duration
	rolloutShare float64
	// adjust, if not nil, changes the settings of nodes that are added.
	adjust func(s *settings.Settings)
	// log receives the events of nodes.
	log zerolog.Logger
}

// testNode is a node with its upstream.
type testNode struct {
	settings settings.Settings
	upstream *platformtest.Upstream
	process  *node.Node
	stop     func()
}

func newTestSystem(t *testing.T) *testSystem {
	w := &testSystem{t: t, store: new(platformtest.Store), log: zerolog.Nop()}
	server := httptest.NewServer(w.store)
	w.url = server.URL
	t.Cleanup(func() {
		for _, m := range w.nodes {
			m.stop()
			m.upstream.Close()
		}
		server.CloseClientConnections()
		server.Close()
	})
	return w
}

// configure writes a manifest with the route /a/ to the service a, whose requests must not run
// twice, the route /b/ to the service b, and an extra one to b and more as given.
func (s *testSystem) configure(version int, extra string, more ...string) {
	list := []string{route("a", "non_idempotent", "a"), route("b", "idempotent", "b")}
	if extra != "" {
		list = append(list, route(extra, "idempotent", "b"))
	}
	list = append(list, more...)
	s.store.Put("config", "main", rawJSON(fmt.Sprintf(`{"version":"r%d","services":[{"name":"a","healthPath":"/healthz"},{"name":"b","healthPath":"/healthz"}],"virtualHosts":[{"host":"h.example","paths":[%s]}]}`, version, strings.Join(list, ","))))
}

// route returns a manifest's route with its name as the path.
func route(name, kind, service string) string {
	return fmt.Sprintf(`{"name":"%[1]s","pathPrefix":"/%[1]s/","kind":"%[2]s","timeoutS":1,"targetLatencyS":0.3,"priority":1,"service":"%[3]s","maxAttempts":2}`, name, kind, service)
}

// rawJSON is JSON that is encoded unchanged.
type rawJSON string

func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// add starts a node beside a new upstream of a service.
func (s *testSystem) add(service string, seeds ...string) *testNode {
	return s.addIn("z", service, seeds...)
}

// addIn does what add does, in an availability zone.
func (s *testSystem) addIn(zone, service string, seeds ...string) *testNode {
	return s.addUpstream(zone, &platformtest.Upstream{Service: service}, seeds...)
}

// addUpstream starts a node in an availability zone beside an upstream, whose ID, slots and service
// time it sets.
func (s *testSystem) addUpstream(zone string, u *platformtest.Upstream, seeds ...string) *testNode {
	id := "i-" + strconv.Itoa(len(s.nodes))
	service := u.Service
	u.ID, u.Slots, u.ServiceTime = id, cmp.Or(u.Slots, 8), 5*time.Millisecond
	m := &testNode{upstream: u}
	addr, err := m.upstream.Start()
	qt.Assert(s.t, err, qt.IsNil)
	m.settings = settings.Settings{
		Node: "n" + id, Region: "r", Zone: zone, Dialect: settings.DialectManaged,
		CallerAddress: loopback.FreeAddr(), PeerAddress: loopback.FreeAddr(), AnnounceAddress: loopback.FreeAddr(), OperatorAddress: loopback.FreeAddr(),
		PlatformURL: s.url, Service: service, UpstreamAddress: addr, Peers: strings.Join(seeds, ","),
		EvacuateWithin: 2 * time.Second, ConfigWithin: 2 * time.Second, RevokeWithin: s.revokeWithin, RolloutShare: s.rolloutShare, RollbackWithin: 5 * time.Second,
		QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20,
		RetryRatio: 0.2, RetrySlack: 60, ReportBytes: 20000, ControlBytes: 100000, PlatformCalls: 100,
		LeaveDelay: 50 * time.Millisecond, DrainTimeout: 2 * time.Second, MaxHeaderBytes: 1 << 16,
	}
	if s.adjust != nil {
		s.adjust(&m.settings)
	}
	s.nodes = append(s.nodes, m)
	s.run(m)
	return m
}

// run starts the process of a node.
func (s *testSystem) run(m *testNode) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node.Node{
		Settings: m.settings,
		Log:      s.log.With().Str("node", m.settings.Node).Logger(),
		Platform: &node.Platform{
			FieldNames: platform.FieldNames(),
			NewAPI:     func(c *objectapi.JSONClient) objectapi.PollingAPI { return &platform.Store{JSONClient: c} },
			ParseEra:   platform.ParseEra,
			TableKind:  platform.ManifestKind, TableName: platform.ManifestName, DecodeTable: platform.DecodeTable, ZoneKind: platform.EvacuationKind, AnnounceHandler: platform.AnnounceHandler,
			RolloutKind: platform.RolloutKind, DecodeRollout: platform.DecodeRollout, RolloutStatus: platform.RolloutStatus,
		},
	}
	m.process = n
	var done sync.WaitGroup
	done.Go(func() {
		if err := n.Run(ctx); err != nil {
			s.t.Errorf("%s does not run: %v", m.settings.Node, err)
		}
	})
	m.stop = func() {
		cancel()
		done.Wait()
	}
}

// callerResponse is what a caller received.
type callerResponse struct {
	status     int
	body       string
	signature  string
	retryAfter string
}

// request sends a request to a node.
func (n *testNode) request(method, path, id, body string) callerResponse {
	r, _ := http.NewRequest(method, "http://"+n.settings.CallerAddress+path, strings.NewReader(body))
	r.Host = "h.example"
	if id != "" {
		r.Header.Set(platformtest.RequestID, id)
	}
	r.Header.Set(platformtest.Timeout, "900")
	r.Header.Set(platformtest.CallerService, "forged")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return callerResponse{}
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, string(data), response.Header.Get(platformtest.Signature), response.Header.Get("Retry-After")}
}

// ready returns whether the node reports that it is ready.
func (n *testNode) ready() bool {
	r, err := http.Get("http://" + n.settings.OperatorAddress + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == 200
}

// members returns the number of nodes that the node knows, itself included.
func (n *testNode) members() int {
	r, err := http.Get("http://" + n.settings.OperatorAddress + "/v1/view")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	var v node.View
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		return 0
	}
	return v.Members
}

// eventually polls until f returns true. The bound is not an expectation: it ends a
// test that would never end.
func (s *testSystem) eventually(what string, f func() bool) {
	s.t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("never: %s", what)
}

// TestManaged checks how a small system serves before and after it is configured, during an outage
// of the platform, after an older version of the configuration, and while an upstream drains.
func TestManaged(t *testing.T) {
	w := newTestSystem(t)
	first, second := w.add("a"), w.add("b")
	w.eventually("a node responds", func() bool { return first.request("GET", "/a/x", "0", "").status != 0 })
	early := first.request("GET", "/a/x", "0", "")
	qt.Check(t, early.status, qt.Equals, 503, qt.Commentf("nothing is configured yet"))
	wait, err := strconv.ParseFloat(early.retryAfter, 64)
	qt.Check(t, err == nil && wait > 0 && wait < 1, qt.IsTrue, qt.Commentf("%q", early.retryAfter))
	qt.Check(t, first.ready(), qt.IsFalse)

	w.configure(1, "")
	w.eventually("both are ready", func() bool { return first.ready() && second.ready() })
	w.eventually("each discovers the other's upstream by its health check", func() bool {
		return first.request("GET", "/b/x", "warm", "").status == 200 && second.request("PUT", "/a/x", "warm", "").status == 200
	})
	got := second.request("PUT", "/a/x%2Fy?q=1", "one", "body")
	qt.Check(t, got, qt.Equals, callerResponse{status: 200, body: "i-0 ran one", signature: platformtest.Sign("i-0", "one")})
	runs := first.upstream.Runs()
	last := runs[len(runs)-1]
	last.At = time.Time{}
	qt.Check(t, last, qt.Equals, platformtest.Run{ID: "one", Method: "PUT", Path: "/a/x%2Fy?q=1", Body: "body", Caller: "b", Upstream: "i-0"})
	qt.Check(t, first.request("GET", "/c/x", "1", "").status, qt.Equals, 404)
	qt.Check(t, first.request("GET", "/b/x", "", "").status, qt.Equals, 503, qt.Commentf("no ID is generated, and the upstream refuses requests without one"))

	w.store.SetFaults(platformtest.Faults{Status: 503})
	qt.Check(t, second.request("PUT", "/a/x", "away", "").status, qt.Equals, 200, qt.Commentf("the store is unavailable"))
	w.store.SetFaults(platformtest.Faults{})

	w.configure(2, "c")
	w.eventually("the new route is there", func() bool { return first.request("GET", "/c/x", "new", "").status == 200 })
	w.configure(1, "")
	time.Sleep(50 * time.Millisecond)
	qt.Check(t, first.request("GET", "/c/x", "kept", "").status, qt.Equals, 200, qt.Commentf("an older version changes nothing"))

	first.upstream.Drain()
	qt.Assert(t, first.upstream.SendHeartbeat(first.settings.AnnounceAddress), qt.IsTrue)
	before := len(first.upstream.Runs())
	for i := range 10 {
		qt.Check(t, second.request("PUT", "/a/x", fmt.Sprint("drained", i), "").status, qt.Equals, 503)
	}
	qt.Check(t, len(first.upstream.Runs()), qt.Equals, before, qt.Commentf("an acknowledged drain is final"))
}

// TestManagedRestart stops a node beside a running upstream and starts it again:
// it discovers the upstream without an announcement, and nothing runs twice.
func TestManagedRestart(t *testing.T) {
	w := newTestSystem(t)
	w.configure(1, "")
	first, second := w.add("a"), w.add("b")
	w.eventually("it serves", func() bool { return second.request("PUT", "/a/x", "warm", "").status == 200 })
	first.stop()
	qt.Check(t, second.request("PUT", "/a/x", "gone", "").status, qt.Equals, 503)
	w.run(first)
	n := 0
	w.eventually("it serves again", func() bool {
		n++
		return second.request("PUT", "/a/x", fmt.Sprint("again", n), "").status == 200
	})
	seen := make(map[string]int)
	for _, r := range first.upstream.Runs() {
		seen[r.ID]++
		if r.ID != "warm" {
			qt.Check(t, seen[r.ID], qt.Equals, 1, qt.Commentf("request %s", r.ID))
		}
	}
	qt.Check(t, seen["gone"], qt.Equals, 0)
}

// TestManagedUpstreamReplaced has an upstream crash and another one take its
// address: requests for the former one do not run there.
func TestManagedUpstreamReplaced(t *testing.T) {
	w := newTestSystem(t)
	w.configure(1, "")
	first, second := w.add("a"), w.add("b")
	w.eventually("it serves", func() bool { return second.request("PUT", "/a/x", "warm", "").status == 200 })
	first.upstream.ID = "i-9"
	qt.Check(t, second.request("PUT", "/a/x", "other", "").status, qt.Equals, 503)
	for _, r := range first.upstream.Runs() {
		qt.Check(t, r.ID, qt.Not(qt.Equals), "other")
	}
	qt.Assert(t, first.upstream.SendHeartbeat(first.settings.AnnounceAddress), qt.IsTrue)
	w.eventually("the new start serves", func() bool { return second.request("PUT", "/a/x", "new", "").status == 200 })
}

// TestManagedStoreDropsHistory has the store drop its history while its watches receive
// nothing and stay open. The change that they have missed must be found long before
// they end.
func TestManagedStoreDropsHistory(t *testing.T) {
	w := newTestSystem(t)
	w.configure(1, "")
	first := w.add("b")
	w.eventually("it serves", func() bool { return first.request("GET", "/b/x", "warm", "").status == 200 })
	w.store.SetFaults(platformtest.Faults{SilentWatches: true})
	w.configure(2, "c")
	w.store.DropHistory()
	w.eventually("the change is found", func() bool { return first.request("GET", "/c/x", "new", "").status == 200 })
}
