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

// Step is one decision on a request, or what came of one.
type Step struct {
	// After is the time since the request was taken up.
	After time.Duration
	// Event says what it was.
	Event Event
	// Node is the node that it concerns, or empty.
	Node string
	// Candidate is what the node was chosen by, and Age the age of the report that
	// it rests on, negative if there was none. They are set for EventSent.
	Candidate route.Candidate
	Age       time.Duration
	// Trial is whether that node's upstream is of a version on trial. It is set for EventSent.
	Canary bool
	// Cause is why a sending failed, and Reason what stands behind that, or nil. They are
	// set for EventFailed.
	Cause verdict.Cause
	Err   error
}

// The events that are steps of a request only.
const (
	EventSent   Event = "sent"
	EventFailed Event = "failed"
	// EventSilent is that nothing has been heard for long from a node that has the request.
	EventSilent Event = "silent"
	// EventAside is an error answer that is kept back while another upstream is
	// asked.
	EventAnswerHeld Event = "answer set aside"
)

// Sendings returns how many of some steps are sendings of the request.
func CountAttempts(steps []Step) (n int) {
	for _, s := range steps {
		if s.Event == EventSent {
			n++
		}
	}
	return n
}

// maxSteps bounds the steps that are kept of a request.
const maxSteps = 24

// note keeps a step.
func (o *operation) recordStep(s Step) {
	if len(o.request.Steps) < maxSteps {
		s.After = time.Since(o.startedAt)
		o.request.Steps = append(o.request.Steps, s)
	}
}

// unanswered returns what is known of the sending that was begun first, when the request's time is
// over.
func (o *operation) openAttemptsError() error {
	if len(o.open) == 0 {
		return nil
	}
	a := o.open[0]
	return fmt.Errorf("%d sendings open, the first for %v, its node heard %v ago",
		len(o.open), time.Since(a.startedAt).Round(time.Millisecond), a.exchange.Heard().Round(time.Millisecond))
}

// did keeps a step that the Dispatcher's owner is told of as well.
func (o *operation) recordEvent(e Event) {
	o.dispatcher.emit(o.service.Name, e)
	o.recordStep(Step{Event: e})
}
