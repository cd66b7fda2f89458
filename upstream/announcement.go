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
	// Draining is whether it wants no new requests.
	Draining bool `json:"draining"`
	// Start tells one start of the upstream from another. When it changes, the
	// upstream is taken to be cold.
	Start string `json:"start"`
	// Cold is how much longer the upstream stays slow after its start. Zero
	// means that it does not say.
	Cold time.Duration `json:"cold,omitempty"`
	// Sequence grows with each announcement of a start, so that a late one can
	// be told. Zero means that there is no order.
	Sequence uint64 `json:"sequence,omitempty"`
}

// The bounds of an announcement.
const (
	maxSlots        = 10000
	maxConnections  = 100000
	maxAnnouncement = 4 << 10
)

// Check returns the faults of a.
func (a Announcement) Check() operator.Faults {
	f := operator.CheckName(a.Service)
	for i := range f {
		f[i].Field = "service"
	}
	add := func(ok bool, field, format string, args ...any) {
		if !ok {
			f = append(f, operator.Fault{
				Field:   field,
				Message: fmt.Sprintf(format, args...),
			})
		}
	}
	host, _, err := net.SplitHostPort(a.Address)
	add(err == nil && net.ParseIP(host) != nil, "address", "%q is not an IP number and port", a.Address)
	add(a.Slots >= 1 && a.Slots <= maxSlots, "slots", "%d is not within 1 and %d", a.Slots, maxSlots)
	add(a.Connections >= 0 && a.Connections <= maxConnections, "connections", "%d is not within 0 and %d", a.Connections, maxConnections)
	return f
}

// Announcements is the http.Handler through which the upstream announces
// itself, at /v1/upstream: PUT announces, GET shows what holds, and DELETE
// withdraws. The exported fields are set before the first request.
type Announcements struct {
	// Changed is called with each announcement, and with nil for a withdrawal.
	Changed func(*Announcement)

	mu      sync.Mutex
	current *Announcement
	past    map[string]bool // the starts that have left, or that another came after
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
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	d.DisallowUnknownFields()
	a := new(Announcement)
	if err := d.Decode(a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if a.Connections == 0 {
		a.Connections = a.Slots
	}
	if f := a.Check(); len(f) > 0 {
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
	if a != nil && h.stale(a) {
		return
	}
	old := h.current
	if old != nil && a != nil && old.Start != a.Start && old.Sequence != 0 {
		h.pass(old.Start)
	}
	h.current = a
	if old == nil || a == nil || !old.same(a) {
		h.Changed(a)
	}
}

// Offer sets the announcement unless one holds already.
func (h *Announcements) Offer(a *Announcement) {
	h.mu.Lock()
	known := h.current != nil
	h.mu.Unlock()
	if !known {
		h.Set(a)
	}
}

// stale returns whether the announcement comes too late to count.
func (h *Announcements) stale(a *Announcement) bool {
	if h.past[a.Start] {
		return true
	}
	c := h.current
	return c != nil && c.Start == a.Start && a.Sequence != 0 && a.Sequence < c.Sequence
}

// same returns whether b says the same as a, but for what changes with time.
func (a *Announcement) same(b *Announcement) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	x.Cold, y.Cold = 0, 0
	return x == y
}

// Leave takes in that the given start of the upstream gets no more requests. It
// goes on with those that it has. Later announcements of that start are ignored.
func (h *Announcements) Leave(start string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pass(start)
	if h.current == nil || h.current.Start != start || h.current.Draining {
		return
	}
	a := *h.current
	a.Draining = true
	h.current = &a
	h.Changed(&a)
}

// pass notes that nothing more that a start says counts. The lock is held.
func (h *Announcements) pass(start string) {
	if h.past == nil {
		h.past = make(map[string]bool)
	}
	h.past[start] = true
}
