// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// The times of the case "late", counted from the start of traffic.
const (
	lateBeatAt    = time.Second             // the heartbeat that is delayed is sent
	lateBeatDelay = 2500 * time.Millisecond // and arrives that much later
	lateLeaveAt   = 1600 * time.Millisecond // the backend says that it leaves
	lateKillAt    = 2 * time.Second         // its node is killed
	lateRestartAt = 2500 * time.Millisecond // and starts again
	lateExitAt    = 9600 * time.Millisecond // the backend exits
	lateEndAt     = 10500 * time.Millisecond
	lateInterval  = 4 * time.Millisecond // between two requests
	lateDeadline  = time.Second
	lateWork      = 120 * time.Millisecond
	lateSlots     = 11 // of each backend
)

// lateHeartbeat has a backend leave, its node start again, and a heartbeat that the backend had sent
// before arrive after that.
func lateHeartbeat(o *options) (broken bool, err error) {
	s, err := newSystem(6, lateWork, o.root, o.dir, o.log)
	if err != nil {
		return false, err
	}
	defer s.stop()
	for _, m := range s.machines {
		m.backend.slots = lateSlots
	}
	if err := s.start(
		route{Name: "r-zji9n73", PathPrefix: "/lohu930/", Kind: "idempotent", TimeoutS: 0.8, TargetLatencyS: 0.3, Priority: 2, Service: service, MaxAttempts: 2},
		route{Name: "r-hh2b9wu", PathPrefix: "/pufi791/", Kind: "non_idempotent", TimeoutS: 1, TargetLatencyS: 0.3, Priority: 1, Service: service, MaxAttempts: 2},
	); err != nil {
		return false, err
	}
	m := s.machines[0]
	b := m.backend
	d := &delayer{target: b.control, delay: lateBeatDelay, log: o.log}
	late, err := d.start(m.ip)
	if err != nil {
		return false, err
	}
	defer d.listener.Close()
	began := time.Now()
	until := func(t time.Duration) { time.Sleep(time.Until(began.Add(t))) }
	o.log.add("traffic starts")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The clients are on the other machines, which nothing happens to.
	go s.clients.traffic(ctx, s.machines[1:], http.MethodPost, lateInterval, lateDeadline)
	until(lateBeatAt)
	if o.trouble {
		go b.heartbeat(late, "ready")
	} else {
		go b.heartbeat(b.control, "ready")
	}
	until(lateLeaveAt)
	s.stopBeats[m]()
	b.leaving.Store(true)
	acked := b.leave()
	ackedAt := time.Now()
	if !acked {
		return false, errors.New("the node did not acknowledge that the backend leaves")
	}
	inTouch := ackedAt
	if o.trouble {
		until(lateKillAt)
		m.kill()
		until(lateRestartAt)
		if err := m.startNode(); err != nil {
			return false, err
		}
		inTouch = m.started.Add(stableWindow)
	}
	until(lateExitAt)
	o.log.add("backend %s: exits", b.id)
	b.exit()
	exitedAt := time.Now()
	until(lateEndAt)
	cancel()
	s.clients.wait.Wait()
	bound := ackedAt.Add(drainTime)
	if inTouch.After(bound) {
		bound = inTouch
	}
	return s.judgeDrain(b, ackedAt, bound, exitedAt), nil
}

// judgeDrain returns whether requests reached a backend after the bound, and records what became of
// them. The backend's leaving was acknowledged at ackedAt, and it exited at exitedAt.
func (s *system) judgeDrain(b *backend, ackedAt, bound, exitedAt time.Time) (broken bool) {
	var reached, answered, cut, lost int
	var first, last time.Time
	for _, x := range b.snapshot() {
		if !x.reached.After(bound) {
			continue
		}
		reached++
		if first.IsZero() {
			first = x.reached
		}
		last = x.reached
		if x.cut.IsZero() {
			answered++
			continue
		}
		cut++
		if a := s.clients.find(x.id); a != nil && a.method != http.MethodGet && a.status/100 != 2 {
			lost++
		}
	}
	s.log.result("backend %s: leaving acknowledged at %.3f s, requests are allowed to reach it until %.3f s, it exits at %.3f s", b.id, s.log.at(ackedAt), s.log.at(bound), s.log.at(exitedAt))
	s.log.result("requests that reached it later: %d; answered %d, cut by its exit %d, of these lost to the client (not idempotent, no success) %d", reached, answered, cut, lost)
	if reached > 0 {
		s.log.result("first at %.3f s, last at %.3f s", s.log.at(first), s.log.at(last))
	}
	return reached > 0
}
