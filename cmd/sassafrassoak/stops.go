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
	stopped   = "stopInSeries"
	burst     = "burst"
	linkLoses = "linkLoses"
)

const (
	// stopTimeout is the routes' timeout under these faults.
	stopTimeout = 4 * time.Second
	// shareOfGrace is the part of the grace time within which what runs has to be let end.
	shareOfGrace = 5.0 / 6
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
	series := max(2+random.IntN(3), nodes/10)
	at := between(0, duration*3/10)
	for _, node := range random.Perm(nodes)[:min(series, nodes)] {
		f := fault{
			name: stopped,
			at:   at,
			node: node,
		}
		if random.IntN(2) == 0 {
			f.hangup = between(time.Millisecond, 3*time.Second)
		}
		if random.IntN(2) == 0 {
			f.again = between(time.Millisecond, 4*time.Second)
		}
		list = append(list, f)
		at += between(50*time.Millisecond, duration/8)
	}
	several := func(name string, count int, low, high time.Duration) {
		for range count {
			list = append(list, fault{
				name: name,
				at:   between(0, duration),
				last: between(low, high),
				node: random.IntN(nodes),
			})
		}
	}
	several(burst, 2, duration/8, duration/3)
	several("linkSilent", max(8, nodes/6), 100*time.Millisecond, 2*time.Second)
	several(linkLoses, max(16, nodes/3), time.Millisecond, 2*time.Millisecond)
	return list
}

// stop tells the node to stop, signals it meanwhile as the fault says, and starts it again.
func (w *world) stop(f fault, n *node) {
	d := w.begin(told, n)
	n.signal(syscall.SIGTERM)
	var signals sync.WaitGroup
	later := func(s syscall.Signal, after time.Duration) {
		if after > 0 {
			signals.Go(func() {
				time.Sleep(after)
				n.signal(s)
			})
		}
	}
	later(syscall.SIGHUP, f.hangup)
	later(syscall.SIGTERM, f.again)
	w.wait(n)
	w.end(d)
	signals.Wait() // the next process is to get none of them
	_ = w.start(n)
}

// kind is what the soak has done that may end a request.
type kind int

const (
	told   kind = iota // the node was told to stop, until its process had ended
	killed             // its process was killed
	broken             // connections to it were reset
	paused             // its process did not run
)

// deed is something that the soak has done to a node.
type deed struct {
	kind     kind
	node     string
	from, to time.Time // to is zero before the end
	// overstayed is whether the process was killed as it had not ended within its grace time.
	overstayed bool
}

// begin notes that a deed begins, and end that it ends.
func (w *world) begin(k kind, n *node) *deed {
	w.doing.Lock()
	defer w.doing.Unlock()
	d := &deed{
		kind: k,
		node: n.name,
		from: time.Now(),
	}
	w.deeds = append(w.deeds, d)
	return d
}

func (w *world) end(d *deed) {
	w.doing.Lock()
	defer w.doing.Unlock()
	d.to = time.Now()
}

// wait waits for the end of a process that was told to stop, and kills it after its grace time.
func (w *world) wait(n *node) {
	if !n.waitFor(graceTime) {
		w.begin(killed, n).overstayed = true
		n.signal(syscall.SIGKILL)
		n.wait(graceTime)
	}
}

// load sends requests to a node until stop is closed, whether answers come or not. Each has a
// connection of its own, or takes any that is open.
func (w *world) load(n *node, seen *records, stop chan struct{}, name string, random *rand.Rand, fresh bool) {
	transport := &http.Transport{
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: 16,
		DialContext:         (&net.Dialer{Timeout: patience}).DialContext,
	}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		pause := time.Duration(float64(loadPause) * w.scale() * random.ExpFloat64())
		if w.bursts.Load() > 0 {
			pause /= burstFactor
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		o := drawRequest(random)
		o.id = fmt.Sprintf("%s-%d%s%v", name, i, lastsMark, o.lasts)
		all.Go(func() { seen.add(ask(client, n, o)) })
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
		o.size = 60<<10 + random.IntN(300<<10)
		o.chunked = o.size%2 == 1
		if o.size%5 == 0 {
			o.slow = time.Duration(o.size%500) * time.Millisecond
		}
	}
	switch random.IntN(20) {
	case 0:
		o.lasts = time.Duration((1000 + random.IntN(1500)) * milli)
	case 1, 2, 3:
		o.lasts = time.Duration((200 + random.IntN(800)) * milli)
	default:
		o.lasts = time.Duration((20 + random.IntN(130)) * milli)
	}
	if random.IntN(25) == 0 {
		o.leaves = time.Duration(1+random.IntN(800)) * time.Millisecond
	}
	return o
}

// lastsMark stands in a request's id before how long its run takes.
const lastsMark = "~"

// lasts returns how long a request runs.
func lasts(r platformtest.Run) time.Duration {
	const usual = 15 * time.Millisecond
	if _, text, found := strings.Cut(r.ID, lastsMark); found {
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	}
	return usual
}

// endedRun is a run at the upstream of a node, with how it ended.
type endedRun struct {
	platformtest.Run
	platformtest.RunEnd
	node string
}

