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

// fingerprintOf returns the fingerprint of a request with the given number.
func fingerprintOf(i int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("caller", "GET", "h.example", fmt.Sprint("/", i)).WithBody(nil)
}

// crashReport returns the report that an upstream crashed with the request in flight.
func crashReport(start string, i int) quarantine.Report {
	return quarantine.NewCrashReport(start, []quarantine.Fingerprint{fingerprintOf(i)}, quarantine.Fingerprint{})
}

// TestReportsReachAll has nodes report crashes of upstreams, one after another. All nodes must
// learn of each, including one that starts later. A completed request clears it on all nodes.
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
				n.init() // sets the field
				if n.Quarantine.Assess(fingerprintOf(1)).State != s {
					return false
				}
			}
			return true
		}
	}
	c.nodes[0].Report(crashReport("a", 1))
	c.eventually("all nodes know of one crash", allInState(quarantine.SeenAtCrash))
	c.nodes[5].Report(crashReport("b", 1))
	c.eventually("all nodes know of two crashes", allInState(quarantine.Isolated))
	c.add("late", "z0", c.nodes[0].Self.Addr)
	c.eventually("so does a node that starts late", allInState(quarantine.Isolated))
	c.nodes[3].Report(quarantine.NewCompletionReport(fingerprintOf(1)))
	c.eventually("all nodes know that the request completed", allInState(quarantine.Unsuspected))
}

// knows returns whether a node knows at least the given number of live nodes.
func knows(n *testNode, live int) (all bool) {
	n.init() // do must not be called on an uninitialised state
	n.do(func() { all = n.live >= live })
	return all
}

// TestReportsAreBounded sends a node more reports than it may keep, and some invalid ones. It must
// keep only the newest valid ones.
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
	qt.Check(t, c.Quarantine.Assess(fingerprintOf(0)).State, qt.Equals, quarantine.Unsuspected, qt.Commentf("an old report is not accepted again"))
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
