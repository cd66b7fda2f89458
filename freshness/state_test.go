// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package freshness_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sassafrasfront.example/freshness"
)

// testNode is another node, whose clock is ahead of the tested node's.
type testNode struct {
	*freshness.State
	ahead time.Duration
}

// message returns its message at a moment by the tested node's clock.
func (t *testNode) message(now time.Duration) freshness.Message { return t.Message(now + t.ahead) }

// newTestNode returns a node that has a version, read at a moment by the tested node's clock.
func newTestNode(ahead time.Duration, version uint64, read time.Duration) *testNode {
	t := &testNode{State: freshness.New(), ahead: ahead}
	t.SetVersion(version)
	t.ObserveRead(read + ahead)
	return t
}

const ms = time.Millisecond

// TestAge checks which delays make a proof older, and what must not be mistaken for a proof.
func TestAge(t *testing.T) {
	const ahead = time.Hour
	for name, row := range map[string]struct {
		do   func(s *freshness.State)
		want time.Duration // the age of version 5 at 10 s, or 0 if it is not known
	}{
		"nothing": {func(*freshness.State) {}, 0},
		"own read": {func(s *freshness.State) {
			s.ObserveRead(9 * time.Second)
		}, time.Second},
		"a later response to an earlier read": {func(s *freshness.State) {
			s.ObserveRead(9 * time.Second)
			s.ObserveRead(8 * time.Second)
		}, time.Second},
		"message by an unknown clock": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 9*time.Second)
			qt.Check(t, s.Receive(o.message(9500*ms), 9600*ms), qt.IsFalse)
		}, 0},
		"reply": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 9*time.Second)
			s.ReceiveReply(9400*ms, o.message(9500*ms), 9600*ms)
		}, 1100 * ms},
		"the reply was delayed": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 1*time.Second)
			s.ReceiveReply(1400*ms, o.message(1500*ms), 9600*ms)
		}, 9100 * ms},
		"the request was delayed": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 9*time.Second)
			s.ReceiveReply(2*time.Second, o.message(9500*ms), 9600*ms)
		}, 8500 * ms},
		"a known clock, the message was delayed": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 1*time.Second)
			s.ReceiveReply(1990*ms, o.message(2*time.Second), 2010*ms)
			o.ObserveRead(3*time.Second + ahead)
			late := o.message(3100 * ms)
			qt.Check(t, s.Receive(late, 9900*ms), qt.IsTrue)
		}, 7010 * ms},
		"the sender was suspended before it sent": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 1*time.Second)
			s.ReceiveReply(1990*ms, o.message(2*time.Second), 2010*ms)
			qt.Check(t, s.Receive(o.message(9*time.Second), 9900*ms), qt.IsTrue)
		}, 9010 * ms},
		"a later proof of a later version": {func(s *freshness.State) {
			s.ObserveRead(2 * time.Second)
			o := newTestNode(ahead, 6, 9*time.Second)
			s.ReceiveReply(9400*ms, o.message(9500*ms), 9600*ms)
		}, 8 * time.Second},
		"an earlier version read elsewhere": {func(s *freshness.State) {
			o := newTestNode(ahead, 4, 9*time.Second)
			s.ReceiveReply(9500*ms, o.message(9500*ms), 9600*ms)
		}, time.Second},
		"a moment in the sender's future": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 9*time.Second)
			message := o.message(9 * time.Second)
			message.At += time.Minute
			s.ReceiveReply(9*time.Second, message, 9100*ms)
		}, 0},
		"the sender restarted": {func(s *freshness.State) {
			o := newTestNode(ahead, 5, 1*time.Second)
			s.ReceiveReply(1990*ms, o.message(2*time.Second), 2010*ms)
			again := newTestNode(-ahead, 5, 9*time.Second)
			qt.Check(t, s.Receive(again.message(9*time.Second), 9*time.Second), qt.IsFalse)
		}, 9010 * ms},
		"a node without a proof": {func(s *freshness.State) {
			qt.Check(t, s.Receive(freshness.Message{}, 9*time.Second), qt.IsTrue)
			s.ReceiveReply(9*time.Second, freshness.Message{}, 9*time.Second)
			s.ReceiveReply(9*time.Second, freshness.New().Message(9*time.Second), 9*time.Second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := freshness.New()
			s.SetVersion(5)
			row.do(s)
			age := s.Proofs().Age(5, 10*time.Second)
			qt.Assert(t, age.Known, qt.Equals, row.want > 0, qt.Commentf("%v", age))
			if row.want > 0 {
				const rounding = 20 * ms // bound on the drift over these times
				qt.Check(t, age.Time >= row.want, qt.IsTrue, qt.Commentf("%v", age))
				qt.Check(t, age.Time <= row.want+rounding, qt.IsTrue, qt.Commentf("%v", age))
			}
		})
	}
}

