// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/caller"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/gate"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

const (
	// requestLinesPerSecond and callLinesPerSecond bound the log lines on callers'
	// requests and on calls that failed at the gate. Under overload every request
	// would write some; suppressed lines are counted.
	requestLinesPerSecond = 200
	callLinesPerSecond    = 100
	// serverLinesPerSecond bounds the lines that the HTTP servers log themselves.
	serverLinesPerSecond = 10
	// successesPerLine is the number of successful requests for each one that is
	// logged.
	successesPerLine = 100
)

// requestEnded counts a request. It logs a failed request with its steps, and one of
// successesPerLine successful ones.
func (n *Node) requestEnded(o caller.Outcome) {
	n.metrics.requestEnded(o, n.phase())
	if o.Failure == nil && n.successCount.Add(1)%successesPerLine != 0 {
		return
	}
	if !n.lineLimit.Allow("request", requestLinesPerSecond, 1+len(o.Steps)) {
		return
	}
	for _, s := range o.Steps {
		n.logStep(o.ID, s)
	}
	v, cause := verdict.Ran.String(), ""
	if o.Failure != nil {
		v, cause = o.Failure.Verdict().String(), string(o.Failure.Cause)
	}
	e := n.Log.Info().Str("requestId", o.ID).Str("route", o.Route).Str("service", o.Service).Str("class", o.Class).Str("organisation", o.Organisation).Str("method", o.Method).Str("path", o.Path).
		Int("status", o.Status).Str("verdict", v).Str("cause", cause).Int("tries", o.Attempts).Dur("tookMs", o.Duration).Uint64("version", n.version()).Stringer("print", o.Fingerprint)
	if o.Failure != nil {
		e = e.Str("by", string(verdict.Lookup(o.Failure.Cause).EndedBy)).Str("phase", string(n.phase()))
		e = n.withStall(e, o.Duration)
	}
	if o.Failure != nil && o.Failure.RetryAfter > 0 {
		e = e.Dur("retryAfterMs", o.Failure.RetryAfter)
	}
	if o.Failure != nil && o.Failure.Err != nil {
		e = e.AnErr("reason", o.Failure.Err)
	}
	if o.BodyBytes > 0 {
		e = e.Int64("bodyBytes", o.BodyBytes).Dur("bodyInMs", o.BodyReceiveTime).Dur("bodyArrivedMs", o.TransferTime).Dur("waitedMs", o.QueueTime)
	}
	e.Msg("request ended")
}

// withStall adds the longest stall of this process within the last span to a log event, if
// there was one.
func (n *Node) withStall(e *zerolog.Event, span time.Duration) *zerolog.Event {
	if stalled := n.stalls.LongestDelay(time.Now().Add(-span)); stalled > 0 {
		return e.Dur("stalledMs", stalled)
	}
	return e
}

// logStep logs one step of a request.
func (n *Node) logStep(id string, s entry.Step) {
	e := n.Log.Info().Str("requestId", id).Dur("afterMs", s.After)
	switch s.Event {
	case entry.EventSent:
		e = e.Str("to", s.Node).Str("load", fmt.Sprintf("%.1f/%d", s.Candidate.Load, s.Candidate.Slots)).
			Float64("slowdown", s.Candidate.Slowdown).Float64("failing", s.Candidate.FailureRatio).Dur("serviceMs", s.Candidate.ServiceTime).Dur("reportAgeMs", s.Age)
		if s.Canary {
			e = e.Bool("trial", true)
		}
		if s.Candidate.TransferTime > 0 {
			e = e.Dur("transferMs", s.Candidate.TransferTime)
		}
	case entry.EventSilent:
		e = e.Str("to", s.Node)
	case entry.EventResponseHeld:
		e = e.Str("from", s.Node).Int("status", http.StatusInternalServerError)
	case entry.EventFailed:
		e = e.Str("to", s.Node).Str("cause", string(s.Cause)).AnErr("reason", s.Err)
	}
	e.Msg("request " + string(s.Event))
}

// callFailed logs a call to which the gate gave no response of the upstream.
func (n *Node) callFailed(c *peer.Call, from string, failure *verdict.Error, load admit.Report, waited, took time.Duration) {
	if !n.lineLimit.Allow("call", callLinesPerSecond, 1) {
		return
	}
	name := n.fieldNames().RequestID
	id := ""
	for _, f := range c.Header {
		if f.Name == name {
			id = f.Value
		}
	}
	e := n.withStall(n.Log.Info().Dur("waitedMs", waited).Dur("tookMs", took), took)
	if load.Limited {
		e = e.Float64("limit", load.Limit).Float64("limitUsed", load.LimitUsed).Dur("freeMs", load.LimitWait)
	}
	e.Str("requestId", id).Str("from", from).Str("class", c.Class).Str("organisation", c.Organisation).Str("target", c.Target).Stringer("print", c.Fingerprint).Int("try", c.Attempt).Str("cause", string(failure.Cause)).Str("verdict", failure.Verdict().String()).
		Int("running", load.Running).Int("waiting", load.Waiting).Int("organisations", load.WaitingOrganisations).Int("allowed", load.Allowed).Float64("slowdown", load.Slowdown).Float64("pace", load.MinSlowdown).Dur("restMs", load.SlowRemaining).Float64("failing", load.FailureRatio).Bool("draining", load.Draining).Dur("retryAfterMs", failure.RetryAfter).AnErr("reason", failure.Err).Msg("call not answered")
}

