// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/contact"
	"sassafrasfront.example/gossip"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/watch"
)

// cluster is a set of control states connected over loopback, and a fake
// platform.
type cluster struct {
	t     *testing.T
	store *objectapitest.Server
	api   *objectapi.Client
	nodes []*testNode
	// registry, if not nil, is the contact registry of the nodes that are added.
	registry contact.Registry
}

// testNode is a control state with its peer server.
type testNode struct {
	*Control
	client *objectapi.Client
	stop   func()
	kill   func() // ends the node without notice to others
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, store: new(objectapitest.Server)}
	h := httptest.NewServer(c.store)
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
		h.CloseClientConnections()
		h.Close()
	})
	c.api = &objectapi.Client{JSONClient: objectapi.JSONClient{URL: h.URL}, Namespace: "test"}
	return c
}

// add starts a node on a new address.
func (c *cluster) add(id, zone string, contacts ...string) *testNode {
	return c.addAt(c.listener(), id, zone, contacts...)
}

// listener opens a listener on a new address.
func (c *cluster) listener() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c.t, err, qt.IsNil)
	return listener
}

// addAt starts a node on the address of a listener.
func (c *cluster) addAt(listener net.Listener, id, zone string, contacts ...string) *testNode {
	return c.addAtWith(listener, id, zone, func(k *Control) { k.Contacts = contacts })
}

// addAtWith starts a node on the address of a listener, after set has configured it.
func (c *cluster) addAtWith(listener net.Listener, id, zone string, set func(*Control)) *testNode {
	client := &objectapi.Client{
		JSONClient: objectapi.JSONClient{
			URL:     c.api.URL,
			Timeout: 500 * time.Millisecond,
		},
		Namespace:    "test",
		WatchTimeout: 2 * time.Second,
	}
	n := &testNode{
		client: client,
		Control: &Control{
			Self: member.Record{ID: id, Zone: zone, Region: "r", Addr: listener.Addr().String(), State: member.Idle},
			API:  client,
			Timing: Timing{
				Push:           10 * time.Millisecond,
				Compare:        50 * time.Millisecond,
				Turnover:       200 * time.Millisecond,
				Lease:          600 * time.Millisecond,
				ZoneDiscovery:  500 * time.Millisecond,
				SilenceTimeout: time.Second,
				Sweep:          200 * time.Millisecond,
				TakeoverDelay:  50 * time.Millisecond,
			},
			Budget:    watch.NewBudget(1<<20, 1),
			Limits:    peer.Limits{SilenceTimeout: 400 * time.Millisecond, HandshakeTimeout: 400 * time.Millisecond},
			Log:       zerolog.Nop(),
			Published: func(*Snapshot) {},
		},
	}
	set(n.Control)
	ctx, cancel := context.WithCancel(context.Background())
	serving, stopServing := context.WithCancel(context.Background())
	s := &peer.Server{HandleControl: n.Handle}
	var all, running sync.WaitGroup
	all.Go(func() { _ = s.Run(serving, listener) })
	running.Go(func() { n.Run(ctx) })
	if c.registry != nil {
		discovery := &contact.Discovery{
			Registry:      c.registry,
			Node:          n.Control,
			HasFirstPeers: len(n.Contacts) > 0,
		}
		running.Go(func() { discovery.Run(ctx) })
	}
	var once sync.Once
	n.stop = func() {
		once.Do(func() {
			cancel()
			running.Wait()
			stopServing()
			all.Wait()
		})
	}
	n.kill = func() {
		stopServing()
		all.Wait()
		// Neither its last push nor other pushes reach any node.
		n.do(func() {
			n.Timing.Push, n.Timing.Compare = time.Hour, time.Hour
			n.neighbours.Clear()
			n.members.Set = gossip.Set[member.Record]{}
			n.live = 1
		})
		n.stop()
	}
	c.nodes = append(c.nodes, n)
	return n
}

// grow adds n nodes, spread over three zones.
func (c *cluster) grow(n int) {
	for i := range n {
		c.add(fmt.Sprint("n", len(c.nodes)), fmt.Sprint("z", i%3))
	}
}

