// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

// Class is a kind of request that shares an upstream with others.
type Class struct {
	// Name identifies the class.
	Name string
	// Weight is the part of the slots that the class gets, relative to the
	// other classes, when requests of several classes wait. It is positive.
	Weight float64
	// Share is the largest part of the slots that the class may hold, in
	// (0, 1]. A class may always hold one slot.
	MaxShare float64
	// Priority orders the classes for shedding. When the queue is full, a
	// waiting request of the lowest priority gives way to one of a higher.
	Priority int
	// Wait is the longest time that a request of the class waits. Zero means what
	// Objective leaves beside the run or, without one, that Limits says so.
	MaxWait time.Duration
	// Objective is the latency within which an answer is of full value, or 0.
	Objective time.Duration
}

// Limits is what a Gate keeps to. It is an immutable value.
type Limits struct {
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// QueueLength is the largest number of waiting requests. Zero means that
	// nothing waits.
	QueueLength int
	// QueueWait is the longest time that a request waits.
	QueueWait time.Duration
	// SlowStart is the time over which a cold upstream is brought from a
	// quarter of its slots to all of them. Zero means at once.
	SlowStart time.Duration
	// Adaptive is whether the number of running requests is lowered when the
	// upstream slows down.
	Adaptive bool
	// Hold is whether a request waits for the end of a slow spell of the upstream
	// if it is expected to end sooner for that.
	HoldWhileSlow bool
	// Classes are the known classes. A request of an unknown class counts as
	// one of the first class. No classes means one class for all requests.
	Classes []Class
	// Weight, if not nil, returns the part of the slots that an organisation gets, relative
	// to the others, when requests of several wait. It is positive.
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

// defaultClass is used if Limits names no classes.
var defaultClass = Class{
	Name:     "default",
	Weight:   1,
	MaxShare: 1,
}
