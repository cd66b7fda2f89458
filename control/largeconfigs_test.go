// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/acceptance"
)

// TestLargeConfigurationsReachAll guards against messages with so many large records that they are no frame: they
// were not sent, and their receivers were considered lost.
func TestLargeConfigurationsReachAll(t *testing.T) {
	const count, size = 24, 200 << 10
	record := func(i int) acceptance.Config {
		return acceptance.Config{
			Name:     fmt.Sprint("service-", i),
			Sequence: 1,
			Spec:     []byte(fmt.Sprintf(`{"hosts":["%s"]}`, strings.Repeat("x", size))),
		}
	}
	has := func(n *testNode) (all bool) {
		n.init()
		n.do(func() { all = n.configs.Set.Len() == count })
		return all
	}
	c := newCluster(t)
	first := c.add("a", "z")
	second := c.add("b", "z", first.Self.Addr)
	c.eventually("they have met", func() bool { return first.liveNodes() == 2 && second.liveNodes() == 2 })
	first.do(func() {
		for i := range count {
			first.configs.Put(record(i))
		}
	})
	c.eventually("a running node has them", func() bool { return has(second) })
	third := c.add("c", "z", first.Self.Addr)
	c.eventually("a node that starts has them", func() bool { return has(third) })
	qt.Check(t, first.liveNodes() >= 2, qt.IsTrue)
}