// eventually polls until f returns true.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, n := range c.nodes {
		n.do(func() {
			var near []string
			for _, r := range n.neighbours.All() {
				near = append(near, r.ID)
			}
			c.t.Logf("%s: representative=%v live=%d neighbours=%v suspects=%d comparing=%v sequences=%v", n.Self.ID, n.IsRepresentative(), n.live, near, len(n.suspects), n.comparing, n.Snapshot().Sequences)
		})
	}
	l, err := c.api.List(context.Background(), operator.KindAccepted)
	c.t.Logf("accepted: %v", err)
	for _, o := range l.Items {
		c.t.Logf("accepted %s: %.60s", o.Metadata.Name, o.Spec)
	}
	c.t.Fatal("never: " + what)
}

// allHave waits until all nodes have the given sequence of a service active.
func (c *cluster) allHave(service string, sequence uint64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("sequence %d of %s everywhere", sequence, service), func() bool {
		for _, n := range c.nodes {
			if n.Snapshot().Sequences[service] < sequence {
				return false
			}
		}
		return true
	})
}

// apply writes a Service object as an operator does.
func (c *cluster) apply(name, spec string) *objectapi.Object {
	c.t.Helper()
	o := objectapi.NewObject(operator.KindService, name, json.RawMessage(spec))
	present, err := c.api.Get(context.Background(), operator.KindService, name)
	if err == nil {
		o = o.WithResourceVersion(present.Metadata.ResourceVersion)
	}
	written, err := objectapi.Put(context.Background(), c.api, o)
	qt.Assert(c.t, err, qt.IsNil)
	return written
}

func (c *cluster) status(name string) operator.ServiceStatus {
	o, err := c.api.Get(context.Background(), operator.KindServiceStatus, name)
	if err != nil {
		return operator.ServiceStatus{}
	}
	s, err := objectapi.DecodeSpec[operator.ServiceStatus](o)
	qt.Assert(c.t, err, qt.IsNil)
	return s
}

// TestChangesReachAllNodesAndStatus creates, updates, deletes and re-creates a service.
func TestChangesReachAllNodesAndStatus(t *testing.T) {
	c := newCluster(t)
	c.grow(9)
	first := c.apply("a", `{"hosts":["a.example"]}`)
	c.allHave("a", 1)
	c.eventually("the status lists all zones", func() bool {
		s := c.status("a")
		having := 0
		for _, z := range s.Zones {
			having += z.UpToDate
		}
		return s.Phase == operator.PhaseAccepted && s.ObservedVersion == first.Metadata.ResourceVersion && having == 9
	})

	bad := c.apply("a", `{"hosts":["a.example"],"retry":{"share":7}}`)
	c.eventually("the refusal is in the status", func() bool {
		s := c.status("a")
		return s.Phase == operator.PhaseRefused && s.ObservedVersion == bad.Metadata.ResourceVersion
	})
	s := c.status("a")
	qt.Check(t, s.Errors, qt.HasLen, 1)
	qt.Check(t, s.Errors[0].Field, qt.Equals, "retry.share")
	qt.Check(t, s.Sequence, qt.Equals, uint64(1))
	for _, n := range c.nodes {
		qt.Check(t, n.Snapshot().Hosts["a.example"], qt.IsNotNil, qt.Commentf("an invalid edit must not change the active service"))
	}

	present, err := c.api.Get(context.Background(), operator.KindService, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.api.Delete(context.Background(), operator.KindService, "a", present.Metadata.ResourceVersion), qt.IsNil)
	c.allHave("a", 2)
	for _, n := range c.nodes {
		qt.Check(t, n.Snapshot().Services["a"], qt.IsNil)
	}
	c.apply("a", `{"hosts":["a.example"],"policy":"random"}`)
	c.allHave("a", 3)
}

