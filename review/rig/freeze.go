// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// The times of the case "freeze", counted from the start of traffic.
const (
	freezeMachines = 10
	freezeAt       = 4 * time.Second // a node freezes
	freezeTime     = 4 * time.Second
	freezeEndAt    = 12 * time.Second
	freezeInterval = 4800 * time.Microsecond // between two requests
	freezeTimeout  = 1200 * time.Millisecond // of the route
	freezeDeadline = 2500 * time.Millisecond // of the clients
	freezeWork     = 650 * time.Millisecond
	freezeParts    = 8
	// freezeGrace is how long after the route's timeout a request must have its final answer, and
	// minUnanswered the number of requests without one from which the rule is broken.
	freezeGrace   = 500 * time.Millisecond
	minUnanswered = 8
)

// frozenAnswers has a node freeze while the backend beside it sends answers through it.
func frozenAnswers(o *options) (broken bool, err error) {
	s, err := newSystem(freezeMachines, freezeWork, o.root, o.dir, o.log)
	if err != nil {
		return false, err
	}
	defer s.stop()
	for _, m := range s.machines {
		m.backend.parts = freezeParts
	}
	if err := s.start(
		route{Name: "r-zji9n73", PathPrefix: "/lohu930/", Kind: "idempotent", TimeoutS: freezeTimeout.Seconds(), TargetLatencyS: 0.6, Priority: 2, Service: service, MaxAttempts: 2},
		route{Name: "r-hh2b9wu", PathPrefix: "/pufi791/", Kind: "non_idempotent", TimeoutS: freezeTimeout.Seconds(), TargetLatencyS: 0.8, Priority: 1, Service: service, MaxAttempts: 2},
	); err != nil {
		return false, err
	}
	m := s.machines[0]
	began := time.Now()
	until := func(t time.Duration) { time.Sleep(time.Until(began.Add(t))) }
	o.log.add("traffic starts")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The clients are on the other machines, which nothing happens to.
	go s.clients.traffic(ctx, s.machines[1:], http.MethodGet, freezeInterval, freezeDeadline)
	until(freezeAt)
	if o.trouble {
		m.signal(syscall.SIGSTOP)
	}
	until(freezeAt + freezeTime)
	if o.trouble {
		m.signal(syscall.SIGCONT)
	}
	until(freezeEndAt)
	cancel()
	s.clients.wait.Wait()
	var all, long, unanswered, never int
	for _, a := range s.clients.attempts {
		if a.sent.Before(began) {
			continue
		}
		all++
		took := a.answered.Sub(a.sent)
		if took <= freezeTimeout {
			continue
		}
		long++
		if took > freezeTimeout+freezeGrace {
			unanswered++
		}
		if !a.whole && took >= freezeDeadline {
			never++
		}
	}
	o.log.result("requests: %d; longer than the route's timeout: %d; of these without a final answer half a second after it: %d, and at the client's deadline: %d", all, long, unanswered, never)
	return unanswered >= minUnanswered && 4*unanswered > long, nil
}
