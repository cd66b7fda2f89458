// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

// check returns the promises that were broken. Whole is when the faults had long
// ended. Safety leaves out those that have a bound on time.
func (w *world) check(list []outcome, faults []fault, whole time.Time, safety bool) []string {
	runs := make(map[string][]platformtest.Run)
	for _, n := range w.nodes {
		for _, r := range n.upstream.Load().Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	broken := w.checkProxies()
	broken = append(broken, checkOutcomes(list, runs)...)
	if w.keys != nil {
		broken = append(broken, w.checkKeys(list, runs)...)
	}
	broken = append(broken, w.checkLimits()...)
	broken = append(broken, checkLeaving(list, runs)...)
	if !safety {
		broken = append(broken, w.checkDrains()...)
		broken = append(broken, w.checkRoutes()...)
		broken = append(broken, checkRecovery(list, whole)...)
		broken = append(broken, w.checkEnds()...)
		if w.stops {
			broken = append(broken, w.checkUnanswered(list)...)
		}
	}
	if w.stops {
		ran := w.endedRuns()
		broken = append(broken, w.checkStops(list, ran)...)
		broken = append(broken, w.checkAtWork(list, ran)...)
	}
	if planned(faults) {
		broken = append(broken, checkUncut(list, runs)...)
	}
	return broken
}

// checkProxies wants the soak itself to have worked: a run of many nodes may use up its descriptors.
func (w *world) checkProxies() []string {
	var broken []string
	for _, n := range w.nodes {
		if err := n.link.failed.Load(); err != nil {
			broken = append(broken, fmt.Sprintf("the soak's own fault: the proxy of %s ended: %v", n.name, *err))
		}
	}
	return broken
}

// planned returns whether all faults are planned work.
func planned(faults []fault) bool {
	for _, f := range faults {
		if !f.planned {
			return false
		}
	}
	return true
}

// checkOutcomes compares what callers saw with what upstreams ran.
func checkOutcomes(list []outcome, runs map[string][]platformtest.Run) []string {
	var broken []string
	sent := make(map[string]outcome, len(list))
	for _, o := range list {
		sent[o.id] = o
		ran := runs[o.id]
		switch {
		case o.wrong != "":
			broken = append(broken, fmt.Sprintf("foreign or cut answer: request %s got %s", o.id, o.wrong))
		case o.route == "a" && len(ran) > 1:
			broken = append(broken, fmt.Sprintf("ran twice: request %s", o.id))
		case o.status == http.StatusServiceUnavailable && len(ran) > 0 && o.route == "a":
			broken = append(broken, fmt.Sprintf("told not run, and ran: request %s", o.id))
		case o.status == http.StatusNotFound:
			broken = append(broken, fmt.Sprintf("route denied: request %s", o.id))
		case o.status == http.StatusOK && len(ran) == 0:
			broken = append(broken, fmt.Sprintf("success without a run: request %s", o.id))
		}
	}
	for id, list := range runs {
		o, ok := sent[id]
		if !ok && !strings.HasPrefix(id, "check-") {
			broken = append(broken, fmt.Sprintf("ran unasked: request %s", id))
			continue
		}
		for _, r := range list {
			if ok && (r.Body != platformtest.SummariseBody(o.body()) || r.Path != "/"+o.route+"/x") {
				broken = append(broken, fmt.Sprintf("ran changed: request %s with %s %q", id, r.Path, r.Body))
			}
		}
	}
	return broken
}

// checkDrains finds requests that reached an upstream after its drain was bound.
func (w *world) checkDrains() []string {
	var broken []string
	for _, n := range w.nodes {
		at := n.drainAcknowledged.Load()
		if at == 0 {
			continue
		}
		bound := time.Unix(0, at).Add(drainBound)
		for _, r := range n.upstream.Load().Runs() {
			if r.At.After(bound) {
				broken = append(broken, fmt.Sprintf("drained upstream of %s ran request %s %v after the bound", n.name, r.ID, r.At.Sub(bound)))
				break
			}
		}
	}
	return broken
}

// checkRoutes asks each node for each route that was ever added.
func (w *world) checkRoutes() []string {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	var broken []string
	for _, n := range w.nodes {
		for _, route := range w.routes {
			if o := ask(client, n, outcome{id: "check-" + n.name + route, route: route}); o.status == http.StatusNotFound || o.status == 0 {
				broken = append(broken, fmt.Sprintf("configuration %d is not in force at %s: route %s got %d", w.version, n.name, route, o.status))
			}
		}
	}
	return broken
}

// checkRecovery wants nearly all requests served once the faults are long over.
func checkRecovery(list []outcome, whole time.Time) []string {
	var asked, served int
	for _, o := range list {
		if o.sent.After(whole) && o.key == "" {
			asked++
			if o.status == http.StatusOK {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < leastServed*float64(asked) {
		return []string{fmt.Sprintf("not recovered: %d of %d requests served after the faults", served, asked)}
	}
	return nil
}

// checkUncut wants no request cut that a node had passed on, where all was
// planned. A request that crosses the closing of an idle connection is read by
// nobody (RFC 9112, section 9.6) and is no cut.
func checkUncut(list []outcome, runs map[string][]platformtest.Run) []string {
	var broken []string
	for _, o := range list {
		if o.cut || o.connection && o.status == 0 && len(runs[o.id]) > 0 {
			broken = append(broken, fmt.Sprintf("cut by planned work: request %s sent at %s", o.id, o.sent.Format(time.RFC3339Nano)))
		}
	}
	return broken
}