// TestStatusCountsLateMembers starts nodes after the status reports that all nodes have the
// configuration.
func TestStatusCountsLateMembers(t *testing.T) {
	c := newCluster(t)
	having := func(want int) func() bool {
		return func() bool {
			var sum int
			for _, z := range c.status("a").Zones {
				sum += z.UpToDate
			}
			return sum == want
		}
	}
	c.grow(3)
	c.apply("a", `{"hosts":["a.example"]}`)
	c.eventually("the status counts three nodes", having(3))
	c.grow(3)
	c.eventually("the status counts six nodes", having(6))
}

func TestHostOfAnotherServiceIsRefused(t *testing.T) {
	c := newCluster(t)
	c.grow(3)
	c.apply("a", `{"hosts":["x.example"]}`)
	c.allHave("a", 1)
	c.apply("b", `{"hosts":["x.example"]}`)
	c.eventually("the refusal is in the status", func() bool { return c.status("b").Phase == operator.PhaseRefused })
	qt.Check(t, c.nodes[0].Snapshot().Hosts["x.example"].Name, qt.Equals, "a")
}

// TestOutage makes the platform unavailable or unresponsive. Announcements must still reach all
// nodes, a node that starts must be served, and no configuration may revert.
func TestOutage(t *testing.T) {
	tests := map[string]objectapitest.Faults{
		"down":  {Down: true},
		"hangs": {Hang: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.grow(6)
			c.apply("a", `{"hosts":["a.example"]}`)
			c.allHave("a", 1)
			c.store.SetFaults(faults)
			c.nodes[1].Announce(member.Upstream{Service: "a", Slots: 10, State: member.Up})
			c.eventually("all nodes have the announcement", func() bool {
				for _, n := range c.nodes {
					if s := n.Snapshot().Services["a"]; s == nil || len(s.Members) != 1 {
						return false
					}
				}
				return true
			})
			time.Sleep(2 * c.nodes[0].Timing.Lease)
			c.add("born", "z0", c.nodes[0].Self.Addr)
			c.allHave("a", 1)
			c.store.SetFaults(objectapitest.Faults{})
			c.apply("a", `{"hosts":["a.example"],"policy":"random"}`)
			c.allHave("a", 2)
		})
	}
}

// TestOldValuesDoNotRevert gives a node an old configuration, as a peer does that returns after a
// long time.
func TestOldValuesDoNotRevert(t *testing.T) {
	c := newCluster(t)
	c.grow(3)
	c.apply("a", `{"hosts":["a.example"]}`)
	c.allHave("a", 1)
	n := c.nodes[0]
	old, ok := n.configs.Set.Get("a")
	qt.Assert(t, ok, qt.IsTrue)
	c.apply("a", `{"hosts":["a.example"],"policy":"random"}`)
	c.allHave("a", 2)
	n.do(func() { n.configs.Put(old) })
	time.Sleep(100 * time.Millisecond)
	qt.Check(t, n.Snapshot().Sequences["a"], qt.Equals, uint64(2))
	qt.Check(t, n.Snapshot().Services["a"].Config.Policy, qt.Equals, "random")
}

// TestRestartOfAllButOne stops all nodes but one and starts others while the platform is down. They
// must fetch the state of the remaining node.
func TestRestartOfAllButOne(t *testing.T) {
	c := newCluster(t)
	c.grow(6)
	c.apply("a", `{"hosts":["a.example"]}`)
	c.apply("a", `{"hosts":["a.example"],"policy":"random"}`)
	c.eventually("accepted", func() bool { return c.nodes[0].Snapshot().Services["a"] != nil })
	c.eventually("the latest configuration is active", func() bool { return c.nodes[0].Snapshot().Services["a"].Config.Policy == "random" })
	sequence := c.nodes[0].Snapshot().Sequences["a"]
	c.store.SetFaults(objectapitest.Faults{Down: true})
	for _, n := range c.nodes[1:] {
		n.stop()
	}
	c.nodes = c.nodes[:1]
	for i := range 5 {
		c.add(fmt.Sprint("n", i+1), fmt.Sprint("z", i%3), c.nodes[0].Self.Addr)
	}
	c.allHave("a", sequence)
}

