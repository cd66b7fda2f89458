// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/coldstart"
	"sassafrasfront.example/internal/tracing"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
	"sassafrasfront.example/watch"
)

// Gate runs calls at the upstream beside this node. The exported fields are set
// before the first call.
type Gate struct {
	// Tracer makes a span for each call and one for each upstream request.
	Tracer trace.Tracer
	// Started is when the process started.
	Started time.Time
	// Names are the header fields that the upstream uses.
	Names upstream.FieldNames
	// Weight, if not nil, returns the part of the slots that an organisation gets beside
	// others.
	Weight func(organisation string) float64
	// Failed, if not nil, is called when a call shows that the announced upstream
	// is not there: it can't be reached, or another has its address.
	UpstreamUnreachable func(a *upstream.Announcement, failure *verdict.Error)
	// Ask, if not nil, asks the upstream for its present speed and returns when it
	// has answered, or soon in any case.
	ProbeLoad func(ctx context.Context)
	// Tell, if not nil, sends a report to all nodes that send calls here. It is
	// called when the upstream's speed has changed.
	BroadcastReport func(*peer.Report)
	// Inflow, if not nil, returns how fast bodies come in to this node, as in peer.Server.
	Inflow func() (rate float64, backlog int)
	// Reports says when a load report goes to which node. Nil means never.
	Reports *watch.Pacer[string]
	// Refused, if not nil, is called with each call that ends without an answer,
	// with the load at that moment, how long it waited for a slot and how long all took.
	CallFailed func(c *peer.Call, from string, failure *verdict.Error, load admit.Report, waited, took time.Duration)
	// Panicked, if not nil, is called when the handling of a call panics, with the stack.
	Panicked func(c *peer.Call, value any, stack []byte)
	// Quarantine, if not nil, knows the requests that end upstreams.
	Quarantine *quarantine.Index
	// Cleared, if not nil, is called when a suspected request has run to its end.
	SuspectCleared func(suspect quarantine.Fingerprint)
	// Gone, if not nil, is called when an upstream has ended without leave, with the
	// requests that it may have ended under, without those that are answered there all
	// the time, and the one of them that was isolated and never answered, or zero. It is
	// not called where no request was at hand.
	UpstreamCrashed func(a *upstream.Announcement, suspects []quarantine.Fingerprint, isolated quarantine.Fingerprint)
	// Received, if not nil, is called when the body of a call that was sent ahead of its
	// admission is there.
	BodyReceived func(service, class string, bytes int64, took time.Duration)
	// Ran, if not nil, is called with each request that the upstream has answered or failed,
	// with whether it failed it and how long that took.
	RequestCompleted func(class string, failed bool, took time.Duration)
	// Noticed, if not nil, is called when what the upstream says of the requests that it wants
	// has changed, and Unreadable with why that can't be read.
	NoticeChanged func(NoticeState)
	NoticeInvalid func(startID string, reason error)
	// Left, if not nil, is called when a start of an upstream has said that it leaves.
	UpstreamLeaving func(startID string, startMillis int64)
	// Ended, if not nil, is called at the end of each call.
	CallEnded func(service, class string, failure *verdict.Error, waited, took time.Duration)

	admit      admit.Gate
	sendLimit  coldstart.Limiter
	current    atomic.Pointer[binding]
	isolatedMu sync.Mutex // held by the isolated request that runs
	answers    quarantine.AnswerCounter
	written    atomic.Uint64 // requests, so far

	mu        sync.Mutex
	service   *operator.Service // in force for the announced service
	latest    *upstream.Announcement
	draining  bool // whether the node leaves
	evacuated bool // whether the zone is evacuated
	// withheld is whether the upstream's version is not to be used.
	versionWithheld  bool
	reportedSlowdown float64 // the slowdown told last
	// departing is whether the upstream has said in its answers that it leaves, departed since
	// when, and healthNames whether the answers of its health check name limits.
	noticeLeaving       bool
	noticeLeavingSince  time.Time
	healthReportsLimits bool
	limitReportedAt     time.Time // when peers were told of a changed limit

	firstStartChecked bool // whether firstStart has found out what it is for
}

