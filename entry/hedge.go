// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"slices"
	"time"

	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/retry"
	"sassafrasfront.example/verdict"
)

// slow returns a channel that yields once the request counts as slow and
// something can be done about it, and a function that releases it.
func (o *operation) hedgeTimer() (<-chan time.Time, func()) {
	hedge := o.service.Config.Hedge
	if hedge.Share == 0 && hedge.Part == 0 || len(o.open) != 1 || o.pending != nil || o.slowHandled || o.service.pool.Len() < 2 {
		return nil, func() {}
	}
	after, ok := o.service.latency.Quantile(hedge.Quantile)
	if !ok {
		return nil, func() {}
	}
	if median, _ := o.service.latency.Quantile(0.5); o.request.Idempotent {
		after = retry.HedgeDelay(after, median, o.request.Objective)
	}
	after = max(after, hedge.MinDelay.Std())
	t := time.NewTimer(time.Until(o.open[0].startedAt.Add(after)))
	return t.C, func() { t.Stop() }
}

// takeHedge takes one second sending of an organisation out of its budget, and returns
// whether there was one.
func (s *service) takeHedge(organisation string) bool {
	if part := s.Config.Hedge.Part; part > 0 {
		return s.retryBudget.TakeFor(organisation, part)
	}
	return s.hedgeBudget.Take()
}

// peerSilent acts on the silence of the node that has an open attempt. It may be slow, as its
// upstream may be at work on the request, so the attempt goes on; an idempotent request is
// sent a second time, within the budget.
func (o *operation) handleSilence(i int, policy retry.Policy) {
	a := o.open[i]
	a.silent = true
	o.recordStep(Step{
		Event: EventSilent,
		Node:  a.member.ID,
	})
	if len(o.open) == 1 {
		o.retryInParallel(verdict.New(verdict.PeerLost, nil), policy)
	}
}

// sendElsewhere sends a request once more that is open at silent nodes only, after a second sending
// that has reached no upstream.
func (o *operation) retryBesideSilent(failure *verdict.Error, policy retry.Policy) {
	notSilent := func(a *attempt) bool { return !a.silent }
	if failure.Verdict() == verdict.NotRun && !slices.ContainsFunc(o.open, notSilent) {
		o.retryInParallel(failure, policy)
	}
}

// sendBesides sends an idempotent request once more after a failure, while what is open goes on,
// if nothing is being sent, its body can be sent again, and the plan has it so.
func (o *operation) retryInParallel(failure *verdict.Error, policy retry.Policy) {
	if o.pending != nil || !o.request.Idempotent || o.request.Stream != nil || !o.mayRetry(failure) || !o.attemptsLeft() ||
		!policy.ShouldRetry(failure, true, len(o.tried), time.Until(o.request.Deadline)) {
		return
	}
	o.beginAttempt(EventRetry)
}

// hurry acts on a slow request. An idempotent one is sent a second time, within
// the budget. Any other is taken back if it still waits in a queue, and is then
// sent elsewhere as a request that has not run.
func (o *operation) handleSlow() {
	o.slowHandled = true // at most once for each request
	if !o.request.Idempotent || o.request.Stream != nil {
		o.open[0].exchange.Revoke()
		o.recordEvent(EventRevoke)
		return
	}
	if o.dispatcher.Quarantine.Assess(o.request.Fingerprint).State >= quarantine.Isolated || !o.attemptsLeft() || len(o.tried) >= o.service.Config.Retry.MaxTries || !o.service.takeHedge(o.request.Organisation) {
		return
	}
	o.beginAttempt(EventHedge)
}
