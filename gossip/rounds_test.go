// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkRounds reports the number of rounds until no node pushes a change any longer,
// the percentage of the nodes that the pushes reach, and the number of rounds of
// comparisons, each with one random node, until it has reached the rest. Each node pushes
// a change that is new to it once, to four random nodes.
func BenchmarkRounds(b *testing.B) {
	const fanOut = 4
	for _, n := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var pushes, compares, reached, runs float64
			for b.Loop() {
				p, c, r := spread(n, fanOut)
				pushes += float64(p)
				compares += float64(c)
				reached += float64(r) / float64(n)
				runs++
			}
			b.ReportMetric(pushes/runs, "pushRounds")
			b.ReportMetric(100*reached/runs, "%pushed")
			b.ReportMetric(compares/runs, "compareRounds")
		})
	}
}

// spread simulates the spreading of one change from one node.
func spread(n, fanOut int) (pushRounds, compareRounds, pushed int) {
	has := make([]bool, n)
	has[0] = true
	fresh := []int{0}
	count := 1
	for ; len(fresh) > 0; pushRounds++ {
		var next []int
		for range fresh {
			for range fanOut {
				if i := rand.IntN(n); !has[i] {
					has[i] = true
					count++
					next = append(next, i)
				}
			}
		}
		fresh = next
	}
	pushed = count
	for ; count < n; compareRounds++ {
		for i := range n {
			j := rand.IntN(n)
			if has[i] != has[j] {
				has[i], has[j] = true, true
				count++
			}
		}
	}
	return pushRounds, compareRounds, pushed
}
