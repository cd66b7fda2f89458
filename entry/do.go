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

// least is the remaining time below which another sending is of no use.
const least = time.Millisecond

// Do sends the request until it is answered or given up on. The caller closes
// the result. The failure bears the verdict on all sendings together: it is
// NotRun only if none of them can have run.
func (d *Dispatcher) Do(ctx context.Context, r *Request) (*Result, *verdict.Error) {
	s := d.known(ctx, r)
	if failure := d.stopped(); s == nil && failure != nil {
		return nil, final(failure)
	}
	if s == nil {
		// Whoever resolved the request knows the service already, so it exists.
		return nil, final(d.noUpstream())
	}
	if blocked := d.Quarantine.Assess(r.Fingerprint).Failure(); blocked != nil {
		return nil, final(blocked)
	}
	s.budget.RecordRequestFor(r.Organisation)
	s.hedges.RecordRequest()
	f := &flight{
		dispatcher: d,
		service:    s,
		request:    r,
		ctx:        ctx,
		deadline:   time.NewTimer(time.Until(r.Deadline)),
		began:      time.Now(),
		stopping:   d.stopping.done(),
	}
	defer f.deadline.Stop()
	result, failure := f.fly()
	if failure != nil {
		return nil, f.final(failure)
	}
	return result, nil
}

// flight is the handling of one request.
type flight struct {
	dispatcher *Dispatcher
	service    *service
	request    *Request
	ctx        context.Context
	deadline   *time.Timer
	began      time.Time
	stopping   <-chan struct{} // nil once the stop has been taken in

	tried    []string
	expected time.Duration  // the least wait that a gate which refused it expects, or 0
	refused  []string       // the nodes whose gates have refused the request
	open     []*attempt     // the one sent first comes first
	pending  *launch        // the sending that is being begun, or nil
	reached  int            // failed sendings that may have reached an upstream
	mayRun   *verdict.Error // the first failure after which the request may have run
	revoked  bool
	aside    *attempt // answered with an error, while another upstream is asked
}

// fly sends the request as often as it may, and returns the first answer.
func (f *flight) fly() (*Result, *verdict.Error) {
	defer f.abandonAll()
	plan := retry.Policy{
		MaxAttempts:    f.service.Config.Retry.MaxTries,
		Budget:         f.service.budget,
		BudgetFraction: f.service.parts[f.request.Class],

		Organisation: f.request.Organisation,
		MinRemaining: least,
	}
	for {
		f.launch("")
		var failure *verdict.Error
		for failure == nil {
			var a *attempt
			a, failure = f.await(plan)
			switch {
			case a == nil:
			case f.another(a, plan):
				f.launch("")
			case f.others(a):
			default:
				return f.land(a), nil
			}
			if failure != nil && f.others(nil) {
				f.sendElsewhere(failure, plan)
				failure = nil // the other sending goes on
			}
		}
		remaining := time.Until(f.request.Deadline)
		if f.ctx.Err() != nil || !f.mayGoOn(failure) || !f.attemptsLeft() || !f.repeatable() || !plan.ShouldRetry(failure, f.request.Idempotent, len(f.tried), remaining) {
			if f.aside != nil {
				return f.land(f.aside), nil
			}
			return nil, f.verdict(failure)
		}
		f.did(EventRetry)
	}
}

// failed returns whether an answer says that the upstream failed an idempotent
// request, and another upstream may be asked.
func (f *flight) failed(a *attempt) bool {
	response, _ := a.exchange.Result()
	return response.Status == http.StatusInternalServerError && f.service.Config.Retry.OnError && f.request.Idempotent && f.request.Stream == nil && f.aside == nil
}

// another returns whether an answer is set aside and the request sent once more:
// if the upstream stands out by its failures. Where all fail alike, their faults lie
// elsewhere, and more requests would make them worse.
func (f *flight) another(a *attempt, plan retry.Policy) bool {
	if !f.failed(a) || f.others(nil) || !f.service.pool.IsOutlier(a.member.ID) {
		return false
	}
	f.reached++
	if !f.attemptsLeft() || len(f.tried) >= plan.MaxAttempts || !plan.TakeFromBudget() {
		return false
	}
	f.setAside(a)
	f.did(EventRetry)
	return true
}

// others returns whether another sending goes on. An error answer, if there is one, is then
// set aside.
func (f *flight) others(a *attempt) bool {
	if len(f.open) == 0 && f.pending == nil || a != nil && !f.failed(a) {
		return false
	}
	if a != nil {
		f.reached++
		f.setAside(a)
	}
	return true
}

// setAside keeps an answer for the case that no better one comes.
func (f *flight) setAside(a *attempt) {
	f.aside = a
	f.note(Step{Event: EventAnswerHeld, Node: a.member.ID})
}

// attemptsLeft returns whether one more upstream may get the request. Sendings
// that are known to have reached none don't count.
func (f *flight) attemptsLeft() bool {
	most := f.request.MaxAttempts
	return most == 0 || f.reached+len(f.open)+f.beginning() < most
}

// beginning returns the number of sendings that are being begun.
func (f *flight) beginning() int {
	if f.pending != nil {
		return 1
	}
	return 0
}

// verdict returns the failure to report: the last one, unless an earlier one
// left it open whether the request ran and the last one does not.
func (f *flight) verdict(last *verdict.Error) *verdict.Error {
	if last.Verdict() == verdict.NotRun && f.mayRun != nil {
		return f.mayRun
	}
	return last
}

