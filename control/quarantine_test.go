// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/quarantine"
)

// printOf returns the fingerprint of a request with the given number.
func fingerprintOf(i int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("caller", "GET", "h.example", fmt.Sprint("/", i)).WithBody(nil)
}

// endOf returns the report that an upstream has ended with a request at hand.
func crashReport(start string, i int) quarantine.Report {
	return quarantine.NewCrashReport(start, []quarantine.Fingerprint{fingerprintOf(i)}, quarantine.Fingerprint{})
}

// TestReportsReachAll has nodes report ends of upstreams, one after the other: all nodes
// know of each, and so does one that starts later. A run clears the request everywhere.
func TestReportsReachAll(t *testing.T) {
	c := newCluster(t)
	c.grow(9)
	c.eventually("all know each other", func() bool {
		for _, n := range c.nodes {
			if !knows(n, 9) {
				return false
			}
		}
		return true
	})
	allInState := func(s quarantine.State) func() bool {
		return func() bool {
			for _, n := range c.nodes {
				n.init() // which sets the field
				if n.Quarantine.Assess(fingerprintOf(1)).State != s {
					return false
				}
			}
			return true
		}
	}
	c.nodes[0].Report(crashReport("a", 1))
	c.eventually("all have seen one end", allInState(quarantine.SeenAtCrash))
	c.nodes[5].Report(crashReport("b", 1))
	c.eventually("all have seen two", allInState(quarantine.Isolated))
	c.add("late", "z0", c.nodes[0].Self.Addr)
	c.eventually("so has one that starts late", allInState(quarantine.Isolated))
	c.nodes[3].Report(quarantine.NewCompletionReport(fingerprintOf(1)))
	c.eventually("all know that it ran", allInState(quarantine.Unsuspected))
}

// knows returns whether a node knows the given number of live nodes.
func knows(n *testNode, live int) (all bool) {
	n.init() // before Run there is nothing that do could hand its work to
	n.do(func() { all = n.live >= live })
	return all
}

// TestReportsAreBounded gives a node more reports than it keeps, and some that can't be
// used: it keeps the newest, and does not grow.
func TestReportsAreBounded(t *testing.T) {
	c := sized(60)
	first := crashReport("first", 0)
	first.At -= time.Minute.Milliseconds()
	c.reports.Put(first)
	for i := range 2 * quarantine.MaxReports {
		r := crashReport(fmt.Sprint(i), i)
		r.At += int64(i)
		c.reports.Put(r)
	}
	qt.Check(t, c.reports.Set.Len(), qt.Equals, quarantine.MaxReports)
	c.reports.Put(first)
	qt.Check(t, c.reports.Set.Len(), qt.Equals, quarantine.MaxReports)
	qt.Check(t, c.Quarantine.Assess(fingerprintOf(0)).State, qt.Equals, quarantine.Unsuspected, qt.Commentf("an old report does not come back"))
	qt.Check(t, c.Quarantine.Assess(fingerprintOf(2*quarantine.MaxReports-1)).State, qt.Equals, quarantine.SeenAtCrash)

	before := c.reports.Set.RootHash()
	future := crashReport("future", 1)
	future.At += time.Hour.Milliseconds()
	past := crashReport("past", 1)
	past.At -= 2 * quarantine.ReportLifetime.Milliseconds()
	for _, r := range []quarantine.Report{{}, future, past} {
		c.reports.Put(r)
	}
	qt.Check(t, c.reports.Set.RootHash(), qt.Equals, before)
	c.expireReports(time.Now().Add(quarantine.ReportLifetime + time.Minute))
	qt.Check(t, c.reports.Set.Len(), qt.Equals, 0)
	qt.Check(t, c.Quarantine.All(), qt.HasLen, 0)
}