// TestAhead checks that a proof for a version that the node gets later counts from then on, and that the one
// for the version before counts until then.
func TestAhead(t *testing.T) {
	s := freshness.New()
	s.SetVersion(5)
	s.ObserveRead(time.Second)
	o := newTestNode(0, 6, 3*time.Second)
	s.ReceiveReply(4*time.Second, o.message(4*time.Second), 4*time.Second)
	qt.Check(t, s.Proofs().Age(5, 5*time.Second).Time, qt.Equals, 4*time.Second)
	qt.Check(t, s.Proofs().Age(6, 5*time.Second).Time < 2100*ms, qt.IsTrue)
	qt.Check(t, s.Proofs().Age(4, 5*time.Second).Known, qt.IsFalse)
	s.SetVersion(6)
	qt.Check(t, s.Proofs().Age(6, 5*time.Second).Time < 2100*ms, qt.IsTrue)
	qt.Check(t, s.Proofs().Age(5, 5*time.Second).Known, qt.IsFalse, qt.Commentf("version 6 is active by then"))
}

// TestManyClocks receives messages by more clocks than are stored.
func TestManyClocks(t *testing.T) {
	s := freshness.New()
	s.SetVersion(1)
	var first *testNode
	for i := range 1000 {
		now := time.Duration(i) * ms
		o := newTestNode(time.Duration(i)*time.Second, 1, now)
		if first == nil {
			first = o
		}
		s.ReceiveReply(now, o.message(now), now)
		qt.Assert(t, s.Receive(o.message(now), now), qt.IsTrue)
	}
	qt.Check(t, s.Receive(first.message(time.Second), time.Second), qt.IsFalse)
}

// TestRenewal checks that the offset of a clock is learnt again after a while.
func TestRenewal(t *testing.T) {
	s := freshness.New()
	s.SetVersion(1)
	o := newTestNode(time.Minute, 1, 0)
	s.ReceiveReply(time.Second, o.message(time.Second), time.Second)
	qt.Check(t, s.Receive(o.message(10*time.Second), 10*time.Second), qt.IsTrue)
	qt.Check(t, s.Receive(o.message(40*time.Second), 40*time.Second), qt.IsFalse)
	s.ReceiveReply(40*time.Second, o.message(40*time.Second), 40*time.Second)
	qt.Check(t, s.Receive(o.message(50*time.Second), 50*time.Second), qt.IsTrue)
}

// TestEvaluate checks the bounds, including the margin for a fast clock.
func TestEvaluate(t *testing.T) {
	age := func(d time.Duration) freshness.Age { return freshness.Age{Known: true, Time: d} }
	strict := freshness.Bounds{MaxRevokeDelay: 5 * time.Second, MaxApplyDelay: 2 * time.Second}
	for name, row := range map[string]struct {
		bounds freshness.Bounds
		age    freshness.Age
		held   bool
		want   freshness.KeyStatus
	}{
		"fresh, held":                  {strict, age(time.Second), true, freshness.Valid},
		"fresh, not held":              {strict, age(time.Second), false, freshness.Unknown},
		"old, held":                    {strict, age(3 * time.Second), true, freshness.Valid},
		"old, not held":                {strict, age(3 * time.Second), false, freshness.Stale},
		"just below the bound":         {strict, age(4980 * ms), true, freshness.Valid},
		"at the bound by a fast clock": {strict, age(4995 * ms), true, freshness.Stale},
		"beyond the bound":             {strict, age(6 * time.Second), true, freshness.Stale},
		"never confirmed, held":        {strict, freshness.Age{}, true, freshness.Stale},
		"never confirmed, not held":    {strict, freshness.Age{}, false, freshness.Stale},
		"no bound on additions":        {freshness.Bounds{MaxRevokeDelay: 5 * time.Second}, age(time.Second), false, freshness.Unknown},
		"not strict, held":             {freshness.Bounds{}, freshness.Age{}, true, freshness.Valid},
		"not strict, not held":         {freshness.Bounds{}, freshness.Age{}, false, freshness.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, row.bounds.Evaluate(row.age, row.held), qt.Equals, row.want)
		})
	}
	qt.Check(t, age(1234567*time.Microsecond).String(), qt.Equals, "1234 ms")
	qt.Check(t, freshness.Age{}.String(), qt.Equals, "an unknown time")
}