// callEnded counts a call to the upstream.
func (n *Node) callEnded(service, class string, failure *verdict.Error, waited, took time.Duration) {
	n.callCount.Add(1)
	n.metrics.callEnded(service, class, failure, waited, took)
}

// noticeLinesPerSecond bounds the log lines on the upstream's notices: its advertised limit, and
// that it is leaving. An upstream may change its notice with each response.
const noticeLinesPerSecond = 5

// noticeChanged logs a change of the upstream's notice, with the number of requests and health
// checks that the upstream has been sent so far.
func (n *Node) noticeChanged(s gate.NoticeState) {
	n.metrics.set.GetOrCreateCounter(`sassafras_upstream_notices_total`).Inc()
	if !n.lineLimit.Allow("notice", noticeLinesPerSecond, 1) {
		return
	}
	e := n.Log.Info().Str("start", s.StartID).Bool("limited", s.Limit.Limited).Bool("leaving", s.Leaving).Uint64("requests", n.gate.RequestsWritten()).Uint64("questions", n.healthChecks.Load()).Int("written", s.Limit.Written).Uint64("refused", s.Limit.Refused)
	if s.Limit.Limited {
		e = e.Float64("limit", s.Limit.Rate).Bool("fromPeers", s.Limit.Adopted)
	}
	e.Msg("upstream notice")
}

// noticeInvalid counts and logs a notice of the upstream that can't be parsed.
func (n *Node) noticeInvalid(startID string, reason error) {
	n.metrics.set.GetOrCreateCounter(`sassafras_upstream_notices_unreadable_total`).Inc()
	if n.lineLimit.Allow("unreadable", noticeLinesPerSecond, 1) {
		n.Log.Warn().Str("start", startID).Err(reason).Msg("upstream notice not used")
	}
}

// callPanicked counts and logs a panic in the handling of a call.
func (n *Node) callPanicked(c *peer.Call, value any, stack []byte) {
	n.metrics.set.GetOrCreateCounter(`sassafras_panics_total{part="gate"}`).Inc()
	if n.lineLimit.Allow("panic", invalidLinesPerSecond, 1) {
		n.Log.Error().Str("target", c.Target).Stringer("print", c.Fingerprint).Interface("value", value).Bytes("stack", stack).Msg("call panicked")
	}
}

// upstreamCrashed reports the crash of the upstream to all nodes, with the requests that were in
// flight. If the request that was isolated is blocked now, it stores the block on the platform.
func (n *Node) upstreamCrashed(a *upstream.Announcement, fingerprints []quarantine.Fingerprint, isolated quarantine.Fingerprint) {
	n.Log.Warn().Str("address", a.Address).Str("start", a.StartID).Int("requests", len(fingerprints)).Stringers("prints", stringers(fingerprints)).Bool("isolated", isolated.Complete()).Msg("upstream crashed")
	start := n.Settings.Node + "/" + a.StartID + "/" + strconv.FormatInt(a.StartMillis, 10)
	if len(fingerprints) == 0 {
		return
	}
	n.control.Report(quarantine.NewCrashReport(start, fingerprints, isolated))
	assessment := n.suspects.Assess(isolated)
	if assessment.State != quarantine.Blocked {
		return
	}
	n.Log.Warn().Stringer("print", isolated).Strs("upstreams", assessment.Upstreams).Time("until", assessment.BlockedUntil).Msg("request blocked")
	if n.blocklist != nil {
		go n.blocklist.Save(context.Background(), assessment)
	}
}

func stringers(fingerprints []quarantine.Fingerprint) []fmt.Stringer {
	list := make([]fmt.Stringer, len(fingerprints))
	for i, p := range fingerprints {
		list[i] = p
	}
	return list
}

// version returns the version of the active configuration, or 0 if there is none.
func (n *Node) version() uint64 {
	if t := n.control.Snapshot().Table; t != nil {
		return t.Version
	}
	return 0
}

// linesSuppressed logs how many lines of a kind were suppressed in the last second.
func (n *Node) linesSuppressed(kind string, count int) {
	n.metrics.set.GetOrCreateCounter(fmt.Sprintf("sassafras_log_lines_left_out_total{kind=%q}", kind)).Add(count)
	n.Log.WithLevel(zerolog.WarnLevel).Str("kind", kind).Int("count", count).Msg("log lines left out")
}
