// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package watch_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/watch"
)

// TestCostIsIndependentOfCallers requests a load report with each response, for few
// and for many responses.
func TestCostIsIndependentOfCallers(t *testing.T) {
	spent := make(map[int]uint64)
	for _, perSecond := range []int{1000, 10000} {
		synctest.Test(t, func(t *testing.T) {
			b := watch.NewBudget(6000, 1)
			p := &watch.Pacer[int]{Budget: b, MinInterval: 20 * time.Millisecond, MessageBytes: 60}
			for i := range 10 * perSecond {
				p.Allow(i % 50)
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			spent[perSecond] = b.Bytes.Load()
		})
	}
	qt.Check(t, spent[10000] <= spent[1000]*105/100, qt.IsTrue, qt.Commentf("%v", spent))
	qt.Check(t, spent[10000] <= 6000*11, qt.IsTrue)
}

func TestPacerSpacesEachReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &watch.Pacer[string]{Budget: watch.NewBudget(1000, 1), MinInterval: time.Second, MessageBytes: 1}
		qt.Check(t, p.Allow("a"), qt.IsTrue)
		qt.Check(t, p.Allow("a"), qt.IsFalse)
		qt.Check(t, p.Allow("b"), qt.IsTrue)
		time.Sleep(time.Second)
		qt.Check(t, p.Allow("a"), qt.IsTrue)
	})
}
