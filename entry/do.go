// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/retry"
	"sassafrasfront.example/verdict"
)

// minRemaining is the remaining time below which another attempt is useless.
const minRemaining = time.Millisecond

// Do sends the request until it is answered or given up on. The caller closes
// the result. The verdict of the failure covers all attempts together: it is
// NotRun only if none of them can have run.
func (d *Dispatcher) Do(ctx context.Context, r *Request) (*Result, *verdict.Error) {
	s := d.awaitService(ctx, r)
	if failure := d.stopError(); s == nil && failure != nil {
		return nil, finalError(failure)
	}
	if s == nil {
		// The caller has resolved the service already, so it exists.
		return nil, finalError(d.noUpstream())
	}
	if blocked := d.Quarantine.Assess(r.Fingerprint).Failure(); blocked != nil {
		return nil, finalError(blocked)
	}
	s.retryBudget.RecordRequestFor(r.Organisation)
	s.hedgeBudget.RecordRequest()
	o := &operation{
		dispatcher: d,
		service:    s,
		request:    r,
		ctx:        ctx,
		deadline:   time.NewTimer(time.Until(r.Deadline)),
		startedAt:  time.Now(),
		stopping:   d.stopping.done(),
	}
	defer o.deadline.Stop()
	result, failure := o.run()
	if failure != nil {
		return nil, o.finalError(failure)
	}
	return result, nil
}

// operation is the state of one request while it is being dispatched.
type operation struct {
	dispatcher *Dispatcher
	service    *service
	request    *Request
	ctx        context.Context
	deadline   *time.Timer
	startedAt  time.Time
	stopping   <-chan struct{} // nil once the stop has been handled

	tried           []string
	expectedWait    time.Duration   // the shortest wait expected by a gate that refused it, or 0
	refused         []string        // the nodes whose gates have refused the request
	open            []*attempt      // in the order of sending
	pending         *pendingAttempt // the attempt that is being started, or nil
	maybeReached    int             // failed attempts that may have reached an upstream
	firstMayHaveRun *verdict.Error  // the first failure after which the request may have run
	slowHandled     bool
	heldResponse    *attempt // answered with an error that is held back
}

// run sends the request as often as it may be sent, and returns the first response.
func (o *operation) run() (*Result, *verdict.Error) {
	defer o.cancelOpen()
	policy := retry.Policy{
		MaxAttempts:    o.service.Config.Retry.MaxAttempts,
		Budget:         o.service.retryBudget,
		BudgetFraction: o.service.retryShares[o.request.Class],

		Organisation: o.request.Organisation,
		MinRemaining: minRemaining,
	}
	for {
		o.beginAttempt("")
		var failure *verdict.Error
		for failure == nil {
			var a *attempt
			a, failure = o.awaitEvent(policy)
			switch {
			case a == nil:
			case o.retryOnError(a, policy):
				o.beginAttempt("")
			case o.othersOpen(a):
			default:
				return o.result(a), nil
			}
			if failure != nil && o.othersOpen(nil) {
				o.retryBesideSilent(failure, policy)
				failure = nil // the other attempt continues
			}
		}
		remaining := time.Until(o.request.Deadline)
		if o.ctx.Err() != nil || !o.mayRetry(failure) || !o.attemptsLeft() || !o.canResendBody() || !policy.ShouldRetry(failure, o.request.Idempotent, len(o.tried), remaining) {
			if o.heldResponse != nil {
				return o.result(o.heldResponse), nil
			}
			return nil, o.failure(failure)
		}
		o.recordEvent(EventRetry)
	}
}

// isRetryableError returns whether a response reports that the upstream failed an
// idempotent request that may be sent to another upstream.
func (o *operation) isRetryableError(a *attempt) bool {
	response, _ := a.exchange.Result()
	return response.Status == http.StatusInternalServerError && o.service.Config.Retry.OnError && o.request.Idempotent && o.request.Stream == nil && o.heldResponse == nil
}

