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

// stopped is a stop in a series that may overlap with others, and with a SIGHUP and a second
// SIGTERM. burst has callers send more for a time, and linkLoses loses a packet.
const (
	faultStopSeries = "stopInSeries"
	faultBurst      = "burst"
	faultPacketLoss = "linkLoses"
)

const (
	// stopTimeout is the routes' timeout under these faults.
	stopTimeout = 4 * time.Second
	// shareOfGrace is the part of the grace time within which what runs has to be let end.
	graceFraction = 5.0 / 6
	// loadPause is the wait between two requests that are sent to a node on connections of one
	// kind, whether answers come or not, and burstFactor how many times as often they are sent in a burst.
	loadPause   = 150 * time.Millisecond
	burstFactor = 5
	// closeSlack is how long after the last byte of a request its connection may be closed
	// unanswered: the request may have crossed the closing of an idle connection.
	closeSlack = 200 * time.Millisecond
	// clientGrace is how long after its deadline a caller still waits for an answer.
	clientGrace = 300 * time.Millisecond
)

// linkRates are what the links of the nodes carry, in Mbit/s.
var linkRates = []float64{4, 6, 10}

// linkRate returns what each node's link carries under a seed, in Mbit/s.
func linkRate(seed uint64) float64 { return linkRates[seed%uint64(len(linkRates))] }

// drawStops returns the stops of a seed, and what else happens beside them. They are drawn apart,
// like the restore.
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

// stop tells the node to stop, signals it meanwhile as the fault says, and starts it again.
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
	signals.Wait() // the next process is to get none of them
	_ = c.start(n)
}

// kind is what the soak has done that may end a request.
type actionKind int

const (
	actionStop  actionKind = iota // the node was told to stop, until its process had ended
	actionKill                    // its process was killed
	actionReset                   // connections to it were reset
	actionPause                   // its process did not run
)

// deed is something that the soak has done to a node.
type action struct {
	kind     actionKind
	node     string
	from, to time.Time // to is zero before the end
	// overstayed is whether the process was killed as it had not ended within its grace time.
	graceExceeded bool
}

// begin notes that a deed begins, and end that it ends.
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

// wait waits for the end of a process that was told to stop, and kills it after its grace time.
func (c *cluster) awaitExit(n *node) {
	if !n.waitFor(gracePeriod) {
		c.beginAction(actionKill, n).graceExceeded = true
		n.signal(syscall.SIGKILL)
		n.waitOrKill(gracePeriod)
	}
}

// load sends requests to a node until stop is closed, whether answers come or not. Each has a
// connection of its own, or takes any that is open.
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

// drawRequest draws a request but for its id.
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

// lastsMark stands in a request's id before how long its run takes.
const serviceTimeMark = "~"

// lasts returns how long a request runs.
func serviceTimeOf(r platformtest.Run) time.Duration {
	const defaultServiceTime = 15 * time.Millisecond
	if _, text, found := strings.Cut(r.ID, serviceTimeMark); found {
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	}
	return defaultServiceTime
}

// endedRun is a run at the upstream of a node, with how it ended.
type endedRun struct {
	platformtest.Run
	platformtest.RunEnd
	nodeName string
}

// endedRuns returns the runs of all upstreams by the ids of their requests.
func (c *cluster) endedRuns() map[string][]endedRun {
	ran := make(map[string][]endedRun)
	for _, n := range c.nodes {
		runs, endings := n.upstream.Load().RunsAndEnds()
		for i, r := range runs {
			ran[r.ID] = append(ran[r.ID], endedRun{
				Run:      r,
				RunEnd:   endings[i],
				nodeName: n.name,
			})
		}
	}
	return ran
}

// checkAtWork finds requests that a node has ended with an answer of its own, or without one, though
// an upstream was at work on them or had done its work. Not counted are those whose time was over or
// whose caller had left, and what the soak's deeds excuse.
func (c *cluster) checkAbandoned(list []outcome, ran map[string][]endedRun) []string {
	var violations []string
	requests := 0
	for _, o := range list {
		before := len(violations)
		if o.endedByNode() && o.endedAt.Before(o.sentAt.Add(min(o.deadline, stopTimeout))) {
			for _, r := range ran[o.id] {
				if r.Run.At.Before(o.endedAt) && !c.excused(o, r.nodeName, r.Run.At) {
					violations = append(violations, fmt.Sprintf("given up at work: request %s sent to %s at %s got %s after %v; the upstream of %s began after %v and ended after %v, cut after %v%s",
						o.id, o.node, o.sentAt.Format(time.RFC3339Nano), o.describe(), o.sinceSent(o.endedAt), r.nodeName, o.sinceSent(r.Run.At), o.sinceSent(r.RunEnd.FinishedAt), o.sinceSent(r.CancelledAt), c.stopping(o, r.nodeName)))
				}
			}
		}
		if len(violations) > before {
			requests++
		}
	}
	if requests > 0 {
		violations = append([]string{fmt.Sprintf("given up at work: %d requests", requests)}, violations...)
	}
	return violations
}

// checkStops wants some request to have run while its entry, or the node of its upstream, was
// stopping: else the run shows nothing.
func (c *cluster) checkStops(list []outcome, ran map[string][]endedRun) []string {
	for _, o := range list {
		for _, r := range ran[o.id] {
			if c.stopping(o, r.nodeName) != "" {
				return nil
			}
		}
	}
	return []string{"no request ran while a node of it was stopping"}
}

// checkUnanswered finds requests that a node has left without an answer though it had the time to
// read them, unless it was killed or paused meanwhile.
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
			violations = append(violations, fmt.Sprintf("not answered: request %s sent to %s at %s, after %v: %s%s", o.id, o.node, o.sentAt.Format(time.RFC3339Nano), o.sinceSent(o.endedAt), o.failure, c.stopping(o, o.node)))
		}
	}
	return violations
}

// checkEnds finds processes that did not end within their grace time.
func (c *cluster) checkExits() []string {
	var violations []string
	for _, a := range c.actions {
		if a.graceExceeded {
			violations = append(violations, fmt.Sprintf("%s did not end within %v of its SIGTERM, at %s", a.node, gracePeriod, a.from.Format(time.RFC3339Nano)))
		}
	}
	return violations
}

// own returns whether the caller, not having left, got no answer of an upstream.
func (o *outcome) endedByNode() bool {
	return !o.left && o.connected && (o.truncated || !o.fromUpstream)
}

// got says what the caller got.
func (o *outcome) describe() string {
	switch {
	case o.truncated:
		return fmt.Sprintf("a part of a %d (%s)", o.status, o.failure)
	case o.status == 0:
		return fmt.Sprintf("a closed connection (%s)", o.failure)
	}
	return fmt.Sprintf("a %d", o.status)
}

// after returns how long after the request's start something was, 0 if it has not been.
func (o *outcome) sinceSent(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(o.sentAt).Round(time.Millisecond)
}

// excused returns whether the soak's own deeds may have ended a request that ran from a given moment
// on at the upstream of a node.
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
			// A node reaches the upstream beside it by its own link as well.
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

// near tells which of the two nodes had been told to stop.
func (c *cluster) stopping(o outcome, gateNode string) string {
	var text strings.Builder
	for _, a := range c.actions {
		if a.kind == actionStop && (a.node == gateNode || a.node == o.node) && a.from.Before(o.endedAt) && (a.to.IsZero() || a.to.After(o.sentAt)) {
			fmt.Fprintf(&text, "; %s was told to stop %v before its end", a.node, o.endedAt.Sub(a.from).Round(time.Millisecond))
		}
	}
	return text.String()
}
