// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

// faultStopSeries is one of a series of stops, which may overlap with other faults, with a SIGHUP and
// with a second SIGTERM. faultBurst makes callers send more for a time, and faultPacketLoss loses a packet.
const (
	faultStopSeries = "stopInSeries"
	faultBurst      = "burst"
	faultPacketLoss = "linkLoses"
)

const (
	// stopTimeout is the timeout of the routes under these faults.
	stopTimeout = 4 * time.Second
	// graceFraction is the fraction of the grace period during which running requests must be
	// allowed to complete.
	graceFraction = 5.0 / 6
	// loadPause is the mean time between two requests of an open load on a node, and burstFactor
	// the factor by which a burst raises their rate.
	loadPause   = 150 * time.Millisecond
	burstFactor = 5
	// closeSlack is how long after the last byte of a request its connection may be closed without
	// a response, as the request may have crossed the closing of an idle connection.
	closeSlack = 200 * time.Millisecond
	// clientGrace is how long a caller waits for a response beyond the deadline of its request.
	clientGrace = 300 * time.Millisecond
)

// linkRates are the bandwidths of the nodes' links, in Mbit/s.
var linkRates = []float64{4, 6, 10}

// linkRate returns the bandwidth of each node's link for a seed, in Mbit/s.
func linkRate(seed uint64) float64 { return linkRates[seed%uint64(len(linkRates))] }

// drawStops returns the stops of a seed and the bursts and link faults that accompany them, from
// a random stream of their own.
func drawStops(seed uint64, duration time.Duration, nodes int) []fault {
	random := rand.New(rand.NewPCG(seed, 3))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var list []fault
	count := max(2+random.IntN(3), nodes/10)
	at := between(0, duration*3/10)
	for _, node := range random.Perm(nodes)[:min(count, nodes)] {
		f := fault{
			name:  faultStopSeries,
			start: at,
			node:  node,
		}
		if random.IntN(2) == 0 {
			f.hangupAfter = between(time.Millisecond, 3*time.Second)
		}
		if random.IntN(2) == 0 {
			f.termAfter = between(time.Millisecond, 4*time.Second)
		}
		list = append(list, f)
		at += between(50*time.Millisecond, duration/8)
	}
	add := func(name string, count int, low, high time.Duration) {
		for range count {
			list = append(list, fault{
				name:     name,
				start:    between(0, duration),
				duration: between(low, high),
				node:     random.IntN(nodes),
			})
		}
	}
	add(faultBurst, 2, duration/8, duration/3)
	add("linkSilent", max(8, nodes/6), 100*time.Millisecond, 2*time.Second)
	add(faultPacketLoss, max(16, nodes/3), time.Millisecond, 2*time.Millisecond)
	return list
}

// stopNode sends SIGTERM and the further signals of the fault to a node, and restarts the node
// once it has exited.
func (c *cluster) stopNode(f fault, n *node) {
	a := c.beginAction(actionStop, n)
	n.signal(syscall.SIGTERM)
	var signals sync.WaitGroup
	signalAfter := func(s syscall.Signal, after time.Duration) {
		if after > 0 {
			signals.Go(func() {
				time.Sleep(after)
				n.signal(s)
			})
		}
	}
	signalAfter(syscall.SIGHUP, f.hangupAfter)
	signalAfter(syscall.SIGTERM, f.termAfter)
	c.awaitExit(n)
	c.endAction(a)
	signals.Wait() // the next process must not receive them
	_ = c.start(n)
}

// actionKind is the kind of an action that may end a request.
type actionKind int

const (
	actionStop  actionKind = iota // SIGTERM, until the process has exited
	actionKill                    // SIGKILL
	actionReset                   // reset of connections to the node
	actionPause                   // SIGSTOP, until SIGCONT
)

// action is something that the test has done to a node.
type action struct {
	kind     actionKind
	node     string
	from, to time.Time // to is zero until the action ends
	// graceExceeded is whether the process was killed because it had not exited within gracePeriod.
	graceExceeded bool
}

// beginAction records the start of an action, and endAction its end.
func (c *cluster) beginAction(k actionKind, n *node) *action {
	c.actionsMu.Lock()
	defer c.actionsMu.Unlock()
	a := &action{
		kind: k,
		node: n.name,
		from: time.Now(),
	}
	c.actions = append(c.actions, a)
	return a
}

func (c *cluster) endAction(a *action) {
	c.actionsMu.Lock()
	defer c.actionsMu.Unlock()
	a.to = time.Now()
}

