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

// hedgeTimer returns a channel that fires when the request counts as slow and
// may be hedged or revoked, and a function that stops the timer.
func (o *operation) hedgeTimer() (<-chan time.Time, func()) {
	hedge := o.service.Config.Hedge
	if hedge.Ratio == 0 && hedge.BudgetFraction == 0 || len(o.open) != 1 || o.pending != nil || o.slowHandled || o.service.pool.Len() < 2 {
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

// takeHedge takes one hedged attempt for an organisation from its budget, and
// returns whether the budget had room for it.
func (s *service) takeHedge(organisation string) bool {
	if fraction := s.Config.Hedge.BudgetFraction; fraction > 0 {
		return s.retryBudget.TakeFor(organisation, fraction)
	}
	return s.hedgeBudget.Take()
}

// handleSilence handles the silence of the node of an open attempt. The node may merely be slow and
// its upstream may be working on the request, so the attempt continues. An idempotent request is
// also sent to another upstream, within the retry budget.
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

// retryBesideSilent retries a request whose open attempts are all at silent nodes, after another
// attempt has failed without reaching an upstream.
func (o *operation) retryBesideSilent(failure *verdict.Error, policy retry.Policy) {
	notSilent := func(a *attempt) bool { return !a.silent }
	if failure.Verdict() == verdict.NotRun && !slices.ContainsFunc(o.open, notSilent) {
		o.retryInParallel(failure, policy)
	}
}

// retryInParallel retries an idempotent request after a failure while its open attempts continue, if
// no attempt is being started, the body can be sent again and the retry policy allows it.
func (o *operation) retryInParallel(failure *verdict.Error, policy retry.Policy) {
	if o.pending != nil || !o.request.Idempotent || o.request.Stream != nil || !o.mayRetry(failure) || !o.attemptsLeft() ||
		!policy.ShouldRetry(failure, true, len(o.tried), time.Until(o.request.Deadline)) {
		return
	}
	o.beginAttempt(EventRetry)
}

// handleSlow handles a slow request. An idempotent request is hedged, within the
// budget. Any other request is revoked if it still waits in a queue, and is then
// retried elsewhere as a request that has not run.
func (o *operation) handleSlow() {
	o.slowHandled = true // at most once for each request
	if !o.request.Idempotent || o.request.Stream != nil {
		o.open[0].exchange.Revoke()
		o.recordEvent(EventRevoke)
		return
	}
	if o.dispatcher.Quarantine.Assess(o.request.Fingerprint).State >= quarantine.Isolated || !o.attemptsLeft() || len(o.tried) >= o.service.Config.Retry.MaxAttempts || !o.service.takeHedge(o.request.Organisation) {
		return
	}
	o.beginAttempt(EventHedge)
}
