// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"time"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// Limits on the duration of an Order.
const (
	minDuration = time.Second
	maxDuration = 24 * time.Hour
)

// Order is an operator's request to shift a service's requests to another version of its upstreams.
// It is an immutable value.
type Order struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Version is the new version of the upstreams.
	Version string `json:"version"`
	// Duration is the time in which the version is to be judged.
	Duration time.Duration `json:"duration"`
	// ResourceVersion is the version at which the order was first read.
	ResourceVersion objectapi.ResourceVersion `json:"at"`
}

// Check returns the validation faults of o.
func (o Order) Check() operator.FieldErrors {
	f := operator.CheckName(o.Service)
	for i := range f {
		f[i].Field = "service"
	}
	if o.Version == "" {
		f = append(f, operator.FieldError{
			Field:   "version",
			Message: "no version is named",
		})
	}
	if o.Duration < minDuration || o.Duration > maxDuration {
		f = append(f, operator.FieldError{
			Field:   "duration",
			Message: o.Duration.String() + " is not between " + minDuration.String() + " and " + maxDuration.String(),
		})
	}
	return f
}

// Same returns whether both request the same roll-out, regardless of when they were read.
func (o Order) Same(p Order) bool {
	return o.Service == p.Service && o.Version == p.Version && o.Duration == p.Duration
}