// retryOnError returns whether an error response is held back and the request sent again. This is
// done only if the error rate of the upstream stands out. Where all upstreams fail alike, the
// cause lies elsewhere, and more requests would make it worse.
func (o *operation) retryOnError(a *attempt, policy retry.Policy) bool {
	if !o.isRetryableError(a) || o.othersOpen(nil) || !o.service.pool.IsOutlier(a.member.ID) {
		return false
	}
	o.maybeReached++
	if !o.attemptsLeft() || len(o.tried) >= policy.MaxAttempts || !policy.TakeFromBudget() {
		return false
	}
	o.holdResponse(a)
	o.recordEvent(EventRetry)
	return true
}

// othersOpen returns whether another attempt is still open. If so, it holds back the given error
// response, if there is one.
func (o *operation) othersOpen(a *attempt) bool {
	if len(o.open) == 0 && o.pending == nil || a != nil && !o.isRetryableError(a) {
		return false
	}
	if a != nil {
		o.maybeReached++
		o.holdResponse(a)
	}
	return true
}

// holdResponse holds an error response back, to be returned if no better one arrives.
func (o *operation) holdResponse(a *attempt) {
	o.heldResponse = a
	o.recordStep(Step{Event: EventResponseHeld, Node: a.member.ID})
}

// attemptsLeft returns whether the request may be sent to one more upstream.
// Attempts that are known to have reached no upstream do not count.
func (o *operation) attemptsLeft() bool {
	limit := o.request.MaxAttempts
	return limit == 0 || o.maybeReached+len(o.open)+o.pendingCount() < limit
}

// pendingCount returns the number of attempts that are being started.
func (o *operation) pendingCount() int {
	if o.pending != nil {
		return 1
	}
	return 0
}

// failure returns the failure to report. This is the last one, unless an earlier
// one left open whether the request ran and the last one does not.
func (o *operation) failure(last *verdict.Error) *verdict.Error {
	if last.Verdict() == verdict.NotRun && o.firstMayHaveRun != nil {
		return o.firstMayHaveRun
	}
	return last
}

// canResendBody returns whether the body can be sent again. A stream is read only
// once the peer has granted credit, and cannot be sent again after that. If it
// has not been read yet, canResendBody revokes the failed attempt's access to it.
func (o *operation) canResendBody() bool {
	s, ok := o.request.Stream.(*onceReader)
	return !ok || s.reassign()
}

// pendingAttempt is an attempt that is being started. Its node may have to be dialled, or may not
// be reading, while another attempt is answered or the request's deadline passes.
type pendingAttempt struct {
	event Event // reported once the request has been sent, if not empty
	done  chan struct{}

	// attempt, which may be nil, and failure are set before done is closed.
	attempt *attempt
	failure *verdict.Error
}

// beginAttempt starts another attempt in the background.
func (o *operation) beginAttempt(event Event) {
	p := &pendingAttempt{
		event: event,
		done:  make(chan struct{}),
	}
	o.pending = p
	tried, refused := slices.Clone(o.tried), slices.Clone(o.refused)
	go func() {
		defer close(p.done)
		p.attempt, p.failure = o.dispatcher.startAttempt(o.ctx, o.service, o.request, tried, refused)
	}()
}

// recordStarted records the attempt that was being started.
func (o *operation) recordStarted() *verdict.Error {
	p := o.pending
	o.pending = nil
	if a := p.attempt; a != nil {
		o.tried = append(o.tried, a.member.ID)
		candidate, age := a.assignment.Candidate()
		o.recordStep(Step{
			Event:     EventSent,
			Node:      a.member.ID,
			Candidate: candidate,
			Age:       age,
			Canary:    a.member.Canary,
		})
	}
	if p.failure != nil {
		if p.attempt != nil {
			o.recordFailure(p.attempt, p.failure)
		}
		return p.failure
	}
	o.open = append(o.open, p.attempt)
	if p.event != "" {
		o.recordEvent(p.event)
	}
	return nil
}

