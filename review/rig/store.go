// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// objectsPath is the path under which the store serves objects.
	objectsPath = "/sassafrasfront/objects/"
	// storeDelay is how long the store takes to answer.
	storeDelay = 4 * time.Millisecond
	// listSize is the number of objects in one page of a list.
	listSize = 500
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// metadata is the metadata of an object.
type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// event is a change in the history of the store.
type event struct {
	kind    string
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in of the platform's metadata store. Its zero value is ready for use.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []event
	changed  chan struct{} // closed by the next change
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = data
	s.set(kind, o)
	return nil
}

// set stores an object with the next revision. The lock is held.
func (s *store) set(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects == nil {
		s.objects = make(map[string]map[string]object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{kind: kind, Object: o})
	return o
}

// record appends an event to the history and wakes the watches. The lock is held.
func (s *store) record(e event) {
	s.history = append(s.history, e)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, status, _ := strings.Cut(name, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name, status == "status")
	}
}

// answer writes a response with a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(listSize, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{
		"items":   items,
		"hasMore": len(names) > listSize,
		"asOf":    s.revision,
	})
}

// write executes a POST, PUT or DELETE.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var o object
	_ = json.NewDecoder(r.Body).Decode(&o) // a DELETE has no body
	if name == "" {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, ok && expected != 0 && expected != current.Metadata.Revision:
		answer(w, http.StatusConflict, current)
	case r.Method != http.MethodPost && !ok:
		answer(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		current.Metadata.Revision = s.revision
		s.record(event{kind: kind, Object: current, Removed: true})
		answer(w, http.StatusOK, current)
	case status:
		current.Status = o.Status
		answer(w, http.StatusOK, s.set(kind, current))
	default:
		current.Metadata.Name = name
		current.Metadata.Finalizers = o.Metadata.Finalizers
		current.Spec = o.Spec
		answer(w, http.StatusOK, s.set(kind, current))
	}
}

// watch responds with the changes after a revision as soon as there are any.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		asOf := s.revision
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
