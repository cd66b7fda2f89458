// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/operator"
)

// Announcement describes an upstream, as the upstream reports it. It is an immutable value.
type Announcement struct {
	// Service is the name of the service that the upstream belongs to.
	Service string `json:"service"`
	// Address is where it accepts requests, as an IP address and port.
	Address string `json:"address"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts. Zero means as many as Slots.
	Connections int `json:"connections"`
	// Version is the version of its software. It is empty if it is unknown or irrelevant.
	Version string `json:"version,omitempty"`
	// Draining reports whether it accepts no new requests.
	Draining bool `json:"draining"`
	// StartID identifies, together with StartMillis, one start of the upstream process. When
	// either changes, the upstream is considered cold.
	StartID string `json:"start"`
	// StartMillis is the time at which the process started by the upstream's clock, in
	// milliseconds since 1970. It is needed where an upstream may restart under the same
	// StartID. Zero means unknown.
	StartMillis int64 `json:"born,omitempty"`
	// ColdRemaining is how much longer the upstream stays slow after its start. Zero means
	// unknown.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// Sequence increases with each announcement of a start, so that a delayed one can be
	// recognised. Zero means that the announcements are not ordered.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Limits on the fields of an announcement and on its size in bytes.
const (
	maxSlots             = 10000
	maxConnections       = 100000
	maxAnnouncementBytes = 4 << 10
)

// Check returns the validation faults of a.
func (a Announcement) Check() operator.FieldErrors {
	f := operator.CheckName(a.Service)
	for i := range f {
		f[i].Field = "service"
	}
	check := func(ok bool, field, format string, args ...any) {
		if !ok {
			f = append(f, operator.FieldError{
				Field:   field,
				Message: fmt.Sprintf(format, args...),
			})
		}
	}
	host, _, err := net.SplitHostPort(a.Address)
	check(err == nil && net.ParseIP(host) != nil, "address", "%q is not an IP address and port", a.Address)
	check(a.Slots >= 1 && a.Slots <= maxSlots, "slots", "%d is not between 1 and %d", a.Slots, maxSlots)
	check(a.Connections >= 0 && a.Connections <= maxConnections, "connections", "%d is not between 0 and %d", a.Connections, maxConnections)
	check(a.StartMillis >= 0, "born", "%d is negative", a.StartMillis)
	return f
}

// SameStart returns whether a and b come from the same start of an upstream. If only one of
// them has a start time, only the StartIDs are compared.
func (a *Announcement) SameStart(b *Announcement) bool {
	return a.StartID == b.StartID && (a.StartMillis == b.StartMillis || a.StartMillis == 0 || b.StartMillis == 0)
}

// Announcements is the http.Handler with which the upstream registers itself, at
// /v1/upstream: PUT sets the announcement, GET returns the current one, and DELETE
// withdraws it. The exported fields are set before the first request.
type Announcements struct {
	// OnChange is called with each changed announcement, and with nil after a withdrawal.
	OnChange func(*Announcement)
	// StaleAfter is the time without an announcement after which the current start may have
	// ended. From then on an announcement with an earlier start time is accepted: the
	// upstream's clock may have been set back between the two starts. Zero means never.
	StaleAfter time.Duration
	// IsKnownService, if not nil, returns whether the service exists, as far as this node
	// knows.
	IsKnownService func(service string) bool
	// ColdReported, if not nil, is called with the remaining cold time of each announcement
	// that has one.
	ColdReported func(remaining time.Duration)
	// OnRejected, if not nil, is called with the reason why an announcement describes no usable
	// upstream.
	OnRejected func(reason error)
	// OnIgnored, if not nil, is called with each announcement that has no effect, and why.
	OnIgnored func(a *Announcement, reason string)
	// AwaitRecovery is whether announcements take effect only once Recover has been called.
	AwaitRecovery bool
	// RecordDeparture, if not nil, records that a start gets no more requests. It returns nil once
	// that outlives this process.
	RecordDeparture func(ctx context.Context, startID string, startMillis int64) error
	// FindRunning, if not nil, finds out which start of the upstream runs at the address of an
	// announcement. It is called where the announcements alone do not tell, as clocks may be set back
	// and announcements may be delayed.
	FindRunning func(ctx context.Context, a *Announcement) Running

	mu           sync.Mutex
	recovered    bool
	current      *Announcement
	lastReceived time.Time // when the last announcement of the current start arrived
	pastStarts   pastStarts
	// superseded holds, by StartID, the last announcements of the starts that were superseded by
	// another and had neither drained nor left.
	superseded map[string]*Announcement
}

// Check returns the validation faults of an announcement. An unknown service is one.
func (h *Announcements) Check(a *Announcement) operator.FieldErrors {
	f := a.Check()
	if h.IsKnownService != nil && !h.IsKnownService(a.Service) {
		f = append(f, operator.FieldError{
			Field:   "service",
			Message: fmt.Sprintf("%q is not a known service", a.Service),
		})
	}
	return f
}

// Current returns the current announcement, or nil if there is none or it has not taken effect.
func (h *Announcements) Current() *Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held() {
		return nil
	}
	return h.current
}

// held returns whether announcements do not take effect yet. The lock is held.
func (h *Announcements) held() bool { return h.AwaitRecovery && !h.recovered }

// Recover lets announcements take effect. The announcement that has arrived before is dropped if another
// start with its ID has departed: which of them runs is found out at the next announcement.
func (h *Announcements) Recover() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held() {
		return
	}
	h.recovered = true
	c := h.current
	if c == nil {
		return
	}
	if h.FindRunning != nil && h.pastStarts.hasOtherDeparted(c.StartID, c.StartMillis) {
		h.current = nil
		h.ignored(c, reasonUnknown)
		return
	}
	h.OnChange(c)
}

// setCurrent replaces the current announcement. The lock is held.
func (h *Announcements) setCurrent(a *Announcement) {
	h.current = a
	if !h.held() {
		h.OnChange(a)
	}
}

// ServeHTTP implements http.Handler.
func (h *Announcements) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		if a := h.Current(); a != nil {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(a)
			return
		}
		http.Error(w, "no upstream is announced", http.StatusNotFound)
	case http.MethodPut:
		h.put(w, r)
	case http.MethodDelete:
		h.Set(nil)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", "GET, PUT, DELETE")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (h *Announcements) put(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	a := new(Announcement)
	if err := d.Decode(a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if a.Connections == 0 {
		a.Connections = a.Slots
	}
	if f := h.Check(a); len(f) > 0 {
		http.Error(w, f.Error(), http.StatusUnprocessableEntity)
		return
	}
	if err := h.Announce(r.Context(), a); err != nil {
		http.Error(w, err.Error(), StatusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// The errors of announcements that are not acknowledged.
var (
	// ErrNotRunning is returned for a departure of a start that is not the one that runs: the start that
	// runs goes on to get requests.
	ErrNotRunning = eris.New("another start of the upstream is running")
	// ErrUnknownStart is returned if it is not known whether the start is the one that runs.
	ErrUnknownStart = eris.New("it is not known which start of the upstream is running")
)

// StatusOf returns the HTTP status of the response to an announcement that is not acknowledged for the
// reason err.
func StatusOf(err error) int {
	if eris.Is(err, ErrNotRunning) {
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// Announce replaces the announcement as Set does, and asks FindRunning where the announcements alone do
// not tell whether it is outdated. If a says that its start drains, Announce returns nil only once its
// start gets no more requests, and once that outlives this process.
func (h *Announcements) Announce(ctx context.Context, a *Announcement) error {
	check := h.check(ctx, a)
	if err := h.apply(a, check); err != nil || !a.Draining {
		return err
	}
	return h.record(ctx, a.StartID, h.Leave(a.StartID, a.StartMillis)) // the drain may be without its start time
}

// Depart records that a start leaves, as Leave does, and returns nil only once it gets no more requests
// and that outlives this process. Like Announce, it asks FindRunning where that is necessary.
func (h *Announcements) Depart(ctx context.Context, start string, startMillis int64) error {
	a := h.departureOfOther(start, startMillis)
	if a == nil {
		startMillis = h.Leave(start, startMillis)
	} else {
		check := h.findRunning(ctx, a)
		if startMillis == 0 {
			// The start did not give its start time, so it is assumed to be the one that runs.
			a = a.ofRunning(check.running)
			check = check.withVerdict(startRuns)
		}
		if err := h.apply(a, check); err != nil {
			return err
		}
		startMillis = a.StartMillis
	}
	return h.record(ctx, start, startMillis)
}

// departureOfOther returns the announcement that a start drains if it may be another one than the
// current start with its ID, and otherwise nil.
func (h *Announcements) departureOfOther(start string, startMillis int64) *Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.current
	switch {
	case c == nil || c.Draining || c.StartID != start || c.StartMillis == 0 || c.StartMillis == startMillis:
		return nil
	case h.pastStarts.hasDeparted(start, startMillis):
		return nil
	case startMillis == 0 && h.FindRunning == nil:
		return nil
	case startMillis == 0:
		startMillis = c.StartMillis
	}
	a := c.WithStart(start, startMillis)
	a.Draining = true
	return a
}

// Departed records that another process of this node, or another node, knows that a start has departed. If
// another start with its ID is current, FindRunning tells whether that one is outdated.
func (h *Announcements) Departed(ctx context.Context, start string, startMillis int64) {
	a := h.departureOfOther(start, startMillis)
	if a == nil || startMillis == 0 {
		h.Leave(start, startMillis)
		return
	}
	check := h.findRunning(ctx, a)
	h.Leave(start, startMillis)
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.current
	if c == nil || c.Draining || c.StartID != start || c.SameStart(a) {
		return
	}
	if check.verdict == startRuns || check.verdict != startNotRunning && startMillis > c.StartMillis {
		h.supersede(a)
		h.setCurrent(a)
	}
}

// record calls RecordDeparture.
func (h *Announcements) record(ctx context.Context, start string, startMillis int64) error {
	if h.RecordDeparture == nil {
		return nil
	}
	return h.RecordDeparture(ctx, start, startMillis)
}

// Set replaces the announcement as a PUT does, or withdraws it if a is nil. An announcement has
// no effect if it is older than the current one, or if its start drains, has left or was superseded
// by another: a heartbeat may arrive long after its sender has crashed. A start that drains does so
// for good, in whatever order its announcements arrive. OnChange is not called if the announcement
// is the same as before.
func (h *Announcements) Set(a *Announcement) {
	if a == nil {
		h.withdraw()
		return
	}
	_ = h.apply(a, runningCheck{}) // OnIgnored is told, and nobody waits
}

// SetRunning replaces the announcement by that of a start that was found to run, unless it has departed.
func (h *Announcements) SetRunning(a *Announcement) {
	_ = h.apply(a, runningCheck{}.withVerdict(startRuns)) // OnIgnored is told, and nobody waits
}

// withdraw withdraws the announcement.
func (h *Announcements) withdraw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastReceived = time.Now()
	h.setCurrent(nil)
}

// apply replaces the announcement unless it is outdated. It returns an error if its start drains and may
// go on to get requests, or if nothing tells whether its start runs.
func (h *Announcements) apply(a *Announcement, check runningCheck) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	reason := h.outdatedBy(a, check)
	if reason == reasonUnknown {
		h.ignored(a, reason)
		return ErrUnknownStart
	}
	if a.Draining {
		h.leave(a.StartID, a.StartMillis)
	}
	if reason != "" {
		h.ignored(a, reason)
		if c := h.current; a.Draining && c != nil && !c.Draining && c.StartID == a.StartID {
			return ErrNotRunning
		}
		return nil
	}
	old := h.current
	if old != nil && a.StartMillis == 0 && old.SameStart(a) {
		b := *a
		b.StartMillis = old.StartMillis
		a = &b
	}
	h.supersede(a)
	h.lastReceived = time.Now()
	if old == nil || !old.same(a) {
		h.setCurrent(a)
	} else {
		h.current = a
	}
	if a.ColdRemaining > 0 && h.ColdReported != nil && !h.held() {
		h.ColdReported(a.ColdRemaining)
	}
	return nil
}

// ignored calls OnIgnored.
func (h *Announcements) ignored(a *Announcement, reason string) {
	if h.OnIgnored != nil {
		h.OnIgnored(a, reason)
	}
}

// supersede records that the current start, if it is another one, is superseded by that of a. The lock
// is held.
func (h *Announcements) supersede(a *Announcement) {
	old := h.current
	if old == nil || old.SameStart(a) || old.Sequence == 0 && old.StartMillis == 0 {
		return
	}
	h.forgetExpired()
	h.pastStarts.add(old.StartID, old.StartMillis, false)
	if h.superseded == nil {
		h.superseded = make(map[string]*Announcement)
	}
	if !old.Draining {
		h.superseded[old.StartID] = old
	}
}

// WithStart returns a copy of a for another start, whose announcements are not ordered yet.
func (a *Announcement) WithStart(start string, startMillis int64) *Announcement {
	b := *a
	b.StartID = start
	b.StartMillis = startMillis
	b.Sequence = 0
	b.ColdRemaining = 0
	return &b
}

// SetIfAbsent sets the announcement of a start that was found to run, unless there is a current one.
func (h *Announcements) SetIfAbsent(a *Announcement) {
	h.mu.Lock()
	present := h.current != nil
	h.mu.Unlock()
	if !present {
		h.SetRunning(a)
	}
}

// Restore makes a start current again that was found to respond at the address of another start,
// whose announcement had superseded it: that announcement was a delayed one of a start that has
// ended. It returns false, and changes nothing, if the other start is no longer current, if the
// restored start is not known to have used the address, or if it has left.
func (h *Announcements) Restore(start string, startMillis int64, other *Announcement) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, c := h.superseded[start], h.current
	if a == nil || c == nil || !c.SameStart(other) || a.Address != c.Address || !a.SameStart(a.WithStart(start, startMillis)) {
		return false
	}
	h.revive(a)
	h.pastStarts.add(c.StartID, c.StartMillis, false)
	h.lastReceived = time.Now()
	h.setCurrent(a)
	return true
}

// revive forgets that a start was superseded. The lock is held.
func (h *Announcements) revive(a *Announcement) {
	h.pastStarts.remove(a.StartID, a.StartMillis)
	if s := h.superseded[a.StartID]; s != nil && s.SameStart(a) {
		delete(h.superseded, a.StartID)
	}
}

// The reasons why an announcement is ignored.
const (
	reasonPastStart = "its start drains, has left or was superseded"
	reasonOlder     = "a later announcement of its start has arrived"
	reasonSameID    = "a later start with its ID drains"
	reasonEarlier   = "a later start is running"
	// These two rest on FindRunning.
	reasonNotRunning = "another start is running"
	reasonUnknown    = "which start is running is not known"
)

// outdated returns why the announcement is outdated and has to be ignored, or "".
func (h *Announcements) outdated(a *Announcement) (reason string) {
	if h.pastStarts.has(a.StartID, a.StartMillis) {
		return reasonPastStart
	}
	c := h.current
	switch {
	case c == nil:
		return ""
	case c.SameStart(a):
		if a.Sequence != 0 && a.Sequence < c.Sequence {
			return reasonOlder
		}
		return ""
	case a.StartMillis == 0 || c.StartMillis == 0 || a.StartMillis > c.StartMillis:
		return ""
	case c.Draining:
		// Another start may follow one that drains; an announcement with the same StartID is
		// probably a delayed one of that start.
		if c.StartID == a.StartID {
			return reasonSameID
		}
		return ""
	}
	if h.StaleAfter == 0 || time.Since(h.lastReceived) < h.StaleAfter {
		return reasonEarlier
	}
	return ""
}

// same returns whether a and b differ only in the fields that change with each announcement.
func (a *Announcement) same(b *Announcement) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	x.ColdRemaining, y.ColdRemaining = 0, 0
	return x == y
}

// Leave records that a start of the upstream gets no more requests. It still finishes those
// that it is running. Later announcements of that start are ignored. A start time of 0 means
// unknown: the start is then assumed to be the current one. Leave returns the start time.
func (h *Announcements) Leave(start string, startMillis int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leave(start, startMillis)
}

// leave does what Leave does. The lock is held.
func (h *Announcements) leave(start string, startMillis int64) int64 {
	c := h.current
	present := c != nil && c.SameStart(&Announcement{StartID: start, StartMillis: startMillis})
	if present && startMillis == 0 {
		startMillis = c.StartMillis
	}
	if start != "" { // otherwise it can't be told from the next start
		h.forgetExpired()
		h.pastStarts.add(start, startMillis, true)
		if s := h.superseded[start]; s != nil && (startMillis == 0 || s.SameStart(&Announcement{StartID: start, StartMillis: startMillis})) {
			delete(h.superseded, start)
		}
	}
	if !present || c.Draining {
		return startMillis
	}
	a := *c
	a.Draining = true
	h.setCurrent(&a)
	return startMillis
}
