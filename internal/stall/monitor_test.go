// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package stall

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLongestDelay(t *testing.T) {
	tests := map[string]struct {
		gaps    []time.Duration // between ticks
		since   time.Duration   // before the last of them
		pending time.Duration   // after the last of them
		want    time.Duration
	}{
		"no tick yet":         {pending: time.Second},
		"on time":             {gaps: []time.Duration{0, tickInterval, tickInterval}, since: time.Second, pending: tickInterval},
		"late once":           {gaps: []time.Duration{0, tickInterval, tickInterval + 300*time.Millisecond, tickInterval}, since: time.Second, want: 300 * time.Millisecond},
		"the longest":         {gaps: []time.Duration{0, tickInterval + 300*time.Millisecond, tickInterval + 100*time.Millisecond}, since: time.Second, want: 300 * time.Millisecond},
		"before":              {gaps: []time.Duration{0, tickInterval + 300*time.Millisecond, tickInterval}, since: tickInterval},
		"next tick late":      {gaps: []time.Duration{0}, since: time.Second, pending: tickInterval + 700*time.Millisecond, want: 700 * time.Millisecond},
		"below minDelay":      {gaps: []time.Duration{0, tickInterval + minDelay - 1}, since: time.Second},
		"more than maxDelays": {gaps: append([]time.Duration{0, time.Second}, repeat(tickInterval+minDelay, maxDelays)...), since: time.Minute, want: minDelay},
		"maxDelays":           {gaps: append([]time.Duration{0, time.Second}, repeat(tickInterval+minDelay, maxDelays-1)...), since: time.Minute, want: time.Second - tickInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m Monitor
				for _, gap := range test.gaps {
					time.Sleep(gap)
					m.tick(time.Now())
				}
				since := time.Now().Add(-test.since)
				time.Sleep(test.pending)
				qt.Check(t, m.LongestDelay(since), qt.Equals, test.want)
			})
		})
	}
}

func repeat(d time.Duration, n int) (list []time.Duration) {
	for range n {
		list = append(list, d)
	}
	return list
}

func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Monitor
		go m.Run(t.Context())
		time.Sleep(10 * tickInterval)
		synctest.Wait()
		qt.Check(t, m.LongestDelay(time.Time{}), qt.Equals, time.Duration(0))
		m.mu.Lock()
		qt.Check(t, time.Since(m.lastTick), qt.Equals, time.Duration(0))
		m.mu.Unlock()
	})
}
