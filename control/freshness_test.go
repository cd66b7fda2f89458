// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/configsync"
	"sassafrasfront.example/freshness"
	"sassafrasfront.example/internal/boottime"
	"sassafrasfront.example/member"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/watch"
)

// maxStaleness is the bound of the nodes in these tests.
const maxStaleness = 1500 * time.Millisecond

// freshNodes starts nodes whose clocks have different readings.
func (c *cluster) freshNodes(count int) (list []*testNode) {
	start := time.Now()
	for i := range count {
		var contacts []string
		if i > 0 {
			contacts = []string{list[0].Self.Addr}
		}
		n := c.addAtWith(c.listener(), string(rune('a'+i)), "z", func(k *Control) {
			k.API = nil
			k.Contacts = contacts
			k.MaxPropagationDelay = 500 * time.Millisecond
			k.ServiceConfig = func(*routes.Table, string, int) operator.Service { return operator.Service{}.WithDefaults() }
			k.Clock = func() time.Duration { return time.Since(start) + time.Duration(i)*time.Hour }
			k.MaxStaleness = maxStaleness
		})
		list = append(list, n)
	}
	for _, n := range list {
		c.eventually("all have met", func() bool { return n.liveNodes() == len(list) })
	}
	return list
}

// TestFreshnessProofsReachAllNodes has a platform that responds to one of six nodes. All nodes must
// know from its reads how fresh their table is. When the platform responds to none, no node may
// assume a younger table than the last successful read, and all must learn that the table is too old.
func TestFreshnessProofsReachAllNodes(t *testing.T) {
	c := newCluster(t)
	list := c.freshNodes(6)
	p := &fakePlatform{version: 1, refused: make(map[string]bool)}
	for _, n := range list[1:] {
		p.refused[n.Self.ID] = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, n := range list {
		go p.follow(ctx, n)
	}
	const youngEnough = maxStaleness / 2
	check := func(n *testNode) freshness.Age {
		checkedAt := time.Now()
		age := n.TableAge(1)
		if age.Known {
			least := checkedAt.Sub(p.lastResponseTime())
			qt.Check(t, age.Time >= least, qt.IsTrue, qt.Commentf("%s assumes an age of %v, the actual age is at least %v", n.Self.ID, age, least))
		}
		return age
	}
	for range 5 {
		for _, n := range list {
			c.eventually("all nodes know how fresh the table is", func() bool {
				age := check(n)
				return age.Known && age.Time < youngEnough
			})
		}
	}
	p.refuse(list[0].Self.ID)
	for _, n := range list {
		c.eventually("all nodes know that the table is too old", func() bool { return check(n).Time > maxStaleness })
	}
}

// TestReadStatusEncoding checks that nodes of a version without proofs decode a read status that
// has one, and the other way round.
func TestReadStatusEncoding(t *testing.T) {
	status := configsync.ReadStatus{Round: 3, Version: 5, Age: time.Second}
	payload := mustPack(statusAndProof{ReadStatus: status, Proof: freshness.Message{Clock: 1, Now: 4, Version: 5, At: 2}})
	var plain configsync.ReadStatus
	qt.Assert(t, msgpack.Unmarshal(payload, &plain), qt.IsNil)
	qt.Check(t, plain, qt.Equals, status)
	back, err := peer.Unpack[statusAndProof](payload)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, back.ReadStatus, qt.Equals, status)
	qt.Check(t, back.Proof.At, qt.Equals, time.Duration(2))
	back, err = peer.Unpack[statusAndProof](mustPack(status))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, back, qt.Equals, statusAndProof{ReadStatus: status})
}

