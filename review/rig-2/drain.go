// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// smallDrain and largeDrain are drainS of the sites dbs-legacy and pbo-wa-grown: how long after the acknowledgement
	// requests may still reach a backend that leaves.
	smallDrain = 2 * time.Second
	largeDrain = 2500 * time.Millisecond

	// warmUp is how long requests are sent before anything happens.
	warmUp = 3 * time.Second
	// restartDelay is the time from a kill to the restart of the process.
	restartDelay = time.Second
	// stay is how long a backend serves on after the acknowledgement that it leaves.
	stay = 15 * time.Second
	// crashToRestart is the time from a crash of a backend to its next start.
	crashToRestart = 300 * time.Millisecond
)

// leaveDuringOutage has a backend leave while the store is down, and all processes killed after the
// acknowledgement. A heartbeat of before is late.
func leaveDuringOutage(dir string, trouble bool, r *record) ([]string, error) {
	const (
		outage = 6 * time.Second
		late   = 3500 * time.Millisecond
	)
	s, err := newSystem(dir, options{nodes: 6}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.clients = startClients(s.nodes, r)
	time.Sleep(warmUp)
	leaving := s.backends[0]
	if trouble {
		s.store.beginSilence()
		time.AfterFunc(outage, s.store.endSilence)
	}
	time.Sleep(500 * time.Millisecond)
	heartbeat := leaving.prepareHeartbeat()
	if trouble {
		time.AfterFunc(late, func() { heartbeat() })
	} else {
		heartbeat()
	}
	time.Sleep(200 * time.Millisecond)
	acknowledged := leaving.leave()
	r.printf("backend %s: its leave is acknowledged at %.3f", leaving.id, r.at(acknowledged))
	time.Sleep(400 * time.Millisecond)
	if trouble {
		for _, n := range s.nodes {
			go n.kill()
		}
		time.Sleep(restartDelay)
		for _, n := range s.nodes {
			if err := n.start(false); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Until(acknowledged.Add(stay)))
	leaving.end("exits")
	time.Sleep(time.Second)
	s.clients.end()
	return s.checkDrain(acknowledged, leaving, smallDrain), nil
}

// leaveOfReborn has a backend crash, start again under its id and leave, and the process beside it killed after
// the acknowledgement. A heartbeat of before the crash is late.
func leaveOfReborn(dir string, trouble bool, r *record) ([]string, error) {
	const late = 5 * time.Second
	s, err := newSystem(dir, options{nodes: 10, born: true}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.clients = startClients(s.nodes, r)
	time.Sleep(warmUp)
	first := s.backends[0]
	leaving := first
	if trouble {
		heartbeat := first.prepareHeartbeat()
		time.AfterFunc(late, func() { heartbeat() })
		first.end("crashes")
		time.Sleep(crashToRestart)
		leaving = s.newBackend(s.nodes[0], first.id, true)
		if err := leaving.start(); err != nil {
			return nil, err
		}
		s.backends = append(s.backends, leaving)
	}
	time.Sleep(2500 * time.Millisecond)
	acknowledged := leaving.leave()
	r.printf("backend %s (born %d): its leave is acknowledged at %.3f", leaving.id, leaving.born, r.at(acknowledged))
	time.Sleep(400 * time.Millisecond)
	if trouble {
		s.nodes[0].kill()
		time.Sleep(restartDelay)
		if err := s.nodes[0].start(false); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(stay)))
	leaving.end("exits")
	time.Sleep(time.Second)
	s.clients.end()
	return s.checkDrain(acknowledged, leaving, largeDrain), nil
}

// drainOfReborn has a backend start while its machine's time of day is ahead, crash, start again under its id after the
// time of day has jumped back, and drain.
func drainOfReborn(dir string, trouble bool, r *record) ([]string, error) {
	const step = 2 * time.Second
	s, err := newSystem(dir, options{nodes: 10, born: true}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.clients = startClients(s.nodes, r)
	time.Sleep(warmUp)
	n := s.nodes[0]
	s.backends[0].leave()
	s.backends[0].end("exits")
	time.Sleep(time.Second)
	startNext := func(ahead time.Duration) (*backend, error) {
		b := s.newBackend(n, s.backends[0].id+"b", true)
		b.born += ahead.Milliseconds()
		s.backends = append(s.backends, b)
		return b, b.start()
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = step
		s.clockSteppedAt = time.Now()
		r.printf("machine of %s: the time of day jumps ahead by %v", n.name, step)
	}
	draining, err := startNext(ahead)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		s.clockSteppedAt = time.Now()
		r.printf("machine of %s: the time of day jumps back by %v", n.name, step)
		draining.end("crashes")
		if draining, err = startNext(0); err != nil {
			return nil, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	acknowledged := draining.drain()
	r.printf("backend %s (born %d): its drain is acknowledged at %.3f", draining.id, draining.born, r.at(acknowledged))
	time.Sleep(time.Until(acknowledged.Add(stay)))
	draining.leave()
	draining.end("exits")
	time.Sleep(time.Second)
	s.clients.end()
	return s.checkDrain(acknowledged, draining, largeDrain), nil
}

// leaveBesideCut has a backend leave while another machine is cut off, and all other processes killed after the
// acknowledgement. A heartbeat of before is late.
func leaveBesideCut(dir string, trouble bool, r *record) ([]string, error) {
	const late = 4 * time.Second
	s, err := newSystem(dir, options{nodes: 6, proxied: true}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.clients = startClients(s.nodes, r)
	time.Sleep(warmUp)
	rest, cut := s.nodes[:5], s.nodes[5]
	leaving := s.backends[0]
	if trouble {
		s.network.cutOff(cut.name)
	}
	time.Sleep(500 * time.Millisecond)
	heartbeat := leaving.prepareHeartbeat()
	if trouble {
		time.AfterFunc(late, func() { heartbeat() })
	} else {
		heartbeat()
	}
	time.Sleep(200 * time.Millisecond)
	acknowledged := leaving.leave()
	r.printf("backend %s: its leave is acknowledged at %.3f", leaving.id, r.at(acknowledged))
	r.printf("store: %s", s.store.text("departure", s.nodes[0].name))
	time.Sleep(400 * time.Millisecond)
	if trouble {
		for _, n := range rest {
			n.kill()
		}
		s.network.losePower()
		time.Sleep(restartDelay / 2)
		s.network.heal()
		for i := len(rest) - 1; i >= 0; i-- {
			time.Sleep(restartDelay / 5)
			if err := rest[i].start(false); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Until(acknowledged.Add(stay)))
	r.printf("store: %s", s.store.text("departure", s.nodes[0].name))
	leaving.end("exits")
	time.Sleep(time.Second)
	s.clients.end()
	return s.checkDrain(acknowledged, leaving, smallDrain), nil
}

// checkDrain returns the violations of DRAIN: the requests that reached the backend later than within after the
// acknowledgement, taken from their clients and sent on while all nodes were in touch.
func (s *system) checkDrain(acknowledged time.Time, leaving *backend, within time.Duration) (broken []string) {
	inTouch := s.inTouchSince()
	r := s.record
	s.recordRequests()
	late, cut, lost := 0, 0, 0
	for _, a := range leaving.seen() {
		q := s.clients.find(a.id)
		if q == nil || a.at.Before(acknowledged.Add(within)) {
			continue
		}
		late++
		if !a.ended {
			cut++
		}
		if !a.ended && q.method == http.MethodPost && q.status != http.StatusOK {
			lost++
		}
		if q.sentAt.After(inTouch) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s %s reached backend %s %.3f s after the acknowledgement", q.method, a.id, a.instance, a.at.Sub(acknowledged).Seconds()))
		}
	}
	r.printf("all nodes are in touch from %.3f on", r.at(inTouch))
	r.printf("backend %s: %d requests arrived later than %v after the acknowledgement, %d of them sent while all nodes were in touch; its exit cut %d, and %d that must not be repeated were lost", leaving.id, late, within, len(broken), cut, lost)
	return broken
}

// recordRequests records what was sent, answered and run.
func (s *system) recordRequests() {
	r := s.record
	runs := make(map[string][]string)
	for _, b := range s.backends {
		for _, a := range b.seen() {
			runs[a.id] = append(runs[a.id], fmt.Sprintf("%s (born %d) at %.3f, caller %s, ended %v", a.instance, b.born, r.at(a.at), a.caller, a.ended))
		}
	}
	statuses := make(map[int]int)
	for _, q := range s.clients.list() {
		statuses[q.status]++
		r.printf("%s %s sent to %s at %.3f; status %d after %.3f s, whole %v; reached %s", q.method, q.id, q.node, r.at(q.sentAt), q.status, q.took.Seconds(), q.whole, strings.Join(runs[q.id], " and "))
	}
	r.printf("number of requests by status, 0 for none: %v", statuses)
}
