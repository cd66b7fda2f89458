// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/control"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/ratelimit"
	"sassafrasfront.example/rollout"
	"sassafrasfront.example/verdict"
	"sassafrasfront.example/watch"
)

// metricSet holds the node's metrics.
type metricSet struct {
	set           *metrics.Set
	traffic       peer.Counters // of calls to gates
	control       peer.Counters // of control requests to other nodes
	platformCalls func() uint64
}

// newMetricSet returns the metrics of n.
func newMetricSet(n *Node, reportBudget, controlBudget *watch.Budget) *metricSet {
	m := &metricSet{
		set:           metrics.NewSet(),
		platformCalls: func() uint64 { return 0 },
	}
	m.control.OnRequest = m.controlRequested
	gauge := m.gauge
	m.upstreamGauges(n)
	gauge(`sassafras_members`, func() float64 { return float64(n.control.Snapshot().Members) })
	gauge(`sassafras_representative`, func() float64 { return oneIf(n.control.IsRepresentative()) })
	gauge(`sassafras_table_age_seconds`, n.tableAgeSeconds)
	gauge(`sassafras_platform_era`, func() float64 { return float64(n.era()) })
	gauge(`sassafras_evacuated_zones`, func() float64 { return float64(len(n.control.Snapshot().Evacuated.Zones)) })
	for p := rollout.Trial; p <= rollout.RolledBack; p++ {
		gauge(fmt.Sprintf(`sassafras_rollouts{phase=%q}`, p), func() float64 { return float64(n.countRollouts(p)) })
	}
	m.rateLimitGauges(n)
	for _, s := range []quarantine.State{quarantine.SeenAtCrash, quarantine.Isolated, quarantine.Blocked} {
		gauge(fmt.Sprintf(`sassafras_suspected_requests{standing=%q}`, s), func() float64 { return float64(n.suspects.Count(s)) })
	}
	gauge(`sassafras_platform_calls_total`, func() float64 { return float64(m.platformCalls()) })
	for name, b := range map[string]*watch.Budget{"reports": reportBudget, "control": controlBudget} {
		gauge(fmt.Sprintf(`sassafras_watch_bytes_total{part=%q}`, name), func() float64 { return float64(b.Bytes.Load()) })
		gauge(fmt.Sprintf(`sassafras_watch_messages_total{part=%q}`, name), func() float64 { return float64(b.Messages.Load()) })
		gauge(fmt.Sprintf(`sassafras_watch_denied_total{part=%q}`, name), func() float64 { return float64(b.Denied.Load()) })
	}
	for name, c := range map[string]*peer.Counters{"traffic": &m.traffic, "control": &m.control} {
		gauge(fmt.Sprintf(`sassafras_peer_bytes_total{part=%q,direction="out"}`, name), func() float64 { return float64(c.BytesOut.Load()) })
		gauge(fmt.Sprintf(`sassafras_peer_bytes_total{part=%q,direction="in"}`, name), func() float64 { return float64(c.BytesIn.Load()) })
	}
	return m
}

// oneIf returns 1 if b holds, and 0 otherwise.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// gauge adds a gauge whose value f returns.
func (m *metricSet) gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// upstreamGauges adds gauges of the gate's upstream and of the bodies that arrive.
func (m *metricSet) upstreamGauges(n *Node) {
	gauge := m.gauge
	gauge(`sassafras_upstream_requests_total`, func() float64 { return float64(n.gate.RequestsWritten()) })
	gauge(`sassafras_upstream_questions_total`, func() float64 { return float64(n.healthChecks.Load()) })
	gauge(`sassafras_upstream_limited`, func() float64 { return oneIf(n.gate.LimitAdvertised()) })
	gauge(`sassafras_upstream_limit`, func() float64 { return n.gate.NoticeState().Limit.Rate })
	gauge(`sassafras_upstream_limit_used`, func() float64 { return n.gate.NoticeState().Limit.Used })
	gauge(`sassafras_upstream_limit_refused_total`, func() float64 { return float64(n.gate.NoticeState().Limit.Refused) })
	gauge(`sassafras_upstream_leaving`, func() float64 { return oneIf(n.gate.NoticeState().Leaving) })
	gauge(`sassafras_upstream_running`, func() float64 { return float64(n.gate.Load().Running) })
	gauge(`sassafras_upstream_waiting`, func() float64 { return float64(n.gate.Load().Waiting) })
	gauge(`sassafras_upstream_organisations_waiting`, func() float64 { return float64(n.gate.Load().WaitingOrganisations) })
	gauge(`sassafras_upstream_displaced_total`, func() float64 { return float64(n.gate.Load().Displaced) })
	gauge(`sassafras_upstream_allowed`, func() float64 { return float64(n.gate.Load().Allowed) })
	gauge(`sassafras_upstream_slowdown`, func() float64 { return n.gate.Load().Slowdown })
	gauge(`sassafras_upstream_pace`, func() float64 { return n.gate.Load().MinSlowdown })
	gauge(`sassafras_upstream_service_seconds`, func() float64 { return n.gate.Load().ServiceTime.Seconds() })
	gauge(`sassafras_body_rate_bytes`, func() float64 {
		rate, _ := n.peers.LinkLoad()
		return rate
	})
	gauge(`sassafras_body_backlog_bytes`, func() float64 {
		_, backlog := n.peers.LinkLoad()
		return float64(backlog)
	})
}