// randomSystem is a random system of TestNeverYounger: nodes whose clocks have different offsets and rates, messages
// that are delayed or lost, and a table that gets new versions.
type randomSystem struct {
	t        *rapid.T
	now      float64 // true time, in seconds
	nodes    []*randomNode
	acks     []float64 // true time at which version i+1 was acknowledged
	inFlight []func()
}

type randomNode struct {
	*freshness.State
	offset, rate float64
	version      uint64
}

func (n *randomNode) clock(now float64) time.Duration {
	return time.Duration((n.offset + n.rate*now) * float64(time.Second))
}

// TestNeverYounger simulates random reads, messages, replies, delays of any length, restarts and suspensions (a
// node that does nothing while its clock continues). At each step no node may consider its table younger than
// it is: everything that a proof covers was acknowledged by its moment.
func TestNeverYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &randomSystem{t: t, acks: []float64{0}}
		for range rapid.IntRange(2, 5).Draw(t, "nodes") {
			d.nodes = append(d.nodes, d.start())
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait":    func(t *rapid.T) { d.now += rapid.Float64Range(0, 4).Draw(t, "s") },
			"change":  func(*rapid.T) { d.acks = append(d.acks, d.now) },
			"read":    d.read,
			"tell":    d.sendMessage,
			"ask":     d.sendRequest,
			"restart": func(t *rapid.T) { d.nodes[d.index(t)] = d.start() },
			"arrive": func(t *rapid.T) {
				if len(d.inFlight) == 0 {
					t.Skip("no message is in flight")
				}
				i := rapid.IntRange(0, len(d.inFlight)-1).Draw(t, "message")
				arrive := d.inFlight[i]
				d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
				arrive()
			},
			"": d.check,
		})
	})
}

// start returns a node whose clock deviates from true time by at most 500 ppm, as the kernel allows.
func (d *randomSystem) start() *randomNode {
	return &randomNode{
		State:  freshness.New(),
		offset: rapid.Float64Range(0, 1e6).Draw(d.t, "offset"),
		rate:   rapid.Float64Range(1-5e-4, 1+5e-4).Draw(d.t, "rate"),
	}
}

func (d *randomSystem) index(t *rapid.T) int {
	return rapid.IntRange(0, len(d.nodes)-1).Draw(t, "node")
}

// read makes a node read the platform, which is evaluated at any moment before the response arrives.
func (d *randomSystem) read(t *rapid.T) {
	n := d.nodes[d.index(t)]
	sent := n.clock(d.now)
	d.inFlight = append(d.inFlight, func() {
		found := uint64(len(d.acks))
		d.inFlight = append(d.inFlight, func() {
			n.version = max(n.version, found)
			n.SetVersion(n.version)
			n.ObserveRead(sent)
		})
	})
}

// sendMessage makes a node send a message to another, which may fetch the table later or never.
func (d *randomSystem) sendMessage(t *rapid.T) {
	n, to := d.nodes[d.index(t)], d.nodes[d.index(t)]
	message, version := n.Message(n.clock(d.now)), n.version
	d.inFlight = append(d.inFlight, func() { to.Receive(message, to.clock(d.now)) })
	d.inFlight = append(d.inFlight, func() {
		to.version = max(to.version, version)
		to.SetVersion(to.version)
	})
}

// sendRequest makes a node send a request to another.
func (d *randomSystem) sendRequest(t *rapid.T) {
	n, other := d.nodes[d.index(t)], d.nodes[d.index(t)]
	sent := n.clock(d.now)
	d.inFlight = append(d.inFlight, func() {
		message := other.Message(other.clock(d.now))
		d.inFlight = append(d.inFlight, func() { n.ReceiveReply(sent, message, n.clock(d.now)) })
	})
}

// check checks all nodes: a version can't be proved to be the latest at a moment after the next one was
// acknowledged.
func (d *randomSystem) check(t *rapid.T) {
	for i, n := range d.nodes {
		age := n.Proofs().Age(n.version, n.clock(d.now))
		if !age.Known || int(n.version) >= len(d.acks) {
			continue
		}
		since := d.now - d.acks[n.version] // since the next version was acknowledged
		const slowest = 1 - 5e-4
		if least := time.Duration(since * slowest * float64(time.Second)); age.Time < least-time.Microsecond {
			t.Fatal(fmt.Sprintf("node %d: version %d was replaced %.4f s ago, but its age is %v", i, n.version, since, age.Time))
		}
	}
}