// endedRuns returns the runs of all upstreams by the ids of their requests.
func (w *world) endedRuns() map[string][]endedRun {
	ran := make(map[string][]endedRun)
	for _, n := range w.nodes {
		runs, endings := n.upstream.Load().RunsAndEnds()
		for i, r := range runs {
			ran[r.ID] = append(ran[r.ID], endedRun{
				Run:    r,
				RunEnd: endings[i],
				node:   n.name,
			})
		}
	}
	return ran
}

// checkAtWork finds requests that a node has ended with an answer of its own, or without one, though
// an upstream was at work on them or had done its work. Not counted are those whose time was over or
// whose caller had left, and what the soak's deeds excuse.
func (w *world) checkAtWork(list []outcome, ran map[string][]endedRun) []string {
	var broken []string
	requests := 0
	for _, o := range list {
		before := len(broken)
		if o.own() && o.ended.Before(o.sent.Add(min(o.deadline, stopTimeout))) {
			for _, r := range ran[o.id] {
				if r.Run.At.Before(o.ended) && !w.excused(o, r.node, r.Run.At) {
					broken = append(broken, fmt.Sprintf("given up at work: request %s sent to %s at %s got %s after %v; the upstream of %s began after %v and ended after %v, cut after %v%s",
						o.id, o.node, o.sent.Format(time.RFC3339Nano), o.got(), o.after(o.ended), r.node, o.after(r.Run.At), o.after(r.RunEnd.FinishedAt), o.after(r.CancelledAt), w.near(o, r.node)))
				}
			}
		}
		if len(broken) > before {
			requests++
		}
	}
	if requests > 0 {
		broken = append([]string{fmt.Sprintf("given up at work: %d requests", requests)}, broken...)
	}
	return broken
}

// checkStops wants some request to have run while its entry, or the node of its upstream, was
// stopping: else the run shows nothing.
func (w *world) checkStops(list []outcome, ran map[string][]endedRun) []string {
	for _, o := range list {
		for _, r := range ran[o.id] {
			if w.near(o, r.node) != "" {
				return nil
			}
		}
	}
	return []string{"no request ran while a node of it was stopping"}
}

// checkUnanswered finds requests that a node has left without an answer though it had the time to
// read them, unless it was killed or paused meanwhile.
func (w *world) checkUnanswered(list []outcome) []string {
	var broken []string
	for _, o := range list {
		if o.status != 0 || o.left || o.whole.IsZero() || o.ended.Sub(o.whole) <= closeSlack {
			continue
		}
		excused := slices.ContainsFunc(w.deeds, func(d *deed) bool {
			switch {
			case d.node != o.node || d.from.After(o.ended):
				return false
			case d.kind == paused:
				return d.to.IsZero() || d.to.After(o.sent)
			}
			return d.kind == killed && d.from.After(o.sent)
		})
		if !excused {
			broken = append(broken, fmt.Sprintf("not answered: request %s sent to %s at %s, after %v: %s%s", o.id, o.node, o.sent.Format(time.RFC3339Nano), o.after(o.ended), o.failure, w.near(o, o.node)))
		}
	}
	return broken
}

// checkEnds finds processes that did not end within their grace time.
func (w *world) checkEnds() []string {
	var broken []string
	for _, d := range w.deeds {
		if d.overstayed {
			broken = append(broken, fmt.Sprintf("%s did not end within %v of its SIGTERM, at %s", d.node, graceTime, d.from.Format(time.RFC3339Nano)))
		}
	}
	return broken
}

// own returns whether the caller, not having left, got no answer of an upstream.
func (o *outcome) own() bool {
	return !o.left && o.connection && (o.cut || !o.signed)
}

// got says what the caller got.
func (o *outcome) got() string {
	switch {
	case o.cut:
		return fmt.Sprintf("a part of a %d (%s)", o.status, o.failure)
	case o.status == 0:
		return fmt.Sprintf("a closed connection (%s)", o.failure)
	}
	return fmt.Sprintf("a %d", o.status)
}

// after returns how long after the request's start something was, 0 if it has not been.
func (o *outcome) after(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(o.sent).Round(time.Millisecond)
}

// excused returns whether the soak's own deeds may have ended a request that ran from a given moment
// on at the upstream of a node.
func (w *world) excused(o outcome, at string, began time.Time) bool {
	for _, d := range w.deeds {
		if d.node != at && d.node != o.node {
			continue
		}
		over := d.to.IsZero() || d.to.After(o.sent)
		switch d.kind {
		case killed:
			if d.from.After(o.sent) && d.from.Before(o.ended) {
				return true
			}
		case broken:
			// A node reaches the upstream beside it by its own link as well.
			if d.node == at && d.from.Before(o.ended) && over && (d.to.IsZero() || began.Before(d.to)) {
				return true
			}
		case told:
			late := o.ended.After(d.from.Add(time.Duration(shareOfGrace * float64(graceTime))))
			if over && late && o.sent.Before(d.from.Add(graceTime/2)) {
				return true
			}
		}
	}
	return false
}

// near tells which of the two nodes had been told to stop.
func (w *world) near(o outcome, at string) string {
	var text strings.Builder
	for _, d := range w.deeds {
		if d.kind == told && (d.node == at || d.node == o.node) && d.from.Before(o.ended) && (d.to.IsZero() || d.to.After(o.sent)) {
			fmt.Fprintf(&text, "; %s was told to stop %v before its end", d.node, o.ended.Sub(d.from).Round(time.Millisecond))
		}
	}
	return text.String()
}
