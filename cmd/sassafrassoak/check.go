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

// check returns the violations found. Requests sent after recoveredAt must be served, as the
// system must have recovered from the faults by then. If safetyOnly is set, checks with time
// bounds are skipped.
func (c *cluster) check(list []outcome, faults []fault, recoveredAt time.Time, safetyOnly bool) []string {
	runs := make(map[string][]platformtest.Run)
	for _, n := range c.nodes {
		for _, r := range n.upstream.Load().Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	violations := c.checkProxies()
	violations = append(violations, checkOutcomes(list, runs)...)
	if c.keys != nil {
		violations = append(violations, c.checkKeys(list, runs)...)
	}
	violations = append(violations, c.checkLimits()...)
	violations = append(violations, checkLeaving(list, runs)...)
	violations = append(violations, c.checkDepartures(list, safetyOnly)...)
	if !safetyOnly {
		violations = append(violations, c.checkDrains()...)
		violations = append(violations, c.checkRoutes()...)
		violations = append(violations, checkRecovery(list, recoveredAt)...)
		violations = append(violations, c.checkExits()...)
		if c.stops {
			violations = append(violations, c.checkUnanswered(list)...)
		}
	}
	if c.stops {
		ran := c.endedRuns()
		violations = append(violations, c.checkStops(list, ran)...)
		violations = append(violations, c.checkAbandoned(list, ran)...)
	}
	if planned(faults) {
		violations = append(violations, checkInterrupted(list, runs)...)
	}
	return violations
}

// checkProxies reports proxies that have stopped, as they do if a run of many nodes uses up the
// file descriptors of this process.
func (c *cluster) checkProxies() []string {
	var violations []string
	for _, n := range c.nodes {
		if err := n.link.acceptErr.Load(); err != nil {
			violations = append(violations, fmt.Sprintf("soak test error: the proxy of %s stopped: %v", n.name, *err))
		}
	}
	return violations
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

// checkOutcomes compares what callers observed with what upstreams ran.
func checkOutcomes(list []outcome, runs map[string][]platformtest.Run) []string {
	var violations []string
	sent := make(map[string]outcome, len(list))
	for _, o := range list {
		sent[o.id] = o
		ran := runs[o.id]
		switch {
		case o.wrongBody != "":
			violations = append(violations, fmt.Sprintf("foreign or truncated response body: request %s got %s", o.id, o.wrongBody))
		case o.route == "a" && len(ran) > 1:
			violations = append(violations, fmt.Sprintf("ran twice: request %s", o.id))
		case o.status == http.StatusServiceUnavailable && len(ran) > 0 && o.route == "a":
			violations = append(violations, fmt.Sprintf("told not run, and ran: request %s", o.id))
		case o.status == http.StatusNotFound:
			violations = append(violations, fmt.Sprintf("route denied: request %s", o.id))
		case o.status == http.StatusOK && len(ran) == 0:
			violations = append(violations, fmt.Sprintf("success without a run: request %s", o.id))
		}
	}
	for id, list := range runs {
		o, ok := sent[id]
		if !ok && !strings.HasPrefix(id, "check-") {
			violations = append(violations, fmt.Sprintf("ran unasked: request %s", id))
			continue
		}
		for _, r := range list {
			if ok && (r.Body != platformtest.SummariseBody(o.body()) || r.Path != "/"+o.route+"/x") {
				violations = append(violations, fmt.Sprintf("ran with a changed path or body: request %s with %s %q", id, r.Path, r.Body))
			}
		}
	}
	return violations
}

// checkDrains finds requests that reached a draining upstream more than drainBound after its
// drain was acknowledged.
func (c *cluster) checkDrains() []string {
	var violations []string
	for _, n := range c.nodes {
		at := n.drainAcknowledged.Load()
		if at == 0 {
			continue
		}
		bound := time.Unix(0, at).Add(drainBound)
		for _, r := range n.upstream.Load().Runs() {
			if r.At.After(bound) {
				violations = append(violations, fmt.Sprintf("draining upstream of %s ran request %s %v after the bound", n.name, r.ID, r.At.Sub(bound)))
				break
			}
		}
	}
	return violations
}

// checkRoutes sends a request for each route that was ever added to each node.
func (c *cluster) checkRoutes() []string {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var violations []string
	for _, n := range c.nodes {
		for _, route := range c.routes {
			if o := send(client, n, outcome{id: "check-" + n.name + route, route: route}); o.status == http.StatusNotFound || o.status == 0 {
				violations = append(violations, fmt.Sprintf("configuration %d is not active at %s: route %s got %d", c.version, n.name, route, o.status))
			}
		}
	}
	return violations
}

// checkRecovery requires that nearly all requests sent after the recovery are served.
func checkRecovery(list []outcome, recoveredAt time.Time) []string {
	var sent, served int
	for _, o := range list {
		if o.sentAt.After(recoveredAt) && o.key == "" {
			sent++
			if o.status == http.StatusOK {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < minServedFraction*float64(sent) {
		return []string{fmt.Sprintf("not recovered: %d of %d requests served after the faults", served, sent)}
	}
	return nil
}

// checkInterrupted finds requests that planned work interrupted after a node had forwarded them.
// A request that crosses the closing of an idle connection is not read by the
// server (RFC 9112, section 9.6) and does not count.
func checkInterrupted(list []outcome, runs map[string][]platformtest.Run) []string {
	var violations []string
	for _, o := range list {
		if o.truncated || o.connected && o.status == 0 && len(runs[o.id]) > 0 {
			violations = append(violations, fmt.Sprintf("cut by planned work: request %s sent at %s", o.id, o.sentAt.Format(time.RFC3339Nano)))
		}
	}
	return violations
}
