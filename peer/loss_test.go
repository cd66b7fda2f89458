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

// TestLossWatch plays how a connection stands at looks of 100 ms.
func TestLossWatch(t *testing.T) {
	const most = time.Second
	type seen = tcp.AckState
	repeat := func(n int, a seen) (list []seen) {
		for range n {
			list = append(list, a)
			if a.SinceLastAck > 0 {
				a.SinceLastAck += 100 * time.Millisecond
			}
		}
		return list
	}
	tests := map[string]struct {
		looks []seen
		want  int // the look at which it is lost, 0 if it is not
	}{
		"nothing outstanding, long ago":    {looks: repeat(50, seen{Retransmitting: true, SinceLastAck: time.Hour})},
		"answered questions for room":      {looks: repeat(50, seen{Outstanding: true, SinceLastAck: time.Hour})},
		"gone":                             {looks: repeat(50, seen{Outstanding: true, Retransmitting: true, SinceLastAck: 1}), want: 12},
		"gone after an hour without calls": {looks: repeat(50, seen{Outstanding: true, Retransmitting: true, SinceLastAck: time.Hour}), want: 12},
		"a question under way at a look":   {looks: append(append(repeat(20, seen{Outstanding: true, SinceLastAck: time.Hour}), seen{Outstanding: true, Retransmitting: true, SinceLastAck: time.Hour}), repeat(20, seen{Outstanding: true, SinceLastAck: time.Hour})...)},
		"acknowledged now and then":        {looks: append(repeat(9, seen{Outstanding: true, Retransmitting: true, SinceLastAck: 1}), repeat(9, seen{Outstanding: true, Retransmitting: true, SinceLastAck: 1})...)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w lossWatch
			now := time.Unix(1e9, 0)
			got := 0
			for i, a := range test.looks {
				if w.look(a, now, most) {
					got = i + 1
					break
				}
				now = now.Add(100 * time.Millisecond)
			}
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}
