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
	// testBytesPerSecond is the bandwidth of a link of 10 Mbit/s.
	testBytesPerSecond = 10e6 / 8
	// testLimitBytes is what the link carries in 40 ms.
	testLimitBytes = 50_000
	// testPacketBytes is what the link carries at a time.
	testPacketBytes = 1 << 10
)

// sender is a call whose body is sent over a link that it shares with others.
type sender struct {
	bodyFlow
	credit      chan int
	arrivalTime time.Duration // until the body had arrived
}

// TestConcurrentBodies has ten bodies of different sizes sent at once over a link of
// 10 Mbit/s. The link is never idle, the bytes in flight stay within the limit, and the bodies
// arrive sooner on average than if they shared the link.
func TestConcurrentBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newInFlightLimiter(testLimitBytes, 0)
		link := make(chan *sender, 100)
		var senders []*sender
		left := make(map[*sender]int)
		total := 0
		began := time.Now()
		inFlight := 0
		for i := range 10 {
			s := &sender{}
			s.grant = func(n int) {
				for range n / testPacketBytes {
					inFlight += testPacketBytes
					link <- s
				}
			}
			size := quantumBytes * (1 + i%5)
			senders = append(senders, s)
			left[s] = size
			total += size
			limiter.request(&s.bodyFlow, size)
		}
		for range total / testPacketBytes {
			qt.Assert(t, inFlight <= testLimitBytes, qt.IsTrue, qt.Commentf("%d bytes", inFlight))
			s := <-link // an idle link deadlocks the test
			time.Sleep(time.Duration(testPacketBytes / testBytesPerSecond * float64(time.Second)))
			inFlight -= testPacketBytes
			left[s] -= testPacketBytes
			limiter.received(&s.bodyFlow, testPacketBytes)
			if left[s] == 0 {
				s.arrivalTime = time.Since(began)
				limiter.close(&s.bodyFlow)
			}
		}
		all := time.Since(began)
		var mean time.Duration
		for _, s := range senders {
			mean += s.arrivalTime / time.Duration(len(senders))
		}
		qt.Check(t, mean < all/2, qt.IsTrue, qt.Commentf("%v of %v", mean, all))
		bandwidth, backlog := limiter.load()
		qt.Check(t, backlog, qt.Equals, 0)
		qt.Check(t, math.Abs(bandwidth/testBytesPerSecond-1) < 0.1, qt.IsTrue, qt.Commentf("measured %v bytes/s", bandwidth))
		if limiter.dispatchTimer != nil {
			limiter.dispatchTimer.Stop()
		}
	})
}

// TestSlowSendersDoNotBlock has senders with credit whose callers send nothing. Others are
// granted credit soon, and the slow ones continue once their callers send.
func TestSlowSendersDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newInFlightLimiter(testLimitBytes, 0)
		withCredit := func(s *sender) *sender {
			s.credit = make(chan int, 100)
			s.grant = func(n int) { s.credit <- n }
			return s
		}
		var slow []*sender
		for range 4 {
			s := withCredit(&sender{})
			slow = append(slow, s)
			limiter.request(&s.bodyFlow, 60_000)
		}
		quick := withCredit(&sender{})
		began := time.Now()
		limiter.request(&quick.bodyFlow, 60_000)
		for got := 0; got < 60_000; {
			n := <-quick.credit
			time.Sleep(time.Duration(float64(n) / testBytesPerSecond * float64(time.Second)))
			limiter.received(&quick.bodyFlow, n)
			got += n
		}
		limiter.close(&quick.bodyFlow)
		took := time.Since(began)
		qt.Check(t, took < 4*creditTimeout, qt.IsTrue, qt.Commentf("%v", took))
		for _, s := range slow {
			limiter.received(&s.bodyFlow, quantumBytes)
			limiter.close(&s.bodyFlow)
		}
		qt.Check(t, limiter.available, qt.Equals, testLimitBytes)
		if limiter.dispatchTimer != nil {
			limiter.dispatchTimer.Stop()
		}
	})
}

// TestSlowSendersAmongFast has slow senders hold credit while others arrive continuously, so that
// the timer never expires: credit that has timed out is granted to others all the same.
func TestSlowSendersAmongFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newInFlightLimiter(testLimitBytes, 0)
		for range 2 {
			s := &sender{}
			s.grant = func(int) {}
			limiter.request(&s.bodyFlow, 60_000)
		}
		began := time.Now()
		var sent int
		for time.Since(began) < time.Second {
			quick := &sender{credit: make(chan int, 100)}
			quick.grant = func(n int) { quick.credit <- n }
			limiter.request(&quick.bodyFlow, quantumBytes)
			n := <-quick.credit
			time.Sleep(time.Duration(float64(n) / testBytesPerSecond * float64(time.Second)))
			limiter.received(&quick.bodyFlow, n)
			limiter.close(&quick.bodyFlow)
			sent += n
		}
		qt.Check(t, float64(sent) > 0.7*testBytesPerSecond, qt.IsTrue, qt.Commentf("%d bytes", sent))
		if limiter.dispatchTimer != nil {
			limiter.dispatchTimer.Stop()
		}
	})
}