// repeatable returns whether the body can be sent again. The body of a stream
// is read only once the peer has granted credit, and from then on it is gone. If
// it has not been read, the sending that failed can't read it any more.
func (f *flight) repeatable() bool {
	s, ok := f.request.Stream.(*onceReader)
	return !ok || s.takeBack()
}

// launch is a sending that is being begun: its node may have to be dialled, or may read
// nothing, while another sending is answered or the request's time is over.
type launch struct {
	event Event // told once the request has been sent, if not empty
	done  chan struct{}

	// attempt, which may be nil, and failure are set before done is closed.
	attempt *attempt
	failure *verdict.Error
}

// launch has the request sent once more. What becomes of that is awaited.
func (f *flight) launch(event Event) {
	l := &launch{
		event: event,
		done:  make(chan struct{}),
	}
	f.pending = l
	tried, refused := slices.Clone(f.tried), slices.Clone(f.refused)
	go func() {
		defer close(l.done)
		l.attempt, l.failure = f.dispatcher.start(f.ctx, f.service, f.request, tried, refused)
	}()
}

// launched takes in the sending that has been begun.
func (f *flight) launched() *verdict.Error {
	l := f.pending
	f.pending = nil
	if a := l.attempt; a != nil {
		f.tried = append(f.tried, a.member.ID)
		candidate, age := a.use.Candidate()
		f.note(Step{
			Event:     EventSent,
			Node:      a.member.ID,
			Candidate: candidate,
			Age:       age,
			Canary:    a.member.Canary,
		})
	}
	if l.failure != nil {
		if l.attempt != nil {
			f.failedAt(l.attempt, l.failure)
		}
		return l.failure
	}
	f.open = append(f.open, l.attempt)
	if l.event != "" {
		f.did(l.event)
	}
	return nil
}

// await waits for the next thing to happen. It returns an attempt that has its
// answer, or a failure, or neither if there is more to wait for.
func (f *flight) await(plan retry.Policy) (*attempt, *verdict.Error) {
	var ready, silent [2]<-chan struct{}
	var informs <-chan *peer.Inform
	for i, a := range f.open {
		ready[i], silent[i] = a.exchange.Ready(), a.silence()
	}
	if len(f.open) > 0 {
		informs = f.open[0].exchange.Informs()
	}
	var begun <-chan struct{}
	if f.pending != nil {
		begun = f.pending.done
	}
	slow, stop := f.slow()
	defer stop()
	select {
	case <-ready[0]:
		return f.settle(0)
	case <-ready[1]:
		return f.settle(1)
	case <-begun:
		return nil, f.launched()
	case m := <-informs:
		if f.request.OnInformational != nil {
			f.request.OnInformational(m)
		}
	case <-slow:
		f.hurry()
	case <-silent[0]:
		f.peerSilent(0, plan)
	case <-silent[1]:
		f.peerSilent(1, plan)
	case <-f.stopping:
		f.withdraw()
	case <-f.deadline.C:
		return nil, f.abandon(verdict.New(verdict.TimedOut, f.unanswered()))
	case <-f.ctx.Done():
		return nil, f.abandon(verdict.New(verdict.CallerGone, context.Cause(f.ctx)))
	}
	return nil, nil
}

// settle takes in the result of an open attempt.
func (f *flight) settle(i int) (*attempt, *verdict.Error) {
	a := f.open[i]
	_, failure := a.exchange.Result()
	f.open = append(f.open[:i:i], f.open[i+1:]...)
	if failure == nil {
		return a, nil
	}
	a.end(failure)
	f.failedAt(a, failure)
	f.expect(failure)
	if failure.Cause == verdict.Refused || failure.Cause == verdict.Draining {
		f.refused = append(f.refused, a.member.ID)
	}
	if retry.MayHaveReached(failure) {
		f.reached++
	}
	if failure.Verdict() != verdict.NotRun && f.mayRun == nil {
		f.mayRun = failure
	}
	return nil, failure
}

// failedAt notes that a sending has failed.
func (f *flight) failedAt(a *attempt, failure *verdict.Error) {
	f.note(Step{
		Event: EventFailed,
		Node:  a.member.ID,
		Cause: failure.Cause,
		Err:   failure.Err,
	})
}

// abandon ends all open attempts with e, without waiting for their peers. A request that has
// not been sent at all has not run.
func (f *flight) abandon(e *verdict.Error) *verdict.Error {
	if f.pending != nil {
		<-f.pending.done // which ends with the request's time, and with its caller
		if failure := f.launched(); failure != nil && len(f.open) == 0 {
			return failure
		}
	}
	for _, a := range f.open {
		a.exchange.Abandon(e)
		a.end(e)
	}
	f.open = nil
	return e
}

// abandonAll cancels the attempts that are not needed any more.
func (f *flight) abandonAll() {
	for _, a := range f.open {
		cause := verdict.CallerGone
		if a.silent {
			cause = verdict.PeerLost // by all that is known of its node
		}
		a.end(verdict.New(cause, nil))
	}
	f.open = nil
	if l := f.pending; l != nil {
		f.pending = nil
		go func() {
			<-l.done
			if l.attempt != nil && l.failure == nil {
				l.attempt.end(verdict.New(verdict.CallerGone, nil))
			}
		}()
	}
}

// land makes the result of an answered attempt.
func (f *flight) land(a *attempt) *Result {
	if f.aside != nil && f.aside != a {
		f.aside.end(nil)
	}
	f.service.latency.Observe(time.Since(a.began))
	response, _ := a.exchange.Result()
	return &Result{
		Response: response,
		Node:     a.member.ID,
		Zone:     a.member.Zone,
		Attempts: len(f.tried),
		attempt:  a,
	}
}
