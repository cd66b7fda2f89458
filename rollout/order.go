// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"time"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// The bounds of an Order's duration.
const (
	minDuration = time.Second
	maxDuration = 24 * time.Hour
)

// Order is an operator's wish to move a service's requests to another version of its
// upstreams. It is an immutable value.
type Order struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Version is the version of the upstreams that is to take over.
	Version string `json:"version"`
	// Duration is the time in which it is to be judged.
	Duration time.Duration `json:"duration"`
	// At is the Point of the platform at which the order was found first.
	At objectapi.Point `json:"at"`
}

// Check returns the faults of o.
func (o Order) Check() operator.Faults {
	f := operator.CheckName(o.Service)
	for i := range f {
		f[i].Field = "service"
	}
	if o.Version == "" {
		f = append(f, operator.Fault{
			Field:   "version",
			Message: "no version is named",
		})
	}
	if o.Duration < minDuration || o.Duration > maxDuration {
		f = append(f, operator.Fault{
			Field:   "duration",
			Message: o.Duration.String() + " is not within " + minDuration.String() + " and " + maxDuration.String(),
		})
	}
	return f
}

// Same returns whether both ask for the same, whenever they were found.
func (o Order) Same(p Order) bool {
	return o.Service == p.Service && o.Version == p.Version && o.Duration == p.Duration
}
