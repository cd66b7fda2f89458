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
	// coldReserve is the number of requests by which the last check before an upstream
	// stays below the bound in any second: this one's clock and the upstream's tell a second
	// apart by some milliseconds.
	coldReserve = 1
	// coldHeldPart is the part of the slack that admission leaves to requests which are held
	// up before they are sent, and may come in the next second with that one's. The last
	// look before an upstream keeps the bound in any case: more is left to it at the cost
	// of requests that are refused after they were admitted.
	coldDelayedFraction = 0.25
)

// coldOf returns the bounds on requests to cold upstreams of a service.
func coldLimits(t *routes.Table, service string, s settings.Settings) operator.Cold {
	c, ok := t.Service(service)
	if !ok || c.ColdPerSecond == 0 {
		return operator.Cold{}
	}
	rate := s.ColdRatio * c.ColdPerSecond
	limit := max(1, int(rate+s.ColdSlack)-coldReserve)
	return operator.Cold{
		Pace:  max(1, min(limit, int(rate+(1-coldDelayedFraction)*s.ColdSlack))),
		Most:  limit,
		Lasts: operator.Duration(c.ColdStart),
	}
}
