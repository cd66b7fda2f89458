// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// testRate is that of a link of 10 Mbit/s, in bytes per second.
	testRate = 10e6 / 8
	// testQuota is what it carries in 40 ms.
	testQuota = 50_000
	// testPiece is what the link carries at a time, in bytes.
	testPiece = 1 << 10
)

// sender is a call whose body crosses a link that it shares with others.
type sender struct {
	demand
	credit chan int
	took   time.Duration // until the body was there
}

// TestRushOfBodies has ten bodies of different sizes come at once over a link of
// 10 Mbit/s. The link is never idle, what is under way stays within the quota, and the
// bodies are there sooner on average than if they shared the link.
func TestRushOfBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuota(testQuota, 0)
		link := make(chan *sender, 100)
		var senders []*sender
		left := make(map[*sender]int)
		total := 0
		began := time.Now()
		underWay := 0
		for i := range 10 {
			s := &sender{}
			s.give = func(n int) {
				for range n / testPiece {
					underWay += testPiece
					link <- s
				}
			}
			size := quantum * (1 + i%5)
			senders = append(senders, s)
			left[s] = size
			total += size
			q.ask(&s.demand, size)
		}
		for range total / testPiece {
			qt.Assert(t, underWay <= testQuota, qt.IsTrue, qt.Commentf("%d bytes", underWay))
			s := <-link // a link that runs dry deadlocks the test
			time.Sleep(time.Duration(testPiece / testRate * float64(time.Second)))
			underWay -= testPiece
			left[s] -= testPiece
			q.arrived(&s.demand, testPiece)
			if left[s] == 0 {
				s.took = time.Since(began)
				q.leave(&s.demand)
			}
		}
		all := time.Since(began)
		var mean time.Duration
		for _, s := range senders {
			mean += s.took / time.Duration(len(senders))
		}
		qt.Check(t, mean < all/2, qt.IsTrue, qt.Commentf("%v of %v", mean, all))
		rate, backlog := q.inflow()
		qt.Check(t, backlog, qt.Equals, 0)
		qt.Check(t, math.Abs(rate/testRate-1) < 0.1, qt.IsTrue, qt.Commentf("measured %v bytes/s", rate))
		if q.again != nil {
			q.again.Stop()
		}
	})
}

// TestSlowCallersHoldUpNobody has senders with credit whose callers send nothing. Others get
// their turn soon, and go on when the slow ones send after all.
func TestSlowCallersHoldUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuota(testQuota, 0)
		give := func(s *sender) *sender {
			s.credit = make(chan int, 100)
			s.give = func(n int) { s.credit <- n }
			return s
		}
		var slow []*sender
		for range 4 {
			s := give(&sender{})
			slow = append(slow, s)
			q.ask(&s.demand, 60_000)
		}
		quick := give(&sender{})
		began := time.Now()
		q.ask(&quick.demand, 60_000)
		for got := 0; got < 60_000; {
			n := <-quick.credit
			time.Sleep(time.Duration(float64(n) / testRate * float64(time.Second)))
			q.arrived(&quick.demand, n)
			got += n
		}
		q.leave(&quick.demand)
		took := time.Since(began)
		qt.Check(t, took < 4*overdue, qt.IsTrue, qt.Commentf("%v", took))
		for _, s := range slow {
			q.arrived(&s.demand, quantum)
			q.leave(&s.demand)
		}
		qt.Check(t, q.free, qt.Equals, testQuota)
		if q.again != nil {
			q.again.Stop()
		}
	})
}

// TestSlowCallersAmongQuickOnes has slow callers hold credit while others come all the time, so
// that the quota is never left alone: what is overdue is given to others all the same.
func TestSlowCallersAmongQuickOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuota(testQuota, 0)
		for range 2 {
			s := &sender{}
			s.give = func(int) {}
			q.ask(&s.demand, 60_000)
		}
		began := time.Now()
		var sent int
		for time.Since(began) < time.Second {
			quick := &sender{credit: make(chan int, 100)}
			quick.give = func(n int) { quick.credit <- n }
			q.ask(&quick.demand, quantum)
			n := <-quick.credit
			time.Sleep(time.Duration(float64(n) / testRate * float64(time.Second)))
			q.arrived(&quick.demand, n)
			q.leave(&quick.demand)
			sent += n
		}
		qt.Check(t, float64(sent) > 0.7*testRate, qt.IsTrue, qt.Commentf("%d bytes", sent))
		if q.again != nil {
			q.again.Stop()
		}
	})
}