// awaitExit waits for a process that was sent SIGTERM, and kills it after gracePeriod.
func (c *cluster) awaitExit(n *node) {
	if !n.waitFor(gracePeriod) {
		c.beginAction(actionKill, n).graceExceeded = true
		n.signal(syscall.SIGKILL)
		n.waitOrKill(gracePeriod)
	}
}

// runOpenLoad sends requests to a node until stop is closed, without waiting for responses. If
// fresh is set, each request has a connection of its own; otherwise idle ones are reused.
func (c *cluster) runOpenLoad(n *node, results *recorder, stop chan struct{}, name string, random *rand.Rand, fresh bool) {
	transport := &http.Transport{
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: 16,
		DialContext:         (&net.Dialer{Timeout: clientTimeout}).DialContext,
	}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		pause := time.Duration(float64(loadPause) * c.scale() * random.ExpFloat64())
		if c.bursts.Load() > 0 {
			pause /= burstFactor
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		o := drawRequest(random)
		o.id = fmt.Sprintf("%s-%d%s%v", name, i, serviceTimeMark, o.serviceTime)
		all.Go(func() { results.add(send(client, n, o)) })
	}
}

// drawRequest draws the parameters of a request, except its ID.
func drawRequest(random *rand.Rand) outcome {
	const milli = int(time.Millisecond)
	o := outcome{
		route:    []string{"a", "b", "b"}[random.IntN(3)],
		deadline: []time.Duration{1200, 2500, 3800}[random.IntN(3)] * time.Millisecond,
	}
	if random.IntN(5) == 0 {
		o.minBodyBytes = 60<<10 + random.IntN(300<<10)
		o.chunked = o.minBodyBytes%2 == 1
		if o.minBodyBytes%5 == 0 {
			o.sendDuration = time.Duration(o.minBodyBytes%500) * time.Millisecond
		}
	}
	switch random.IntN(20) {
	case 0:
		o.serviceTime = time.Duration((1000 + random.IntN(1500)) * milli)
	case 1, 2, 3:
		o.serviceTime = time.Duration((200 + random.IntN(800)) * milli)
	default:
		o.serviceTime = time.Duration((20 + random.IntN(130)) * milli)
	}
	if random.IntN(25) == 0 {
		o.leaveAfter = time.Duration(1+random.IntN(800)) * time.Millisecond
	}
	return o
}

// serviceTimeMark precedes the service time in a request's ID.
const serviceTimeMark = "~"

// serviceTimeOf returns the service time of a run.
func serviceTimeOf(r platformtest.Run) time.Duration {
	const defaultServiceTime = 15 * time.Millisecond
	if _, text, found := strings.Cut(r.ID, serviceTimeMark); found {
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	}
	return defaultServiceTime
}

// endedRun is a run at the upstream of a node, and how it ended.
type endedRun struct {
	platformtest.Run
	platformtest.RunEnd
	nodeName string
}

// endedRuns returns the runs of all upstreams by request ID.
func (c *cluster) endedRuns() map[string][]endedRun {
	ran := make(map[string][]endedRun)
	for _, n := range c.nodes {
		runs, ends := n.upstream.Load().RunsAndEnds()
		for i, r := range runs {
			ran[r.ID] = append(ran[r.ID], endedRun{
				Run:      r,
				RunEnd:   ends[i],
				nodeName: n.name,
			})
		}
	}
	return ran
}

// checkAbandoned finds requests that a node ended with a response of its own, or without one, although
// an upstream was running them or had completed them. Requests whose deadline had passed, whose caller
// had left or that an action of the test may have ended are not counted.
func (c *cluster) checkAbandoned(list []outcome, ran map[string][]endedRun) []string {
	var violations []string
	requests := 0
	for _, o := range list {
		before := len(violations)
		if o.endedByNode() && o.endedAt.Before(o.sentAt.Add(min(o.deadline, stopTimeout))) {
			for _, r := range ran[o.id] {
				if r.Run.At.Before(o.endedAt) && !c.excused(o, r.nodeName, r.Run.At) {
					violations = append(violations, fmt.Sprintf("abandoned while running: request %s sent to %s at %s got %s after %v; the upstream of %s started after %v, finished after %v, was interrupted after %v%s",
						o.id, o.node, o.sentAt.Format(time.RFC3339Nano), o.describe(), o.sinceSent(o.endedAt), r.nodeName, o.sinceSent(r.Run.At), o.sinceSent(r.RunEnd.FinishedAt), o.sinceSent(r.CancelledAt), c.stopping(o, r.nodeName)))
				}
			}
		}
		if len(violations) > before {
			requests++
		}
	}
	if requests > 0 {
		violations = append([]string{fmt.Sprintf("abandoned while running: %d requests", requests)}, violations...)
	}
	return violations
}

