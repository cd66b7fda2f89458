// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Service is an operator's intent for one service. It is an immutable value.
type Service struct {
	// Hosts are the host names that callers use for the service, without
	// ports.
	Hosts []string `json:"hosts"`
	// Classes are the classes of requests that share the service's upstreams.
	// The first one also has the requests that match no class.
	Classes []Class `json:"classes,omitempty"`
	// Queue configures the queue at an upstream.
	Queue Queue `json:"queue"`
	// Cold bounds the requests to cold upstreams. It is set only if the configuration
	// is a table of routes.
	Cold Cold `json:"cold,omitzero"`
	// Timeout is the timeout of a request whose caller sets none, and the
	// largest that a caller may set.
	Timeout Duration `json:"timeout"`
	// MaxBodyBytes is the largest size of a request body.
	MaxBodyBytes int64 `json:"maxBody"`
	// Retry bounds the retries after failures.
	Retry Retry `json:"retry"`
	// Hedge bounds the hedging of slow idempotent requests.
	Hedge Hedge `json:"hedge"`
	// Resend configures how requests that a caller sends again under the same
	// idempotency key are handled.
	Resend Resend `json:"resend"`
	// Policy is the routing policy.
	Policy string `json:"policy"`
	// ServiceTime is the expected service time until a request has completed.
	// Zero means that nothing is known in advance.
	ServiceTime Duration `json:"serviceTime,omitempty"`
	// ZoneCost is the routing cost of another availability zone.
	ZoneCost Duration `json:"zoneCost"`
	// ZoneCrossingCost is a further routing cost of another availability zone or region,
	// in mean service times.
	ZoneCrossingCost float64 `json:"crossing,omitempty"`
	// RegionCost is the routing cost of another region.
	RegionCost Duration `json:"regionCost"`
}

// Class is a class of requests.
type Class struct {
	// Name identifies the class.
	Name string `json:"name"`
	// Weight is its weight in the division of the slots among the classes.
	Weight float64 `json:"weight"`
	// MaxShare is the largest share of the slots that it may hold.
	MaxShare float64 `json:"maxShare"`
	// Priority orders the classes for shedding; the lowest is shed first.
	Priority int `json:"priority"`
	// MaxWait is the longest time that its requests wait. Zero means Objective less
	// the service time or, without an Objective, the MaxWait of the queue.
	MaxWait Duration `json:"wait,omitempty"`
	// Objective is the latency up to which a response has its full value. Zero
	// means that there is none.
	Objective Duration `json:"objective,omitempty"`
	// Header and Value select the requests of the class: those that have the
	// header field with that value. An empty Value matches any value.
	Header string `json:"header,omitempty"`
	Value  string `json:"value,omitempty"`
	// Hosts select requests by host. They are among the service's hosts.
	Hosts []string `json:"hosts,omitempty"`
}

// Queue configures the queue at an upstream.
type Queue struct {
	// MaxLength is the largest number of waiting requests.
	MaxLength int `json:"length"`
	// MaxWait is the longest time that a request waits.
	MaxWait Duration `json:"wait"`
	// SlowStart is the time over which a cold upstream is given its full load.
	SlowStart Duration `json:"slowStart"`
	// SlotFraction is the fraction of an upstream's slots that is used, in (0, 1]. Zero
	// means all. Upstreams that are nearly full run each request more slowly.
	SlotFraction float64 `json:"slotShare,omitempty"`
	// HoldWhileSlow is whether requests wait until an upstream that has just slowed down has
	// recovered, if they are expected to complete sooner that way.
	HoldWhileSlow bool `json:"hold,omitempty"`
	// Adaptive is whether an upstream that slows down is sent fewer concurrent
	// requests.
	Adaptive *bool `json:"adaptive,omitempty"`
}

// Cold bounds the requests to an upstream that reports that it is cold. Zero fields set
// no bound.
type Cold struct {
	// MaxAdmittedPerSecond bounds the requests that are admitted in any second, and
	// MaxSentPerSecond those that are sent. More may be sent in a second than were admitted
	// in it, if some were delayed in between.
	MaxAdmittedPerSecond int `json:"pace,omitempty"`
	MaxSentPerSecond     int `json:"most,omitempty"`
	// AssumedDuration is how long an upstream that has just started is assumed to be cold
	// until it reports so itself.
	AssumedDuration Duration `json:"lasts,omitempty"`
}

