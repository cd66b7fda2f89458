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
	// budgetSafety is the fraction of the retry budget that is used: calls that a
	// retried request makes count as retries too, and the nodes' counts of each
	// other differ for a while.
	budgetSafety = 0.6
	// hedgeFraction is the fraction of that budget that may be used for slow requests
	// rather than failed ones, and retryReserve the fraction reserved for failed
	// requests of the most urgent class.
	hedgeFraction = 0.5
	retryReserve  = 0.5
	// maxAttempts bounds how many times a request is sent. Refusals by gates do not
	// reach an upstream, and each costs one exchange between nodes.
	maxAttempts = 5
	// zoneCost is the cost of routing to another availability zone. It is several
	// times the delay between zones, as traffic between them is paid for, and far
	// less than a run at an upstream that is slowed down.
	zoneCost = 12 * time.Millisecond
	// zoneCrossingCost is the additional cost of sending to another availability zone, in
	// mean service times, as traffic between zones is paid for. An upstream in the zone is
	// avoided only if it is slowed down by a half or more, or is nearly full.
	zoneCrossingCost = 0.5
	// serviceTimeFraction is the fraction of the shortest latency objective that a
	// request is expected to take before any has ended. Operators set objectives at
	// two to five times the usual service time.
	serviceTimeFraction = 0.25
	// queueWait is how long requests of routes without an objective wait, and queueLength
	// the largest number of requests that wait.
	queueWait   = 60 * time.Millisecond
	queueLength = 16
	// slotFraction is the fraction of an upstream's slots that is used. Requests at an upstream
	// that is nearly full take so much longer that fewer end per second.
	slotFraction = 0.8
	// priorityWeight is the factor by which a priority gets more slots than the
	// next lower one while requests of both wait.
	priorityWeight = 4.0
)

// FromTable returns the configuration of a service in a table of routes, at a node with the
// given settings and number of live nodes.
func FromTable(t *routes.Table, service string, nodes int, s settings.Settings) operator.Service {
	adaptive := false
	o := operator.Service{
		Classes:          classes(t, service),
		Policy:           "fastest",
		ZoneCost:         operator.Duration(zoneCost),
		ZoneCrossingCost: zoneCrossingCost,
		ServiceTime:      operator.Duration(expectedServiceTime(t, service)),
		Queue: operator.Queue{
			MaxLength:     queueLength,
			SlotFraction:  slotFraction,
			MaxWait:       operator.Duration(queueWait),
			HoldWhileSlow: true,
			Adaptive:      &adaptive,
		},
		Cold: coldLimits(t, service, s),
		Retry: operator.Retry{
			MaxAttempts:      maxAttempts,
			OnError:          true,
			Window:           operator.Duration(s.RetryWindow),
			Ratio:            budgetSafety * s.RetryRatio,
			Burst:            budgetSafety * s.RetrySlack / float64(nodes),
			ReservedFraction: retryReserve,
		},
		Hedge: operator.Hedge{
			BudgetFraction: hedgeFraction,
		},
	}
	return o.WithDefaults()
}
