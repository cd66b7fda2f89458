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
	// Classes are the kinds of requests that share the service's upstreams.
	// The first one takes the requests that match none.
	Classes []Class `json:"classes,omitempty"`
	// Queue says how requests wait at an upstream.
	Queue Queue `json:"queue"`
	// Cold bounds the requests to cold upstreams. It is set where the configuration is a
	// table of routes.
	Cold Cold `json:"cold,omitzero"`
	// Timeout is the deadline of a request whose caller sets none, and the
	// largest that a caller may set.
	Timeout Duration `json:"timeout"`
	// MaxBody is the largest body of a request, in bytes.
	MaxBodyBytes int64 `json:"maxBody"`
	// Retry bounds the second sendings after failures.
	Retry Retry `json:"retry"`
	// Hedge bounds the second sendings of slow idempotent requests.
	Hedge Hedge `json:"hedge"`
	// Resend is the rule for requests that a caller sends again under the same
	// idempotency key.
	Resend Resend `json:"resend"`
	// Policy is the routing policy.
	Policy string `json:"policy"`
	// ServiceTime is what a request is expected to take until the first one has
	// been seen to end. Zero means that nothing is expected.
	ServiceTime Duration `json:"serviceTime,omitempty"`
	// ZoneCost is the cost that routing gives to another availability zone.
	ZoneCost Duration `json:"zoneCost"`
	// Crossing is what sending to another availability zone or region costs besides,
	// in usual service times.
	ZoneCrossingCost float64 `json:"crossing,omitempty"`
	// RegionCost is the cost that routing gives to another region.
	RegionCost Duration `json:"regionCost"`
}

// Class is a kind of request.
type Class struct {
	// Name identifies the class.
	Name string `json:"name"`
	// Weight is its part of the slots relative to the other classes.
	Weight float64 `json:"weight"`
	// MaxShare is the largest part of the slots that it may hold.
	MaxShare float64 `json:"maxShare"`
	// Priority orders the classes for shedding; the lowest goes first.
	Priority int `json:"priority"`
	// Wait is the longest time that its requests wait. Zero means what Objective
	// leaves beside their run or, without one, the queue's.
	MaxWait Duration `json:"wait,omitempty"`
	// Objective is the latency within which an answer is of full value. Zero means
	// that there is none.
	Objective Duration `json:"objective,omitempty"`
	// Header and Value select the requests of the class: those that have the
	// header with that value. An empty Value stands for any.
	Header string `json:"header,omitempty"`
	Value  string `json:"value,omitempty"`
	// Hosts select requests by host. They are among the service's hosts.
	Hosts []string `json:"hosts,omitempty"`
}

// Queue says how requests wait at an upstream.
type Queue struct {
	// Length is the largest number of waiting requests.
	MaxLength int `json:"length"`
	// Wait is the longest time that a request waits.
	MaxWait Duration `json:"wait"`
	// SlowStart is the time over which a cold upstream gets its full load.
	SlowStart Duration `json:"slowStart"`
	// SlotShare is the part of an upstream's slots that is used, in (0, 1]. Zero
	// means all. Upstreams that are nearly full run each request more slowly.
	SlotFraction float64 `json:"slotShare,omitempty"`
	// Hold is whether requests wait for an upstream that has just slowed down to be
	// quick again, if they are expected to end sooner for that.
	HoldWhileSlow bool `json:"hold,omitempty"`
	// Adaptive is whether an upstream that slows down is given fewer requests
	// at once.
	Adaptive *bool `json:"adaptive,omitempty"`
}

// Cold bounds the requests to an upstream that says that it is cold. Zero fields bound
// nothing.
type Cold struct {
	// Pace is the number of requests that are admitted in any second, and Most the number
	// that are sent, which comes to more where some were held up between the two.
	MaxAdmittedPerSecond int `json:"pace,omitempty"`
	MaxSentPerSecond     int `json:"most,omitempty"`
	// Lasts is how long an upstream that has just started is taken to be cold before it
	// says so itself.
	AssumedDuration Duration `json:"lasts,omitempty"`
}

// Retry bounds second sendings after failures.
type Retry struct {
	// MaxTries is the largest number of sendings, the first included.
	MaxAttempts int `json:"maxTries"`
	// Share is the number of retries per request that cost an upstream work.
	Ratio float64 `json:"share"`
	// Burst is the number of such retries beyond that, in each Window.
	Burst float64 `json:"burst"`
	// Reserve is the part of the budget that is kept for the most urgent class. The
	// least urgent one may spend the rest, and those between them a part between.
	ReservedFraction float64 `json:"reserve,omitempty"`
	// Window is the time over which Share and Burst hold, for hedges as well.
	Window Duration `json:"window,omitempty"`
	// OnError is whether an idempotent request that an upstream answers with status
	// 500 is sent to another, if that upstream fails far more than the others.
	OnError bool `json:"onError,omitempty"`
}

// Hedge bounds second sendings of slow idempotent requests.
type Hedge struct {
	// Share is the number of hedges per request. Zero means none.
	Ratio float64 `json:"share"`
	// Quantile is the quantile of the latest request times after which a
	// request counts as slow.
	Quantile float64 `json:"quantile"`
	// MinDelay is the least time before a hedge.
	MinDelay Duration `json:"minDelay"`
	// Burst is the number of hedges beyond that, in each window of the retries.
	Burst float64 `json:"burst,omitempty"`
	// Part, if not 0, has hedges draw on the budget of the retries, as long as no more
	// than this part of it is spent, in place of Share and Burst.
	BudgetFraction float64 `json:"part,omitempty"`
}

// Resend is the rule for resent requests.
type Resend struct {
	// Enabled is whether non-idempotent requests with an Idempotency-Key are
	// claimed on the platform before they run.
	Enabled bool `json:"enabled"`
	// WritesPerSecond is each node's budget of claims.
	WritesPerSecond float64 `json:"writesPerSecond"`
	// Keep is how long a claim is kept.
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

// WithDefaults returns a copy of s with its unset fields filled in.
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

// ParseService reads a Service from JSON, fills in its defaults and checks it.
// An unknown field is an error. The faults of a Service that could be read are
// returned as Faults.
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
	if f := s.Check(); len(f) > 0 {
		return s, f
	}
	return s, nil
}
