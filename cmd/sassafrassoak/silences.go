// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"math/rand/v2"
	"time"
)

const (
	// faultConnsSilent makes the open connections to a node silent for good, while new ones work.
	faultConnsSilent = "connsSilent"
	// faultStoreConnsSilent does so with the connections to the store.
	faultStoreConnsSilent = "storeConnsSilent"
)

// drawSilences returns series of silent connections of a seed, with changes of the configuration right behind them, from a
// random stream of their own.
func drawSilences(seed uint64, duration time.Duration, nodes int) []fault {
	random := rand.New(rand.NewPCG(seed, 5))
	var list []fault
	for range 2 + random.IntN(3) {
		at := time.Duration(random.Int64N(int64(duration * 8 / 10)))
		silenced := 1 + random.IntN(nodes)
		for _, node := range random.Perm(nodes)[:silenced] {
			list = append(list, fault{
				name:  faultConnsSilent,
				start: at + time.Duration(random.Int64N(int64(50*time.Millisecond))),
				node:  node,
			})
		}
		if random.IntN(2) == 0 {
			list = append(list, fault{
				name:  faultStoreConnsSilent,
				start: at,
			})
		}
		list = append(list, fault{
			name:    "configure",
			start:   at + time.Duration(random.Int64N(int64(500*time.Millisecond))),
			planned: true,
		})
	}
	return list
}
