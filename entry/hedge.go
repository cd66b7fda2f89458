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
func (f *flight) slow() (<-chan time.Time, func()) {
	hedge := f.service.Config.Hedge
	if hedge.Share == 0 && hedge.Part == 0 || len(f.open) != 1 || f.pending != nil || f.revoked || f.service.pool.Len() < 2 {
		return nil, func() {}
	}
	after, ok := f.service.latency.Quantile(hedge.Quantile)
	if !ok {
		return nil, func() {}
	}
	if usual, _ := f.service.latency.Quantile(0.5); f.request.Idempotent {
		after = retry.HedgeDelay(after, usual, f.request.Objective)
	}
	after = max(after, hedge.MinDelay.Std())
	t := time.NewTimer(time.Until(f.open[0].began.Add(after)))
	return t.C, func() { t.Stop() }
}

// takeHedge takes one second sending of an organisation out of its budget, and returns
// whether there was one.
func (s *service) takeHedge(organisation string) bool {
	if part := s.Config.Hedge.Part; part > 0 {
		return s.budget.TakeFor(organisation, part)
	}
	return s.hedges.Take()
}

// peerSilent acts on the silence of the node that has an open attempt. It may be slow, as its
// upstream may be at work on the request, so the attempt goes on; an idempotent request is
// sent a second time, within the budget.
func (f *flight) peerSilent(i int, plan retry.Policy) {
	a := f.open[i]
	a.silent = true
	f.note(Step{
		Event: EventSilent,
		Node:  a.member.ID,
	})
	if len(f.open) == 1 {
		f.sendBesides(verdict.New(verdict.PeerLost, nil), plan)
	}
}

// sendElsewhere sends a request once more that is open at silent nodes only, after a second sending
// that has reached no upstream.
func (f *flight) sendElsewhere(failure *verdict.Error, plan retry.Policy) {
	heard := func(a *attempt) bool { return !a.silent }
	if failure.Verdict() == verdict.NotRun && !slices.ContainsFunc(f.open, heard) {
		f.sendBesides(failure, plan)
	}
}

// sendBesides sends an idempotent request once more after a failure, while what is open goes on,
// if nothing is being sent, its body can be sent again, and the plan has it so.
func (f *flight) sendBesides(failure *verdict.Error, plan retry.Policy) {
	if f.pending != nil || !f.request.Idempotent || f.request.Stream != nil || !f.mayGoOn(failure) || !f.attemptsLeft() ||
		!plan.ShouldRetry(failure, true, len(f.tried), time.Until(f.request.Deadline)) {
		return
	}
	f.launch(EventRetry)
}

// hurry acts on a slow request. An idempotent one is sent a second time, within
// the budget. Any other is taken back if it still waits in a queue, and is then
// sent elsewhere as a request that has not run.
func (f *flight) hurry() {
	f.revoked = true // at most once for each request
	if !f.request.Idempotent || f.request.Stream != nil {
		f.open[0].exchange.Revoke()
		f.did(EventRevoke)
		return
	}
	if f.dispatcher.Quarantine.Assess(f.request.Fingerprint).State >= quarantine.Isolated || !f.attemptsLeft() || len(f.tried) >= f.service.Config.Retry.MaxTries || !f.service.takeHedge(f.request.Organisation) {
		return
	}
	f.launch(EventHedge)
}