// rateLimitGauges adds gauges of the rate limits, which are 0 where there are none.
func (m *metricSet) rateLimitGauges(n *Node) {
	gauge := m.gauge
	limits := func() ratelimit.State {
		if n.rateLimiter == nil {
			return ratelimit.State{}
		}
		return n.rateLimiter.State()
	}
	gauge(`sassafras_quota_nodes`, func() float64 { return float64(limits().Nodes) })
	gauge(`sassafras_quota_share_held`, func() float64 { return limits().HeldFraction })
	gauge(`sassafras_quota_waiting`, func() float64 { return float64(limits().Waiting) })
	for name, f := range map[string]func(ratelimit.State) uint64{
		"answered":   func(s ratelimit.State) uint64 { return s.Responded },
		"unanswered": func(s ratelimit.State) uint64 { return s.Failed },
		"taken":      func(s ratelimit.State) uint64 { return s.Served },
	} {
		gauge(fmt.Sprintf(`sassafras_quota_exchanges_total{result=%q}`, name), func() float64 { return float64(f(limits())) })
	}
}

// controlRequested counts a control request to another node by its topic.
func (m *metricSet) controlRequested(topic string, sent, received int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_control_requests_total{topic=%q}`, topic)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_control_bytes_total{topic=%q,direction="out"}`, topic)).Add(sent)
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_control_bytes_total{topic=%q,direction="in"}`, topic)).Add(received)
}

// controlSilent counts a control connection that was found silent.
func (m *metricSet) controlSilent() {
	m.set.GetOrCreateCounter(`sassafras_control_silent_total`).Inc()
}

// platformCalled counts a call to the platform.
func (m *metricSet) platformCalled(call, kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_platform_calls_by_kind_total{call=%q,kind=%q}`, call, kind)).Inc()
}

// tableFetched counts an attempt to fetch a table of routes.
func (m *metricSet) tableFetched(f control.TableFetch) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_table_fetches_total{source=%q,outcome=%q}`, string(f.Source), f.Outcome())).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_table_fetch_bytes_total{source=%q,outcome=%q}`, string(f.Source), f.Outcome())).Add(int(f.Bytes))
}

// tableInForce records the time from the first notice of a table until it was in force.
func (m *metricSet) tableInForce(delay time.Duration) {
	m.set.GetOrCreateHistogram(`sassafras_table_delay_seconds`).Update(delay.Seconds())
}

// requestEnded counts a caller's request.
func (m *metricSet) requestEnded(o caller.Outcome, p phase) {
	v, cause := verdict.Ran, verdict.Cause("")
	if o.Failure != nil {
		v, cause = o.Failure.Verdict(), o.Failure.Cause
		m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_unanswered_requests_total{by=%q,cause=%q,phase=%q}`, verdict.Lookup(cause).EndedBy, string(cause), string(p))).Inc()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_requests_total{service=%q,class=%q,verdict=%q,cause=%q}`, o.Service, o.Class, v, string(cause))).Inc()
	if o.Failure != nil && o.Failure.RetryAfter > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sassafras_retry_after_seconds{service=%q,class=%q,cause=%q}`, o.Service, o.Class, string(cause))).Update(o.Failure.RetryAfter.Seconds())
	}
	if o.Service != "" {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sassafras_request_seconds{service=%q,class=%q}`, o.Service, o.Class)).Update(o.Duration.Seconds())
	}
	if o.BodyReceiveTime > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sassafras_body_seconds{service=%q,class=%q}`, o.Service, o.Class)).Update(o.BodyReceiveTime.Seconds())
	}
}

// callEnded counts a call at the gate.
func (m *metricSet) callEnded(service, class string, failure *verdict.Error, waited, took time.Duration) {
	cause := "none"
	if failure != nil {
		cause = string(failure.Cause)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_gate_calls_total{service=%q,class=%q,cause=%q}`, service, class, cause)).Inc()
	if failure == nil {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sassafras_gate_wait_seconds{service=%q,class=%q}`, service, class)).Update(waited.Seconds())
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sassafras_gate_seconds{service=%q,class=%q}`, service, class)).Update(took.Seconds())
	}
}

// addInFlightGauge adds a gauge of the callers' requests in flight.
func (m *metricSet) addInFlightGauge(h *caller.Handler) {
	m.gauge(`sassafras_requests_under_way`, func() float64 {
		open, _ := h.RequestCounts()
		return float64(open)
	})
}

// drained counts the requests that completed during a drain, and what was cut.
func (m *metricSet) drained(completed int, cut trafficCount) {
	m.set.GetOrCreateCounter(`sassafras_drain_total{part="requests",end="itself"}`).Add(completed)
	m.set.GetOrCreateCounter(`sassafras_drain_total{part="requests",end="cut"}`).Add(cut.requests)
	m.set.GetOrCreateCounter(`sassafras_drain_total{part="calls",end="cut"}`).Add(cut.calls)
}

// bodyReceived records that the body of a call has arrived at the gate.
func (m *metricSet) bodyReceived(service, class string, bytes int64, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`sassafras_gate_body_seconds{service=%q,class=%q}`, service, class)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_gate_body_bytes_total{service=%q,class=%q}`, service, class)).Add(int(bytes))
}

// dispatcherEvent counts what the dispatcher does for a request beyond the first attempt.
func (m *metricSet) dispatcherEvent(service string, e entry.Event) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafras_resends_total{service=%q,kind=%q}`, service, string(e))).Inc()
}
