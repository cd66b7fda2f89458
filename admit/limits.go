// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

// Class is a class of requests that share an upstream with others.
type Class struct {
	// Name identifies the class.
	Name string
	// Weight is the share of the slots that the class gets, relative to the
	// other classes, when requests of several classes wait. It is positive.
	Weight float64
	// MaxShare is the largest fraction of the slots that the class may hold, in (0, 1]. A class
	// may always hold one slot.
	MaxShare float64
	// Priority orders the classes for load shedding. If the queue is full, a waiting request
	// of the lowest priority is refused in favour of one of a higher priority.
	Priority int
	// MaxWait is the longest time that a request of the class waits. Zero means the time of
	// Objective that the expected run leaves or, without an objective, Limits.QueueWait.
	MaxWait time.Duration
	// Objective is the latency up to which a response is of full value, or 0.
	Objective time.Duration
}

// Limits configures a Gate. It is an immutable value.
type Limits struct {
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// QueueLength is the largest number of waiting requests. Zero means that no request waits.
	QueueLength int
	// QueueWait is the longest time that a request waits.
	QueueWait time.Duration
	// SlowStart is the time over which a cold upstream is brought from a
	// quarter of its slots to all of them. Zero means at once.
	SlowStart time.Duration
	// Adaptive is whether the number of running requests is reduced when the upstream slows
	// down.
	Adaptive bool
	// HoldWhileSlow is whether a request waits for the end of a slow period of the upstream if
	// it is expected to complete earlier that way.
	HoldWhileSlow bool
	// Classes are the known classes. A request of an unknown class counts as
	// one of the first class. No classes means one class for all requests.
	Classes []Class
	// Weight, if not nil, returns the weight of an organisation when requests of several wait.
	// It is positive.
	Weight func(organisation string) float64
}

// WithSlots returns a copy of l with the given number of slots.
func (l Limits) WithSlots(n int) Limits {
	l.Slots = n
	return l
}

// WithClasses returns a copy of l with the given classes.
func (l Limits) WithClasses(classes ...Class) Limits {
	l.Classes = append([]Class(nil), classes...)
	return l
}

// defaultClass is used if Limits has no classes.
var defaultClass = Class{
	Name:     "default",
	Weight:   1,
	MaxShare: 1,
}
