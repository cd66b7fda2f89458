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
	// Tracer starts a span for each call and one for each upstream request.
	Tracer trace.Tracer
	// Started is when the process started.
	Started time.Time
	// Names are the header fields that the upstream uses.
	Names upstream.FieldNames
	// Weight, if not nil, returns the weight of an organisation when slots are shared among
	// several.
	Weight func(organisation string) float64
	// UpstreamUnreachable, if not nil, is called when a call shows that the announced upstream
	// is not running there: it can't be reached, or another upstream has its address.
	UpstreamUnreachable func(a *upstream.Announcement, failure *verdict.Error)
	// ProbeLoad, if not nil, requests the upstream's current speed. It returns when the
	// upstream has responded, or after a short timeout.
	ProbeLoad func(ctx context.Context)
	// BroadcastReport, if not nil, sends a report to all nodes that send calls here. It is
	// called when the upstream's speed has changed.
	BroadcastReport func(*peer.Report)
	// LinkLoad, if not nil, returns the rate at which bodies arrive at this node, as in peer.Server.
	LinkLoad func() (rate float64, backlog int)
	// Reports decides which nodes get a load report with a response. Nil means that none does.
	Reports *watch.Pacer[string]
	// CallFailed, if not nil, is called with each call that ends without a response, with the
	// load at that moment, the wait for a slot and the duration of the whole call.
	CallFailed func(c *peer.Call, from string, failure *verdict.Error, load admit.Report, waited, took time.Duration)
	// Panicked, if not nil, is called with the stack when the handling of a call panics.
	Panicked func(c *peer.Call, value any, stack []byte)
	// Quarantine, if not nil, holds the requests suspected of crashing upstreams.
	Quarantine *quarantine.Index
	// SuspectCleared, if not nil, is called when a suspected request has completed.
	SuspectCleared func(suspect quarantine.Fingerprint)
	// UpstreamCrashed, if not nil, is called when an upstream has ended without draining or
	// leaving, with the requests that it may have crashed on and with the isolated one among
	// them, or zero. Requests that the upstream completes all the time are left out. It is not
	// called if no request was in flight.
	UpstreamCrashed func(a *upstream.Announcement, suspects []quarantine.Fingerprint, isolated quarantine.Fingerprint)
	// BodyReceived, if not nil, is called when the body of a call that was sent ahead of its
	// admission has arrived.
	BodyReceived func(service, class string, bytes int64, took time.Duration)
	// RequestCompleted, if not nil, is called with each request that the upstream has completed or
	// failed, with whether it failed it and how long that took.
	RequestCompleted func(class string, failed bool, took time.Duration)
	// NoticeChanged, if not nil, is called when the upstream has changed its advertised limit
	// or has said that it leaves. NoticeInvalid, if not nil, is called when such a
	// notice can't be parsed.
	NoticeChanged func(NoticeState)
	NoticeInvalid func(startID string, reason error)
	// UpstreamLeaving, if not nil, is called when a start of an upstream has said that it leaves.
	UpstreamLeaving func(startID string, startMillis int64)
	// CallEnded, if not nil, is called at the end of each call.
	CallEnded func(service, class string, failure *verdict.Error, waited, took time.Duration)

	admit      admit.Gate
	sendLimit  coldstart.Limiter
	current    atomic.Pointer[binding]
	isolatedMu sync.Mutex // held while an isolated request runs
	responses  quarantine.ResponseCounter
	written    atomic.Uint64 // requests written so far

	mu        sync.Mutex
	service   *operator.Service // active configuration of the announced service
	latest    *upstream.Announcement
	draining  bool // whether Drain has been called
	evacuated bool // whether the zone is evacuated
	// versionWithheld is whether the upstream's version must not be used.
	versionWithheld  bool
	reportedSlowdown float64 // slowdown that was broadcast last
	// noticeLeaving is whether the upstream has said in its responses that it leaves, and
	// noticeLeavingSince when it first did. healthReportsLimits is whether its responses
	// to probes advertise limits.
	noticeLeaving       bool
	noticeLeavingSince  time.Time
	healthReportsLimits bool
	limitReportedAt     time.Time // when a changed limit was last broadcast

	firstStartChecked bool // whether checkFirstStart has decided

	unsent  map[*unsent]struct{}           // calls that have been admitted and not been written
	uploads map[*peer.InboundCall]struct{} // calls with a slot whose bodies may still be being sent
}

// binding is the upstream to which requests are sent.
type binding struct {
	announcement *upstream.Announcement
	transport    *upstream.Transport
	start        *start
}

// matches returns whether the binding is for the same start of an upstream as a, at the same
// address.
func (b *binding) matches(a *upstream.Announcement) bool {
	o := b.announcement
	return o.SameStart(a) && o.Address == a.Address
}

