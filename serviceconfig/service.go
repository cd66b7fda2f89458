// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package serviceconfig

import (
	"time"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/settings"
)

const (
	// budgetSafety is the part of the budget for repeated sendings that is used:
	// calls that a repeated request makes count as repeated too, and the nodes'
	// counts of each other differ for a while.
	budgetSafety = 0.6
	// hedgePart is the part of that which may be spent on requests that are slow rather
	// than failed, and retryReserve the part that is kept for the failed ones of the
	// most urgent class.
	hedgeFraction = 0.5
	retryReserve  = 0.5
	// mostTries bounds the sendings of a request. Refusals by gates reach no
	// upstream, and each costs one exchange between nodes.
	maxAttempts = 5
	// zoneCost is what routing gives to another availability zone. It is several
	// times the delay between zones, as the bytes are paid for, and far less than a run
	// at an upstream that is slowed down.
	zoneCost = 12 * time.Millisecond
	// crossing is what sending to another availability zone costs besides, in usual
	// service times: bytes between zones are paid for. An upstream in the zone is passed
	// over that is slowed down by a half or more, or nearly full, and no other.
	zoneCrossingCost = 0.5
	// servicePart is the part of the least latency objective that a request is
	// expected to take before any has ended. Operators set objectives at two to
	// five times the usual service time.
	serviceTimeFraction = 0.25
	// queueWait is how long requests of routes without an objective wait, queueLength
	// the most requests that wait.
	queueWait   = 60 * time.Millisecond
	queueLength = 16
	// slotShare is the part of an upstream's slots that is used. Runs at an upstream
	// that is nearly full take so much longer that more of them end with fewer at once.
	slotShare = 0.8
	// priorityWeight is how many times the slots of the next lower priority a
	// priority gets while requests of both wait.
	priorityWeight = 4.0
)

// Service returns what holds for a service of a table of routes at a node with the given
// settings, where there are so many live nodes.
func FromTable(t *routes.Table, service string, nodes int, s settings.Settings) operator.Service {
	adaptive := false
	o := operator.Service{
		Classes:     classes(t, service),
		Policy:      "fastest",
		ZoneCost:    operator.Duration(zoneCost),
		Crossing:    zoneCrossingCost,
		ServiceTime: operator.Duration(expectedServiceTime(t, service)),
		Queue: operator.Queue{
			Length:    queueLength,
			SlotShare: slotShare,
			Wait:      operator.Duration(queueWait),
			Hold:      true,
			Adaptive:  &adaptive,
		},
		Cold: coldLimits(t, service, s),
		Retry: operator.Retry{
			MaxTries: maxAttempts,
			OnError:  true,
			Window:   operator.Duration(s.RetryWindow),
			Share:    budgetSafety * s.RetryRatio,
			Burst:    budgetSafety * s.RetrySlack / float64(nodes),
			Reserve:  retryReserve,
		},
		Hedge: operator.Hedge{
			Part: hedgeFraction,
		},
	}
	return o.WithDefaults()
}
