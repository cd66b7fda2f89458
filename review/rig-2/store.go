// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// objectsPath is the path under which the store serves its objects.
	objectsPath = "/sassafrasfront/objects/"
	// storeDelay is how long the store takes for a call.
	storeDelay = 4 * time.Millisecond
	// listSize is the largest number of objects in a response to a list.
	listSize = 500
)

// metadata identifies an object of the store.
type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	kind    string
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in for the platform's metadata store. All reads are linearizable.
type store struct {
	record *record
	server *http.Server
	addr   string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []event
	changed  chan struct{} // closed at the next change
	silent   chan struct{} // closed at the end of an outage, nil while there is none
	upSince  time.Time
}

// startStore starts a store on the given host.
func startStore(host string, r *record) (*store, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		record:   r,
		addr:     l.Addr().String(),
		revision: 100,
		objects:  make(map[string]map[string]object),
		changed:  make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// beginSilence leaves all calls without a response, and without an effect, until endSilence.
func (s *store) beginSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = make(chan struct{})
	s.record.printf("store: silent from now on")
}

// endSilence ends an outage. The calls that wait are cut off.
func (s *store) endSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = nil
	s.upSince = time.Now()
	s.record.printf("store: responds again")
}

// outage returns a channel that is closed at the end of the present outage, or nil.
func (s *store) outage() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// stableSince returns the end of the last outage, or the zero time.
func (s *store) stableSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upSince
}

// put writes an object for the operator and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // not reached: the rig's specs can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = data
	s.apply(kind, o)
	return time.Now()
}

// text returns an object's spec for the record.
func (s *store) text(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return kind + "/" + name + " does not exist"
	}
	return kind + "/" + name + " is " + string(o.Spec)
}

// apply stores an object under a new revision. The lock is held.
func (s *store) apply(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.addEvent(event{kind: kind, Object: o})
	return o
}

// addEvent adds an event to the history. The lock is held.
func (s *store) addEvent(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if silent := s.outage(); silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeDelay)
	kind, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, part, _ := strings.Cut(rest, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	default:
		s.write(w, r, kind, name, part, sent)
	}
}

// reply sends a response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > listSize
	items := []object{}
	for _, name := range names[:min(listSize, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	body := map[string]any{"items": items, "hasMore": more, "asOf": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		asOf, changed, silent := s.revision, s.changed, s.silent
		s.mu.Unlock()
		if silent != nil {
			panic(http.ErrAbortHandler) // a watch that is waiting may be cut off
		}
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name, part string, sent object) {
	if name == "" {
		name = sent.Metadata.Name
	}
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != now.Metadata.Revision:
		reply(w, http.StatusConflict, now)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		now.Metadata.Revision = s.revision
		s.addEvent(event{kind: kind, Object: now, Removed: true})
		reply(w, http.StatusOK, now)
	case part == "status":
		now.Status = sent.Status
		reply(w, http.StatusOK, s.apply(kind, now))
	default:
		now.Metadata.Name = name
		now.Spec = sent.Spec
		now.Metadata.Finalizers = sent.Metadata.Finalizers
		reply(w, http.StatusOK, s.apply(kind, now))
	}
}