// SetAnnouncement records an announcement, or its withdrawal if a is nil.
func (g *Gate) SetAnnouncement(a *upstream.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.cancelUnsent()
	old := g.current.Load()
	if a == nil {
		g.current.Store(nil)
		if g.latest != nil && g.latest.StartID == "" {
			g.resetNotices() // the next start can't be distinguished from this one
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
			go g.BroadcastReport(g.Report()) // peers still use the load of the former start
		}
	}
}

// bind returns the binding for an announcement. It keeps the connections of the old binding if
// that is for the same start at the same address.
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
		NoticeReceived: func(n upstream.Notice) {
			if g.isCurrent(b) { // another start may have the same ID
				g.HandleNotice(a.StartID, n)
			}
		},
		Permit: g.permit,
	}
	return b
}

// reportRatio is the ratio of slowdowns above which a change of speed is broadcast at once.
const reportRatio = 1.3

// ObserveLoad records the load that the upstream reports.
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
		go func() { g.BroadcastReport(g.Report()) }() // responses wait for ObserveLoad
	}
}

// Configure sets the active configuration of the announced service, or nil if there is none.
func (g *Gate) Configure(s *operator.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service = s
	g.updateLimits()
}

// updateLimits sets the limits from the announcement and the configuration. The lock is held.
func (g *Gate) updateLimits() {
	b := g.current.Load()
	limits := admit.Limits{}
	if b != nil && g.service != nil {
		limits = limitsOf(*g.service).WithSlots(g.usableSlots(b.announcement))
		limits.Weight = g.Weight
		g.admit.ColdLimiter.SetLimit(g.service.Cold.MaxAdmittedPerSecond)
		g.sendLimit.SetLimit(g.service.Cold.MaxSentPerSecond)
		g.checkFirstStart()
	}
	g.admit.SetLimits(limits)
	if g.draining || g.evacuated || g.versionWithheld || g.noticeLeaving || b != nil && b.announcement.Draining {
		g.admit.Drain()
	} else {
		g.admit.Resume()
	}
}

// usableSlots returns how many requests the upstream may run at once.
func (g *Gate) usableSlots(a *upstream.Announcement) int {
	slots := min(a.Slots, a.Connections)
	if fraction := g.service.Queue.SlotFraction; fraction > 0 {
		slots = max(1, int(fraction*float64(slots)))
	}
	return slots
}

// limitsOf returns the admission limits of a configured service, without slots.
func limitsOf(s operator.Service) admit.Limits {
	classes := make([]admit.Class, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = admit.Class{
			Name:      c.Name,
			Weight:    c.Weight,
			MaxShare:  c.MaxShare,
			Priority:  c.Priority,
			MaxWait:   c.MaxWait.Std(),
			Objective: c.Objective.Std(),
		}
	}
	return admit.Limits{
		QueueLength:   s.Queue.MaxLength,
		QueueWait:     s.Queue.MaxWait.Std(),
		SlowStart:     s.Queue.SlowStart.Std(),
		HoldWhileSlow: s.Queue.HoldWhileSlow,
		Adaptive:      s.Queue.Adaptive == nil || *s.Queue.Adaptive,
	}.WithClasses(classes...)
}

// Drain refuses all new calls from now on. The returned channel is closed once no request runs
// at the upstream.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	return g.admit.Drain()
}

// Serve handles one call from a peer.
func (g *Gate) Serve(in *peer.InboundCall) {
	began := time.Now()
	ctx := tracing.Extract(in.Context(), &tracing.FieldCarrier{List: in.Call.Header})
	ctx, span := g.Tracer.Start(ctx, "gate", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("sassafras.service", in.Call.Service), attribute.Int("sassafras.try", in.Call.Attempt), attribute.String("sassafras.entry", in.From.Node))
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
	tracing.EndSpan(span, c.status, failure)
	if g.CallEnded != nil {
		g.CallEnded(in.Call.Service, in.Call.Class, failure, c.waited, time.Since(began))
	}
}

const (
	// maxSpeedAge is how old the upstream's last reported speed may be when a request is sent
	// to it. The speed at the start of a request holds for all of it, and changes several
	// times a second.
	maxSpeedAge = 15 * time.Millisecond
	// propagationTime is how long senders may not know about a slowdown: the one-way delay of
	// the report, plus that of a call sent before the report arrived.
	propagationTime = 10 * time.Millisecond
)

// showsUnreachable returns whether a failure shows that the announced upstream is not there:
// it could not be reached, and not because the call had been cancelled.
func showsUnreachable(failure *verdict.Error) bool {
	switch failure.Cause {
	case verdict.WrongUpstream:
		return true
	case verdict.UpstreamDialFailed:
		return errors.Is(failure, upstream.ErrUnreachable) && !errors.Is(failure, context.Canceled)
	}
	return false
}

// handleSendFailure acts on a failure that may show that the upstream has ended.
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