// TestRefreshOfOldProof has a node receive read statuses but no usable proof. As its own proof gets
// old, it must query others and then read the platform, at a limited rate.
func TestRefreshOfOldProof(t *testing.T) {
	var now time.Duration
	c := &Control{
		ServiceConfig:       func(*routes.Table, string, int) operator.Service { return operator.Service{} },
		MaxPropagationDelay: time.Hour,
		Clock:               func() time.Duration { return now },
		MaxStaleness:        time.Second,
	}
	c.init()
	steps := []struct {
		at      time.Duration
		confirm bool
		want    configsync.Action
	}{
		{at: 50 * time.Millisecond, want: configsync.Wait},
		{at: 200 * time.Millisecond, want: configsync.Query},
		{at: 250 * time.Millisecond, want: configsync.Wait},
		{at: 700 * time.Millisecond, want: configsync.Read},
		{at: 800 * time.Millisecond, confirm: true, want: configsync.Wait},
		{at: 1200 * time.Millisecond, want: configsync.Wait},
		{at: 1300 * time.Millisecond, want: configsync.Query},
		{at: 1350 * time.Millisecond, want: configsync.Wait},
		{at: 1450 * time.Millisecond, want: configsync.Read},
		{at: 1500 * time.Millisecond, want: configsync.Wait},
	}
	c.snapshot.Store(&Snapshot{Table: &routes.Table{Version: 1}})
	c.freshness.SetVersion(1)
	for _, step := range steps {
		now = step.at
		if step.confirm {
			c.freshness.ObserveRead(now)
		}
		qt.Check(t, c.refreshAction(configsync.Wait, time.Now()), qt.Equals, step.want, qt.Commentf("at %v", step.at))
		qt.Check(t, c.refreshAction(configsync.Watch, time.Now()), qt.Equals, configsync.Watch)
	}
	now = time.Minute
	later := time.Now().Add(2 * time.Hour)
	qt.Check(t, c.refreshAction(configsync.Wait, later), qt.Equals, configsync.Query, qt.Commentf("without read statuses the node waits for its regular turn"))
}

// TestIsolatedNodeKeepsProofFresh has a node that receives nothing from others and to which the
// platform always responds. Its watches, which grow longer, must never let the proof come near the
// bound.
func TestIsolatedNodeKeepsProofFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Control{
			Self:                member.Record{ID: "a", Zone: "z", State: member.Idle},
			ServiceConfig:       func(*routes.Table, string, int) operator.Service { return operator.Service{}.WithDefaults() },
			MaxPropagationDelay: maxStaleness / 2,
			Clock:               boottime.Monotonic(),
			MaxStaleness:        maxStaleness,
			Budget:              watch.NewBudget(1e6, 1),
			Published:           func(*Snapshot) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		defer all.Wait()
		defer cancel()
		all.Go(func() { c.Run(ctx) })
		all.Go(func() { (&fakePlatform{version: 1}).follow(ctx, &testNode{Control: c}) })
		time.Sleep(maxStaleness)
		for range 1000 {
			time.Sleep(maxStaleness / 50)
			age := c.TableAge(1)
			qt.Assert(t, age.Known && age.Time < 6*maxStaleness/10, qt.IsTrue, qt.Commentf("%v", age))
		}
	})
}

// TestConfirmAfterRestore restores the platform from a backup that may lack the latest table. Reads
// must confirm nothing until operators have had time to write it again, and the age of the last
// proof must grow meanwhile.
func TestConfirmAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		c := &Control{
			Self:                member.Record{ID: "a", Zone: "z", State: member.Idle},
			ServiceConfig:       func(*routes.Table, string, int) operator.Service { return operator.Service{}.WithDefaults() },
			MaxPropagationDelay: maxStaleness / 2,
			Clock:               clock,
			MaxStaleness:        maxStaleness,
			Budget:              watch.NewBudget(1e6, 1),
			Published:           func(*Snapshot) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		defer all.Wait()
		defer cancel()
		all.Go(func() { c.Run(ctx) })
		c.ApplyTable(&routes.Table{Version: 7, Services: []routes.Service{{Name: "s"}}})
		c.ObserveEra(1, false)
		c.ConfirmRead(clock())
		qt.Check(t, c.TableAge(7), qt.Equals, freshness.Age{Known: true})
		c.ObserveEra(2, true)
		for range 2 {
			time.Sleep(time.Second)
			c.ConfirmRead(clock())
		}
		qt.Check(t, c.TableAge(7), qt.Equals, freshness.Age{Known: true, Time: 2 * time.Second})
		time.Sleep(time.Second)
		c.ConfirmRead(clock())
		qt.Check(t, c.TableAge(7), qt.Equals, freshness.Age{Known: true})
	})
}

// TestNoTable gets the age of the table on a node that has none.
func TestNoTable(t *testing.T) {
	qt.Check(t, new(Control).TableAge(1).Known, qt.IsFalse)
}
