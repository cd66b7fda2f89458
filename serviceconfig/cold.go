// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package serviceconfig

import (
	"sassafrasfront.example/operator"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/settings"
)

const (
	// coldReserve is the number of requests by which the final check before an upstream stays
	// below the limit in any second, as the clocks of this node and the upstream may measure a
	// second differently by some milliseconds.
	coldReserve = 1
	// coldDelayedFraction is the fraction of the slack that admission leaves to requests which
	// are delayed before they are sent, and may arrive in the next second with that second's
	// requests. The final check before an upstream enforces the limit in any case. If more is
	// left to it, more requests are refused after they were admitted.
	coldDelayedFraction = 0.25
)

// coldLimits returns the limits on requests to cold upstreams of a service.
func coldLimits(t *routes.Table, service string, s settings.Settings) operator.Cold {
	c, ok := t.Service(service)
	if !ok || c.ColdPerSecond == 0 {
		return operator.Cold{}
	}
	rate := s.ColdRatio * c.ColdPerSecond
	limit := max(1, int(rate+s.ColdSlack)-coldReserve)
	return operator.Cold{
		MaxAdmittedPerSecond: max(1, min(limit, int(rate+(1-coldDelayedFraction)*s.ColdSlack))),
		MaxSentPerSecond:     limit,
		AssumedDuration:      operator.Duration(c.ColdStart),
	}
}