// TestRepresentativeDies stops representatives one after another. Each time another node of the zone
// must take over and accept changes.
func TestRepresentativeDies(t *testing.T) {
	c := newCluster(t)
	for i := range 8 {
		c.add(fmt.Sprint("n", i), "z0")
	}
	for i := range 5 {
		var representative *testNode
		c.eventually("a representative", func() bool {
			for _, n := range c.nodes {
				if n.IsRepresentative() {
					representative = n
					return true
				}
			}
			return false
		})
		c.apply("a", fmt.Sprintf(`{"hosts":["a.example"],"timeout":"%ds"}`, i+1))
		c.allHave("a", uint64(i+1))
		representative.stop()
		for j, n := range c.nodes {
			if n == representative {
				c.nodes = append(c.nodes[:j:j], c.nodes[j+1:]...)
				break
			}
		}
	}
}

// TestWrongRemovalIsUndone writes a tombstone for a live node, which must then
// announce itself again.
func TestWrongRemovalIsUndone(t *testing.T) {
	c := newCluster(t)
	c.grow(4)
	c.apply("a", `{"hosts":["a.example"]}`)
	c.allHave("a", 1)
	removed := c.nodes[3]
	removed.Announce(member.Upstream{Service: "a", Slots: 5, State: member.Up})
	knows := func() bool {
		for _, n := range c.nodes {
			if s := n.Snapshot().Services["a"]; s == nil || len(s.Members) != 1 {
				return false
			}
		}
		return true
	}
	c.eventually("all nodes know the upstream", knows)
	n := c.nodes[0]
	var before uint64
	n.do(func() {
		r, _ := n.members.Set.Get(removed.Self.ID)
		before = r.Incarnation
		n.members.Put(r.Tombstone())
	})
	c.eventually("a higher incarnation", func() bool {
		var now uint64
		n.do(func() { r, _ := n.members.Set.Get(removed.Self.ID); now = r.Incarnation })
		return now > before && knows()
	})
}

// TestSilentNodeIsRemoved disconnects a node without notice.
func TestSilentNodeIsRemoved(t *testing.T) {
	c := newCluster(t)
	c.grow(9)
	c.apply("a", `{"hosts":["a.example"]}`)
	c.allHave("a", 1)
	for _, n := range c.nodes {
		n.Announce(member.Upstream{Service: "a", Slots: 1, State: member.Up})
	}
	members := func(want int) func() bool {
		return func() bool { return len(c.nodes[0].Snapshot().Services["a"].Members) == want }
	}
	c.eventually("nine upstreams", members(9))
	// A node that is cut off: it neither sends nor receives.
	isolated := c.nodes[8]
	isolated.do(func() {
		for _, p := range isolated.clients {
			p.Close()
		}
		isolated.neighbours.Clear()
	})
	silent := make(chan struct{})
	defer close(silent)
	go isolated.do(func() { <-silent })
	c.eventually("eight upstreams", members(8))
}

// TestZoneRestartBoundsPlatformCalls starts a whole zone at once and counts the
// calls to the platform.
func TestZoneRestartBoundsPlatformCalls(t *testing.T) {
	c := newCluster(t)
	c.grow(3)
	c.apply("a", `{"hosts":["a.example"]}`)
	c.allHave("a", 1)
	before := c.store.Counts()
	const nodes = 30
	for i := range nodes {
		c.add(fmt.Sprint("fresh", i), "z0")
	}
	c.allHave("a", 1)
	after := c.store.Counts()
	calls := after.Reads + after.Writes - before.Reads - before.Writes
	t.Logf("%d calls for %d nodes", calls, nodes)
	qt.Check(t, calls < 10*nodes, qt.IsTrue, qt.Commentf("%d calls", calls))
}

// TestPartitionHeals starts two groups of nodes that know nothing of each other and share
// only the platform.
func TestPartitionHeals(t *testing.T) {
	c := newCluster(t)
	for i := range 3 {
		c.add(fmt.Sprint("a", i), "z0")
	}
	for i := range 3 {
		c.add(fmt.Sprint("b", i), "z1")
	}
	c.eventually("all nodes know each other", func() bool {
		for _, n := range c.nodes {
			if n.Snapshot().Members != 6 {
				var live int
				n.do(func() { live = n.live })
				if live != 6 {
					return false
				}
			}
		}
		return true
	})
}

