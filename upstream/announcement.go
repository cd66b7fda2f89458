// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasfront.example/operator"
)

// Announcement is what an upstream says of itself. It is an immutable value.
type Announcement struct {
	// Service is the name of the service that the upstream belongs to.
	Service string `json:"service"`
	// Address is where it takes requests, as an IP number and port.
	Address string `json:"address"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it takes. Zero means as
	// many as it has slots.
	Connections int `json:"connections"`
	// Version is the version of its software. Empty means that it is not known, or of no
	// concern.
	Version string `json:"version,omitempty"`
	// Draining is whether it wants no new requests.
	Draining bool `json:"draining"`
	// Start tells one start of the upstream from another, together with Born. When
	// either changes, the upstream is taken to be cold.
	StartID string `json:"start"`
	// Born is when the start began by the upstream's clock, in milliseconds since
	// 1970, where an upstream may start again under the Start that it had. Zero
	// means that it does not say.
	StartMillis int64 `json:"born,omitempty"`
	// Cold is how much longer the upstream stays slow after its start. Zero
	// means that it does not say.
	ColdRemaining time.Duration `json:"cold,omitempty"`
	// Sequence grows with each announcement of a start, so that a late one can
	// be told. Zero means that there is no order.
	Sequence uint64 `json:"sequence,omitempty"`
}

// The bounds of an announcement.
const (
	maxSlots             = 10000
	maxConnections       = 100000
	maxAnnouncementBytes = 4 << 10
)

// Check returns the faults of a.
func (a Announcement) Check() operator.Faults {
	f := operator.CheckName(a.Service)
	for i := range f {
		f[i].Field = "service"
	}
	check := func(ok bool, field, format string, args ...any) {
		if !ok {
			f = append(f, operator.Fault{
				Field:   field,
				Message: fmt.Sprintf(format, args...),
			})
		}
	}
	host, _, err := net.SplitHostPort(a.Address)
	check(err == nil && net.ParseIP(host) != nil, "address", "%q is not an IP number and port", a.Address)
	check(a.Slots >= 1 && a.Slots <= maxSlots, "slots", "%d is not within 1 and %d", a.Slots, maxSlots)
	check(a.Connections >= 0 && a.Connections <= maxConnections, "connections", "%d is not within 0 and %d", a.Connections, maxConnections)
	check(a.StartMillis >= 0, "born", "%d is below 0", a.StartMillis)
	return f
}

// SameStart returns whether a and b are of one start of an upstream, as far as they
// say. Where only one of them tells when it began, the name alone decides.
func (a *Announcement) SameStart(b *Announcement) bool {
	return a.StartID == b.StartID && (a.StartMillis == b.StartMillis || a.StartMillis == 0 || b.StartMillis == 0)
}

// Announcements is the http.Handler through which the upstream announces
// itself, at /v1/upstream: PUT announces, GET shows what holds, and DELETE
// withdraws. The exported fields are set before the first request.
type Announcements struct {
	// Changed is called with each announcement, and with nil for a withdrawal.
	Changed func(*Announcement)
	// Patience is after how long without an announcement the start that holds may
	// be over, so that one whose Born is earlier may be the present one: the
	// upstream's clock may have been set back between the two. Zero means never.
	StaleAfter time.Duration
	// Known, if not nil, returns whether there is such a service, as far as this
	// node can tell.
	IsKnownService func(service string) bool
	// Cold, if not nil, is called with how much longer the upstream is cold, with each
	// announcement that says so.
	ColdReported func(remaining time.Duration)
	// Refused, if not nil, is called with why an announcement names no upstream
	// that can be used.
	Refused func(reason error)

	mu           sync.Mutex
	current      *Announcement
	lastReceived time.Time // when the current start announced itself last
	pastStarts   startSet
	// replaced are the starts that others came after and that have not left, by name, as
	// they announced themselves last.
	superseded map[string]*Announcement
}

// Check returns the faults of an announcement, of which one is a service that is
// not known.
func (h *Announcements) Check(a *Announcement) operator.Faults {
	f := a.Check()
	if h.IsKnownService != nil && !h.IsKnownService(a.Service) {
		f = append(f, operator.Fault{
			Field:   "service",
			Message: fmt.Sprintf("%q is not known", a.Service),
		})
	}
	return f
}

// Current returns what holds, or nil.
func (h *Announcements) Current() *Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
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
	h.Set(a)
	w.WriteHeader(http.StatusNoContent)
}

// Set replaces the announcement as a PUT does, or withdraws it if a is nil. An
// announcement that is older than the one that holds, or of a start that has
// left or that another has come after, changes nothing; nor does one that says
// the same. A heartbeat may arrive long after its sender has crashed.
func (h *Announcements) Set(a *Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a != nil && h.outdated(a) {
		return
	}
	old := h.current
	if old != nil && a != nil && !old.SameStart(a) && (old.Sequence != 0 || old.StartMillis != 0) {
		h.pastStarts.add(old.StartID, old.StartMillis)
		if h.superseded == nil {
			h.superseded = make(map[string]*Announcement)
		}
		h.superseded[old.StartID] = old
	}
	if a != nil && a.StartMillis == 0 && old != nil && old.SameStart(a) {
		b := *a
		b.StartMillis = old.StartMillis
		a = &b
	}
	h.current = a
	h.lastReceived = time.Now()
	if old == nil || a == nil || !old.same(a) {
		h.Changed(a)
	}
	if a != nil && a.ColdRemaining > 0 && h.ColdReported != nil {
		h.ColdReported(a.ColdRemaining)
	}
}

// WithStart returns a copy of a that is of another start, whose announcements have
// no order yet.
func (a *Announcement) WithStart(start string, startMillis int64) *Announcement {
	b := *a
	b.StartID = start
	b.StartMillis = startMillis
	b.Sequence = 0
	b.ColdRemaining = 0
	return &b
}

// Offer sets the announcement unless one holds already.
func (h *Announcements) SetIfAbsent(a *Announcement) {
	h.mu.Lock()
	known := h.current != nil
	h.mu.Unlock()
	if !known {
		h.Set(a)
	}
}

// Restore takes in that a start answers at the address of another one, whose announcement had
// taken its place here: that was a late one of a start that is over. It returns false, and
// changes nothing, if the other one does not hold any more, or if the start is not known to have
// had the address, or has left.
func (h *Announcements) Restore(start string, startMillis int64, other *Announcement) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, c := h.superseded[start], h.current
	if a == nil || c == nil || !c.SameStart(other) || a.Address != c.Address || !a.SameStart(a.WithStart(start, startMillis)) {
		return false
	}
	delete(h.superseded, start)
	h.pastStarts.remove(a.StartID, a.StartMillis)
	h.pastStarts.add(c.StartID, c.StartMillis)
	h.current = a
	h.lastReceived = time.Now()
	h.Changed(a)
	return true
}

// late returns whether the announcement comes too late to count.
func (h *Announcements) outdated(a *Announcement) bool {
	if h.pastStarts.has(a.StartID, a.StartMillis) {
		return true
	}
	c := h.current
	switch {
	case c == nil:
		return false
	case c.SameStart(a):
		return a.Sequence != 0 && a.Sequence < c.Sequence
	case a.StartMillis == 0 || c.StartMillis == 0 || a.StartMillis > c.StartMillis:
		return false
	case c.Draining:
		// Another start may follow one that goes; of this one a late word is likely.
		return c.StartID == a.StartID
	}
	return h.StaleAfter == 0 || time.Since(h.lastReceived) < h.StaleAfter
}

// same returns whether b says the same as a, but for what changes with time.
func (a *Announcement) same(b *Announcement) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	x.ColdRemaining, y.ColdRemaining = 0, 0
	return x == y
}

// Leave takes in that a start of the upstream gets no more requests. It goes on
// with those that it has. Later announcements of that start are ignored. A born of
// 0 means that it does not say when it began: it is the present one then.
func (h *Announcements) Leave(start string, startMillis int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.current
	present := c != nil && c.StartID == start
	if present && startMillis == 0 {
		startMillis = c.StartMillis
	}
	if start != "" {
		h.pastStarts.add(start, startMillis)
		delete(h.superseded, start)
	}
	if !present || c.Draining || startMillis < c.StartMillis {
		return
	}
	a := *c
	a.Draining = true
	h.current = &a
	h.Changed(&a)
}

// past are the starts that have left, or that another came after. The zero value
// holds none.
type startSet map[startKey]bool

// startKey names a start.
type startKey struct {
	id          string
	startMillis int64
}

// add notes that nothing more that a start says counts.
func (p *startSet) add(id string, startMillis int64) {
	if *p == nil {
		*p = make(startSet)
	}
	(*p)[startKey{id: id, startMillis: startMillis}] = true
	(*p)[startKey{id: id}] = true
}

// remove takes a start out of those that are past.
func (p startSet) remove(id string, startMillis int64) {
	delete(p, startKey{id: id, startMillis: startMillis})
	delete(p, startKey{id: id})
}

// has returns whether a start is past. One that does not tell when it began is, if
// any of its name is.
func (p startSet) has(id string, startMillis int64) bool {
	return p[startKey{id: id, startMillis: startMillis}]
}