// binding is the upstream that requests go to.
type binding struct {
	announcement *upstream.Announcement
	transport    *upstream.Transport
	start        *start // of the upstream
}

// serves returns whether the binding is for the same start of an upstream, reached
// in the same way, as a is.
func (b *binding) matches(a *upstream.Announcement) bool {
	o := b.announcement
	return o.SameStart(a) && o.Address == a.Address
}

// Announce takes in an announcement, or the withdrawal of one if a is nil.
func (g *Gate) SetAnnouncement(a *upstream.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.current.Load()
	if a == nil {
		g.current.Store(nil)
		if g.latest != nil && g.latest.StartID == "" {
			g.resetNotices() // the next one can't be told from it
		}
		g.updateLimits()
		return
	}
	b := g.bind(old, a)
	g.current.Store(b)
	first := g.latest == nil
	restarted := first || !g.latest.SameStart(a)
	if restarted && !first {
		g.resetNotices()
	}
	g.updateLimits()
	g.latest = a
	if old != nil && old.transport != b.transport {
		if old.start != b.start {
			old.transport.ProbeBusyConns()
			g.handleReplaced(old)
		}
		old.transport.Resize(old.announcement.Connections, 0)
	}
	if restarted {
		g.initCold(a, first)
		g.admit.Restart()
		g.reportedSlowdown = 0
		if g.BroadcastReport != nil {
			go g.BroadcastReport(g.Report()) // peers go by what the start before has told
		}
	}
}

// bind returns the binding for an announcement, which keeps the connections of the
// one before if it is for the same start.
func (g *Gate) bind(old *binding, a *upstream.Announcement) *binding {
	b := &binding{announcement: a}
	if old != nil && old.announcement.SameStart(a) {
		b.start = old.start
	} else {
		b.start = new(start)
	}
	b.start.draining.Store(a.Draining)
	if old != nil && old.matches(a) {
		b.transport = old.transport
		b.transport.Resize(a.Connections, min(a.Slots, a.Connections))
		return b
	}
	b.transport = &upstream.Transport{
		Addr:         a.Address,
		MaxConns:     a.Connections,
		MaxIdleConns: min(a.Slots, a.Connections),
		Names:        g.Names.OrDefault(),
		LoadReported: func(l upstream.Load) {
			if g.isCurrent(b) {
				g.ObserveLoad(l)
			}
		},
		NoticeReceived: func(n upstream.Notice) { g.HandleNotice(a.StartID, n) },
		Permit:         g.permit,
	}
	return b
}

// tellRatio is the change of the upstream's speed from which it is told at once.
const reportRatio = 1.3

// Observe takes in the load that the upstream tells.
func (g *Gate) ObserveLoad(l upstream.Load) {
	g.admit.ObserveSlowdown(l.Slowdown)
	if g.BroadcastReport == nil {
		return
	}
	g.mu.Lock()
	reported := max(g.reportedSlowdown, 1)
	changed := l.Slowdown > reported*reportRatio || l.Slowdown < reported/reportRatio
	if changed {
		g.reportedSlowdown = l.Slowdown
	}
	g.mu.Unlock()
	if changed {
		go func() { g.BroadcastReport(g.Report()) }() // answers wait for Observe
	}
}

// Configure takes in the configuration in force for the announced service, or
// nil if there is none.
func (g *Gate) Configure(s *operator.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service = s
	g.updateLimits()
}

// update sets the limits from the announcement and the configuration.
func (g *Gate) updateLimits() {
	b := g.current.Load()
	limits := admit.Limits{}
	if b != nil && g.service != nil {
		limits = limitsOf(*g.service).WithSlots(g.usableSlots(b.announcement))
		limits.Weight = g.Weight
		g.admit.ColdLimiter.SetLimit(g.service.Cold.Pace)
		g.sendLimit.SetLimit(g.service.Cold.Most)
		g.checkFirstStart()
	}
	g.admit.SetLimits(limits)
	if g.draining || g.evacuated || g.versionWithheld || g.noticeLeaving || b != nil && b.announcement.Draining {
		g.admit.Drain()
	} else {
		g.admit.Resume()
	}
}