// TestLateZoneReceivesChangesByPush starts a zone after the nodes of other zones have filled up
// their neighbours. Comparisons are disabled, so that only pushes can deliver the change.
func TestLateZoneReceivesChangesByPush(t *testing.T) {
	c := newCluster(t)
	for i := range 24 {
		c.add(fmt.Sprint("n", i), fmt.Sprint("z", i%2))
	}
	c.apply("a", `{"hosts":["a.example"]}`)
	c.allHave("a", 1)
	for i := range 8 {
		c.add(fmt.Sprint("late", i), "z2")
	}
	c.allHave("a", 1)
	c.eventually("all nodes know each other", func() bool {
		for _, n := range c.nodes {
			var live int
			n.do(func() { live = n.live })
			if live != 32 {
				return false
			}
		}
		return true
	})
	for _, n := range c.nodes {
		n.do(func() { n.comparing = true }) // disables further comparisons
	}
	c.apply("a", `{"hosts":["a.example"],"policy":"random"}`)
	c.eventually("a node of the late zone has the change", func() bool {
		for _, n := range c.nodes[24:] {
			if n.Snapshot().Sequences["a"] == 2 && !n.IsRepresentative() {
				return true
			}
		}
		return false
	})
}

// TestRequestsAfterStop has the work of a representative continue after the goroutine
// that owns the control state has ended.
func TestRequestsAfterStop(t *testing.T) {
	c := newCluster(t)
	c.grow(2)
	n := c.nodes[0]
	n.stop()
	newSweeper(n.Control).probe(context.Background(), c.nodes[1].Self)
	n.probeCandidates(context.Background())
	qt.Check(t, n.FetchState(context.Background(), []string{c.nodes[1].Self.Addr}), qt.IsFalse)
	_, err := n.Handle(context.Background(), peer.Hello{}, &peer.Request{ID: 1, Topic: topicRoots})
	qt.Check(t, err, qt.IsNotNil)
}

// TestIsolatedRepresentativeIsFound has a representative that knows no other node and is not known
// to any, because the others found each other by their settings.
func TestIsolatedRepresentativeIsFound(t *testing.T) {
	c := newCluster(t)
	isolated := c.add("island", "z0")
	c.eventually("the isolated node holds the lease", isolated.IsRepresentative)
	// The others fetch state from each other and therefore never ask for the
	// representative's contacts.
	a, b := c.listener(), c.listener()
	c.addAt(a, "n0", "z0", b.Addr().String())
	c.addAt(b, "n1", "z0", a.Addr().String())
	c.apply("a", `{"hosts":["a.example"]}`)
	c.allHave("a", 1)
}

// TestBadRequestsAreRefused sends invalid requests to the control state.
func TestBadRequestsAreRefused(t *testing.T) {
	c := newCluster(t)
	n := c.add("n", "z")
	tests := map[string]struct {
		topic   string
		payload []byte
	}{
		"unknown topic":   {topic: "nonsense"},
		"garbage":         {topic: "members.records", payload: []byte{0xc1}},
		"group too high":  {topic: "members.leaves", payload: mustPack(map[string]int{"group": 64})},
		"group negative":  {topic: "configs.leaves", payload: mustPack(map[string]int{"group": -1})},
		"groups unsorted": {topic: "members.digests", payload: mustPack(map[string][]int{"groups": {3, 2}})},
		"leaf negative":   {topic: "configs.bulk", payload: mustPack(map[string]int{"from": -1})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := n.Handle(context.Background(), peer.Hello{}, &peer.Request{ID: 1, Topic: test.topic, Payload: test.payload})
			qt.Check(t, err, qt.IsNotNil)
		})
	}
	_, err := n.Handle(context.Background(), peer.Hello{}, &peer.Request{ID: 1, Topic: topicRoots})
	qt.Check(t, err, qt.IsNil)
}

func mustPack(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