// awaitEvent waits for the next event. It returns an attempt that has been
// answered, or a failure, or neither if it has to be called again.
func (o *operation) awaitEvent(policy retry.Policy) (*attempt, *verdict.Error) {
	var ready, silent [2]<-chan struct{}
	var informational <-chan *peer.Informational
	for i, a := range o.open {
		ready[i], silent[i] = a.exchange.Ready(), a.silentChan()
	}
	if len(o.open) > 0 {
		informational = o.open[0].exchange.Informational()
	}
	var started <-chan struct{}
	if o.pending != nil {
		started = o.pending.done
	}
	slow, stop := o.hedgeTimer()
	defer stop()
	select {
	case <-ready[0]:
		return o.recordResult(0)
	case <-ready[1]:
		return o.recordResult(1)
	case <-started:
		return nil, o.recordStarted()
	case m := <-informational:
		if o.request.OnInformational != nil {
			o.request.OnInformational(m)
		}
	case <-slow:
		o.handleSlow()
	case <-silent[0]:
		o.handleSilence(0, policy)
	case <-silent[1]:
		o.handleSilence(1, policy)
	case <-o.stopping:
		o.revokeOpen()
	case <-o.deadline.C:
		return nil, o.abandon(verdict.New(verdict.TimedOut, o.openAttemptsError()))
	case <-o.ctx.Done():
		return nil, o.abandon(verdict.New(verdict.CallerGone, context.Cause(o.ctx)))
	}
	return nil, nil
}

// recordResult records the result of an open attempt.
func (o *operation) recordResult(i int) (*attempt, *verdict.Error) {
	a := o.open[i]
	_, failure := a.exchange.Result()
	o.open = append(o.open[:i:i], o.open[i+1:]...)
	if failure == nil {
		return a, nil
	}
	a.finish(failure)
	o.recordFailure(a, failure)
	o.recordExpectedWait(failure)
	if failure.Cause == verdict.Refused || failure.Cause == verdict.Draining {
		o.refused = append(o.refused, a.member.ID)
	}
	if retry.MayHaveReached(failure) {
		o.maybeReached++
	}
	if failure.Verdict() != verdict.NotRun && o.firstMayHaveRun == nil {
		o.firstMayHaveRun = failure
	}
	return nil, failure
}

// recordFailure records the step that an attempt has failed.
func (o *operation) recordFailure(a *attempt, failure *verdict.Error) {
	o.recordStep(Step{
		Event: EventFailed,
		Node:  a.member.ID,
		Cause: failure.Cause,
		Err:   failure.Err,
	})
}

// abandon ends all open attempts with e, without waiting for their peers. If no attempt has been
// sent, it returns the failure to start one instead, which says that the request has not run.
func (o *operation) abandon(e *verdict.Error) *verdict.Error {
	if o.pending != nil {
		<-o.pending.done // returns at the latest when the deadline passes or the caller leaves
		if failure := o.recordStarted(); failure != nil && len(o.open) == 0 {
			return failure
		}
	}
	for _, a := range o.open {
		a.exchange.Abandon(e)
		a.finish(e)
	}
	o.open = nil
	return e
}

// cancelOpen cancels the attempts that are no longer needed.
func (o *operation) cancelOpen() {
	for _, a := range o.open {
		cause := verdict.CallerGone
		if a.silent {
			cause = verdict.PeerLost // as far as is known of its node
		}
		a.finish(verdict.New(cause, nil))
	}
	o.open = nil
	if p := o.pending; p != nil {
		o.pending = nil
		go func() {
			<-p.done
			if p.attempt != nil && p.failure == nil {
				p.attempt.finish(verdict.New(verdict.CallerGone, nil))
			}
		}()
	}
}

// result returns the result of an answered attempt.
func (o *operation) result(a *attempt) *Result {
	if o.heldResponse != nil && o.heldResponse != a {
		o.heldResponse.finish(nil)
	}
	o.service.latency.Observe(time.Since(a.startedAt))
	response, _ := a.exchange.Result()
	return &Result{
		Response: response,
		Node:     a.member.ID,
		Zone:     a.member.Zone,
		Attempts: len(o.tried),
		attempt:  a,
	}
}