// usableSlots returns how many requests the upstream is given at once.
func (g *Gate) usableSlots(a *upstream.Announcement) int {
	slots := min(a.Slots, a.Connections)
	if share := g.service.Queue.SlotShare; share > 0 {
		slots = max(1, int(share*float64(slots)))
	}
	return slots
}

// limitsOf returns the limits that a service is configured to have.
func limitsOf(s operator.Service) admit.Limits {
	classes := make([]admit.Class, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = admit.Class{
			Name:      c.Name,
			Weight:    c.Weight,
			MaxShare:  c.MaxShare,
			Priority:  c.Priority,
			MaxWait:   c.Wait.Std(),
			Objective: c.Objective.Std(),
		}
	}
	return admit.Limits{
		QueueLength:   s.Queue.Length,
		QueueWait:     s.Queue.Wait.Std(),
		SlowStart:     s.Queue.SlowStart.Std(),
		HoldWhileSlow: s.Queue.Hold,
		Adaptive:      s.Queue.Adaptive == nil || *s.Queue.Adaptive,
	}.WithClasses(classes...)
}

// Leave refuses all new calls from now on. The returned channel is closed once
// no request runs at the upstream.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	return g.admit.Drain()
}

// Serve handles one call from a peer.
func (g *Gate) Serve(in *peer.Inbound) {
	began := time.Now()
	ctx := tracing.Extract(in.Context(), &tracing.Fields{List: in.Call.Header})
	ctx, span := g.Tracer.Start(ctx, "gate", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("sassafras.service", in.Call.Service), attribute.Int("sassafras.try", in.Call.Try), attribute.String("sassafras.entry", in.From.Node))
	}
	g.adoptNotice(in.Call.Notice)
	c := &call{
		gate: g,
		in:   in,
	}
	failure := c.runRecovered(ctx)
	if failure != nil {
		in.Notice = g.peerNotice()
		in.Fail(failure, g.reportFor(in.From.Node))
		if g.CallFailed != nil {
			g.CallFailed(in.Call, in.From.Node, failure, g.admit.Report(), c.waited, time.Since(began))
		}
	}
	tracing.End(span, c.status, failure)
	if g.CallEnded != nil {
		g.CallEnded(in.Call.Service, in.Call.Class, failure, c.waited, time.Since(began))
	}
}

const (
	// freshSpeed is how old the upstream's last word on its speed may be when a
	// request is sent to it. Its speed at the start of a request holds for all of
	// it, and changes several times a second.
	maxSpeedAge = 15 * time.Millisecond
	// newsTime is how long senders may not know of a slowdown: a one-way delay, and
	// that of a call that crosses the news.
	propagationTime = 10 * time.Millisecond
)

// tellsOfAbsence returns whether a failure shows that the announced upstream is not there:
// it could not be reached, and not for the reason that the call ended before.
func showsUnreachable(failure *verdict.Error) bool {
	switch failure.Cause {
	case verdict.WrongUpstream:
		return true
	case verdict.UpstreamDialFailed:
		return errors.Is(failure, upstream.ErrUnreachable) && !errors.Is(failure, context.Canceled)
	}
	return false
}

// sendFailed tells of a failure that shows the upstream to be gone.
func (g *Gate) handleSendFailure(b *binding, failure *verdict.Error) {
	switch {
	case failure.Cause == verdict.UpstreamLost:
		b.start.lostRequest.Store(true)
		if g.isCurrent(b) {
			go g.checkAlive(b)
		} else {
			g.reportCrash(b)
		}
	case failure.Cause == verdict.WrongUpstream || errors.Is(failure, syscall.ECONNREFUSED):
		g.reportCrash(b)
	}
	if g.UpstreamUnreachable != nil && showsUnreachable(failure) {
		g.UpstreamUnreachable(b.announcement, failure)
	}
}
