// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLane checks that the requests of a lane have their turns in order, that slots rest while others
// wait, and that both a turn and the wait for one are bounded.
func TestLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took = 10 * time.Millisecond
		l := &Lane{
			Slots:   2,
			MaxWait: time.Second,
			MaxHold: 200 * time.Millisecond,
		}
		began := time.Now()
		starts := make([]time.Duration, 6)
		for i := range starts {
			go func() {
				turn := l.enter()
				starts[i] = time.Since(began)
				time.Sleep(took)
				turn.leave()
				turn.leave() // a second time changes nothing
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		const period = took + restFactor*took
		qt.Check(t, starts, qt.DeepEquals, []time.Duration{0, 0, period, period, 2 * period, 2 * period})
		qt.Check(t, l.taken, qt.Equals, 0)

		l.enter()
		l.enter()
		began = time.Now()
		third := l.enter()
		qt.Assert(t, third, qt.IsNotNil)
		qt.Check(t, time.Since(began), qt.Equals, l.MaxHold+restFactor*l.MaxHold, qt.Commentf("a turn ends, and the slot rests"))
	})
}

// TestLaneWait checks that a request whose turn does not come in time is refused.
func TestLaneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Lane{
			Slots:   1,
			MaxWait: 100 * time.Millisecond,
			MaxHold: time.Hour,
		}
		first := l.enter()
		began := time.Now()
		qt.Check(t, l.enter(), qt.IsNil)
		qt.Check(t, time.Since(began), qt.Equals, l.MaxWait)
		first.leave()
		qt.Check(t, l.enter(), qt.IsNotNil, qt.Commentf("the refused one has left the queue"))
	})
}
