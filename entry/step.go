// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"fmt"
	"time"

	"sassafrasfront.example/route"
	"sassafrasfront.example/verdict"
)

// Step is a decision on a request, or the result of one.
type Step struct {
	// After is the time since the Dispatcher received the request.
	After time.Duration
	// Event is the kind of step.
	Event Event
	// Node is the id of the node concerned, or empty.
	Node string
	// Candidate is the load by which the node was picked, and Age is the age of the load report
	// that it is based on, or negative if there was none. They are set for EventSent.
	Candidate route.Candidate
	Age       time.Duration
	// Canary is whether the node's upstream is a canary. It is set for EventSent.
	Canary bool
	// Cause is the cause of a failed attempt, and Err is the underlying error, or nil. They
	// are set for EventFailed.
	Cause verdict.Cause
	Err   error
}

// The events that occur only as steps of a request.
const (
	EventSent   Event = "sent"
	EventFailed Event = "failed"
	// EventSilent means that nothing has been received for a long time from a node with an open
	// attempt.
	EventSilent Event = "silent"
	// EventResponseHeld means that an error response is held back while the request is sent to another
	// upstream.
	EventResponseHeld Event = "answer set aside"
)

// CountAttempts returns the number of attempts among some steps.
func CountAttempts(steps []Step) (n int) {
	for _, s := range steps {
		if s.Event == EventSent {
			n++
		}
	}
	return n
}

// maxSteps bounds the number of steps that are recorded for a request.
const maxSteps = 24

// recordStep records a step.
func (o *operation) recordStep(s Step) {
	if len(o.request.Steps) < maxSteps {
		s.After = time.Since(o.startedAt)
		o.request.Steps = append(o.request.Steps, s)
	}
}

// openAttemptsError returns an error that describes the attempts that are open when the request's
// deadline passes, or nil if there are none.
func (o *operation) openAttemptsError() error {
	if len(o.open) == 0 {
		return nil
	}
	a := o.open[0]
	return fmt.Errorf("%d attempts open, the first for %v, last data from its node %v ago",
		len(o.open), time.Since(a.startedAt).Round(time.Millisecond), a.exchange.SinceReceived().Round(time.Millisecond))
}

// recordEvent records a step and reports it through OnEvent.
func (o *operation) recordEvent(e Event) {
	o.dispatcher.emit(o.service.Name, e)
	o.recordStep(Step{Event: e})
}