// checkStops requires that some request ran while its entry or its upstream's node was stopping;
// otherwise the run shows nothing about stops.
func (c *cluster) checkStops(list []outcome, ran map[string][]endedRun) []string {
	for _, o := range list {
		for _, r := range ran[o.id] {
			if c.stopping(o, r.nodeName) != "" {
				return nil
			}
		}
	}
	return []string{"no request ran while its entry or its upstream's node was stopping"}
}

// checkUnanswered finds requests that a node left without a response although it had time to read
// them, unless it was killed or paused meanwhile.
func (c *cluster) checkUnanswered(list []outcome) []string {
	var violations []string
	for _, o := range list {
		if o.status != 0 || o.left || o.bodySentAt.IsZero() || o.endedAt.Sub(o.bodySentAt) <= closeSlack {
			continue
		}
		excused := slices.ContainsFunc(c.actions, func(a *action) bool {
			switch {
			case a.node != o.node || a.from.After(o.endedAt):
				return false
			case a.kind == actionPause:
				return a.to.IsZero() || a.to.After(o.sentAt)
			}
			return a.kind == actionKill && a.from.After(o.sentAt)
		})
		if !excused {
			violations = append(violations, fmt.Sprintf("no response: request %s sent to %s at %s, after %v: %s%s", o.id, o.node, o.sentAt.Format(time.RFC3339Nano), o.sinceSent(o.endedAt), o.failure, c.stopping(o, o.node)))
		}
	}
	return violations
}

// checkExits finds processes that did not exit within their grace period.
func (c *cluster) checkExits() []string {
	var violations []string
	for _, a := range c.actions {
		if a.graceExceeded {
			violations = append(violations, fmt.Sprintf("%s did not exit within %v of SIGTERM, at %s", a.node, gracePeriod, a.from.Format(time.RFC3339Nano)))
		}
	}
	return violations
}

// endedByNode returns whether the caller stayed but received no complete response of an upstream.
func (o *outcome) endedByNode() bool {
	return !o.left && o.connected && (o.truncated || !o.fromUpstream)
}

// describe describes what the caller received.
func (o *outcome) describe() string {
	switch {
	case o.truncated:
		return fmt.Sprintf("a truncated %d (%s)", o.status, o.failure)
	case o.status == 0:
		return fmt.Sprintf("a closed connection (%s)", o.failure)
	}
	return fmt.Sprintf("a %d", o.status)
}

// sinceSent returns the time from the sending of the request until t, or 0 if t is zero.
func (o *outcome) sinceSent(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(o.sentAt).Round(time.Millisecond)
}

// excused returns whether an action of the test may have ended a request that ran at the upstream of
// the named node from the given time.
func (c *cluster) excused(o outcome, gateNode string, startedAt time.Time) bool {
	for _, a := range c.actions {
		if a.node != gateNode && a.node != o.node {
			continue
		}
		overlaps := a.to.IsZero() || a.to.After(o.sentAt)
		switch a.kind {
		case actionKill:
			if a.from.After(o.sentAt) && a.from.Before(o.endedAt) {
				return true
			}
		case actionReset:
			// A node reaches the upstream beside it through its own link as well.
			if a.node == gateNode && a.from.Before(o.endedAt) && overlaps && (a.to.IsZero() || startedAt.Before(a.to)) {
				return true
			}
		case actionStop:
			nearEnd := o.endedAt.After(a.from.Add(time.Duration(graceFraction * float64(gracePeriod))))
			if overlaps && nearEnd && o.sentAt.Before(a.from.Add(gracePeriod/2)) {
				return true
			}
		}
	}
	return false
}

// stopping describes which of the request's two nodes were stopping before the request ended.
func (c *cluster) stopping(o outcome, gateNode string) string {
	var text strings.Builder
	for _, a := range c.actions {
		if a.kind == actionStop && (a.node == gateNode || a.node == o.node) && a.from.Before(o.endedAt) && (a.to.IsZero() || a.to.After(o.sentAt)) {
			fmt.Fprintf(&text, "; %s was told to stop %v before the request ended", a.node, o.endedAt.Sub(a.from).Round(time.Millisecond))
		}
	}
	return text.String()
}