// Retry bounds the retries after failures.
type Retry struct {
	// MaxAttempts is the largest number of attempts, including the first.
	MaxAttempts int `json:"maxTries"`
	// Ratio is the number of retries per request. Only retries that cost an upstream work count.
	Ratio float64 `json:"share"`
	// Burst is the number of such retries allowed beyond Ratio, in each Window.
	Burst float64 `json:"burst"`
	// ReservedFraction is the fraction of the budget that is reserved for the most urgent
	// class. The least urgent class may only spend the rest; the limits of the classes in
	// between lie between these two.
	ReservedFraction float64 `json:"reserve,omitempty"`
	// Window is the time over which Ratio and Burst apply, also those of Hedge.
	Window Duration `json:"window,omitempty"`
	// OnError is whether an idempotent request that failed with status 500 is retried at
	// another upstream, if the first one fails far more often than the others.
	OnError bool `json:"onError,omitempty"`
}

// Hedge bounds the hedging of slow idempotent requests.
type Hedge struct {
	// Ratio is the number of hedges per request. Zero means none.
	Ratio float64 `json:"share"`
	// Quantile is the quantile of the recent request times after which a
	// request counts as slow.
	Quantile float64 `json:"quantile"`
	// MinDelay is the shortest delay before a hedge.
	MinDelay Duration `json:"minDelay"`
	// Burst is the number of hedges allowed beyond Ratio, in each Window of Retry.
	Burst float64 `json:"burst,omitempty"`
	// BudgetFraction, if not 0, replaces Ratio and Burst: hedges draw on the retry budget
	// as long as no more than this fraction of it is spent.
	BudgetFraction float64 `json:"part,omitempty"`
}

// Resend configures how resent requests are handled.
type Resend struct {
	// Enabled is whether non-idempotent requests with an Idempotency-Key are
	// claimed on the platform before they run.
	Enabled bool `json:"enabled"`
	// WritesPerSecond is the rate at which each node may write claims.
	WritesPerSecond float64 `json:"writesPerSecond"`
	// Retention is how long a claim is kept.
	Retention Duration `json:"keep"`
}

// The defaults of a Service.
const (
	defaultTimeout         = 10 * time.Second
	defaultMaxBodyBytes    = 16 << 20
	defaultMaxWait         = 50 * time.Millisecond
	defaultQueueLength     = 64
	defaultAttempts        = 3
	defaultRetryRatio      = 0.1
	defaultRetryBurst      = 20
	defaultQuantile        = 0.95
	defaultMinDelay        = 5 * time.Millisecond
	defaultHedgeBurst      = 10
	defaultZoneCost        = 2 * time.Millisecond
	defaultRegionCost      = 40 * time.Millisecond
	defaultWritesPerSecond = 5
	defaultRetention       = 24 * time.Hour
	defaultPolicy          = "twoChoice"
)

// WithDefaults returns a copy of s in which unset fields have their defaults.
func (s Service) WithDefaults() Service {
	yes := true
	fill(&s.Timeout, Duration(defaultTimeout))
	fill(&s.MaxBodyBytes, defaultMaxBodyBytes)
	fill(&s.Queue.MaxWait, Duration(defaultMaxWait))
	fill(&s.Queue.MaxLength, defaultQueueLength)
	if s.Queue.Adaptive == nil {
		s.Queue.Adaptive = &yes
	}
	fill(&s.Retry.MaxAttempts, defaultAttempts)
	fill(&s.Retry.Ratio, defaultRetryRatio)
	fill(&s.Retry.Burst, defaultRetryBurst)
	fill(&s.Hedge.Quantile, defaultQuantile)
	fill(&s.Hedge.MinDelay, Duration(defaultMinDelay))
	fill(&s.Hedge.Burst, defaultHedgeBurst)
	fill(&s.Resend.WritesPerSecond, defaultWritesPerSecond)
	fill(&s.Resend.Retention, Duration(defaultRetention))
	fill(&s.Policy, defaultPolicy)
	fill(&s.ZoneCost, Duration(defaultZoneCost))
	fill(&s.RegionCost, Duration(defaultRegionCost))
	classes := make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		fill(&c.Weight, 1)
		fill(&c.MaxShare, 1)
		classes[i] = c
	}
	if len(classes) == 0 {
		classes = []Class{{
			Name:     "default",
			Weight:   1,
			MaxShare: 1,
		}}
	}
	s.Classes = classes
	return s
}

// fill sets *p to d if it is zero.
func fill[T comparable](p *T, d T) {
	var zero T
	if *p == zero {
		*p = d
	}
}

// ParseService decodes a Service from JSON, fills in its defaults and checks it.
// Unknown fields are errors. If the Service could be decoded but is invalid, the
// error is of type FieldErrors.
func ParseService(data []byte) (Service, error) {
	var s Service
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, eris.Wrap(err, "spec")
	}
	if d.More() {
		return s, eris.New("spec: more than one value")
	}
	s = s.WithDefaults()
	if errs := s.Check(); len(errs) > 0 {
		return s, errs
	}
	return s, nil
}
