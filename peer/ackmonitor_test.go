// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/tcp"
)

// TestAckMonitor checks simulated states of a connection every 100 ms.
func TestAckMonitor(t *testing.T) {
	const timeout = time.Second
	type state = tcp.AckState
	repeat := func(n int, a state) (list []state) {
		for range n {
			list = append(list, a)
			if a.SinceLastAck > 0 {
				a.SinceLastAck += 100 * time.Millisecond
			}
		}
		return list
	}
	tests := map[string]struct {
		states []state
		want   int // the check at which it is lost, 0 if it is not
	}{
		"nothing outstanding for an hour":         {states: repeat(50, state{Retransmitting: true, SinceLastAck: time.Hour})},
		"answered zero-window probes":             {states: repeat(50, state{Outstanding: true, SinceLastAck: time.Hour})},
		"unreachable":                             {states: repeat(50, state{Outstanding: true, Retransmitting: true, SinceLastAck: 1}), want: 12},
		"unreachable after an hour without calls": {states: repeat(50, state{Outstanding: true, Retransmitting: true, SinceLastAck: time.Hour}), want: 12},
		"a probe in flight at a check":            {states: append(append(repeat(20, state{Outstanding: true, SinceLastAck: time.Hour}), state{Outstanding: true, Retransmitting: true, SinceLastAck: time.Hour}), repeat(20, state{Outstanding: true, SinceLastAck: time.Hour})...)},
		"acknowledged occasionally":               {states: append(repeat(9, state{Outstanding: true, Retransmitting: true, SinceLastAck: 1}), repeat(9, state{Outstanding: true, Retransmitting: true, SinceLastAck: 1})...)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var m ackMonitor
			now := time.Unix(1e9, 0)
			got := 0
			for i, a := range test.states {
				if m.check(a, now, timeout) {
					got = i + 1
					break
				}
				now = now.Add(100 * time.Millisecond)
			}
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}
