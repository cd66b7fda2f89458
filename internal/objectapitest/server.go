// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapitest

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sassafrasfront.example/objectapi"
)

// Faults are the injected faults. Ratios are in [0, 1].
type Faults struct {
	// Down closes every connection without a response.
	Down bool `json:"down"`
	// Hang keeps every call waiting until its caller gives up.
	Hang bool `json:"hang"`
	// DelayMillis is added to every call, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// FailureRatio is the fraction of calls that fail with status 500 and without effect.
	FailureRatio float64 `json:"fail"`
	// LoseWrites is the fraction of writes whose response is lost after they took effect.
	LoseWrites float64 `json:"loseWrites"`
	// DropEvents is the fraction of watch events that are dropped.
	DropEvents float64 `json:"dropEvents"`
	// RepeatEvents is the fraction of watch events that are sent twice.
	RepeatEvents float64 `json:"repeatEvents"`
	// SilentWatches keeps watches open without sending events.
	SilentWatches bool `json:"silentWatches"`
	// MalformedReads is the fraction of reads whose response is not JSON.
	MalformedReads float64 `json:"garbage"`
	// StaleReads is the fraction of gets that return the previous version.
	StaleReads float64 `json:"staleReads"`
}

// Counts are the calls served so far. A watch counts as a read too.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

// Server is the fake platform as an http.Handler. The zero value is empty and without
// faults. Besides the API it serves PUT /faults, GET /counts and POST /forget, so that other
// processes can control it.
type Server struct {
	store store

	mu       sync.Mutex
	faults   Faults
	counts   Counts
	previous map[string]*objectapi.Object
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls served so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// DropHistory drops the history, so that watches from before now fail with status 410.
func (s *Server) DropHistory() { s.store.dropHistory() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/faults":
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		return
	case "/counts":
		writeJSON(w, http.StatusOK, s.Counts())
		return
	case "/forget":
		s.DropHistory()
		return
	}
	f := s.countCall(r)
	if !s.applyFaults(w, r, f) {
		return
	}
	collection, name, ok := split(r.URL.Path)
	if !ok {
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	if r.Method == http.MethodGet {
		s.read(w, r, f, collection, name)
		return
	}
	s.write(w, r, f, collection, name)
}

// countCall counts the call and returns the faults that apply to it.
func (s *Server) countCall(r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down:
		s.counts.Refused++
	case r.Method != http.MethodGet:
		s.counts.Writes++
	case r.URL.Query().Has("watch"):
		s.counts.Watches++
		s.counts.Reads++
	default:
		s.counts.Reads++
	}
	return s.faults
}

// applyFaults applies the faults that precede the effect of a call. It returns whether the
// call continues.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		// net/http notices that the caller has closed the connection only once the body is
		// read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	}
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if rand.Float64() < f.FailureRatio {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return false
	}
	if r.Method == http.MethodGet && rand.Float64() < f.MalformedReads {
		_, _ = io.WriteString(w, "<html>")
		return false
	}
	return true
}

// split returns the collection and the name in a path.
func split(path string) (collection, name string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/apis/"+objectapi.GroupVersion+"/namespaces/")
	if !ok {
		return "", "", false
	}
	parts := strings.Split(rest, "/")
	switch len(parts) {
	case 2:
		return rest, "", true
	case 3:
		return parts[0] + "/" + parts[1], parts[2], true
	}
	return "", "", false
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, f Faults, collection, name string) {
	switch {
	case name != "":
		o, failure := s.store.get(collection, name)
		if failure != nil {
			http.Error(w, failure.reason, failure.status)
			return
		}
		writeJSON(w, http.StatusOK, s.staleOrCurrent(f, collection, o))
	case r.URL.Query().Has("watch"):
		s.watch(w, r, collection)
	default:
		writeJSON(w, http.StatusOK, s.store.list(collection))
	}
}

// staleOrCurrent returns o, or its previous version at the configured ratio.
func (s *Server) staleOrCurrent(f Faults, collection string, o *objectapi.Object) *objectapi.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before := s.previous[key(collection, o.Metadata.Name)]; before != nil && rand.Float64() < f.StaleReads {
		return before
	}
	return o
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, f Faults, collection, name string) {
	var result *objectapi.Object
	var failure *statusError
	if r.Method == http.MethodDelete {
		failure = s.store.delete(collection, name, r.URL.Query().Get("resourceVersion"))
	} else {
		o := new(objectapi.Object)
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, objectapi.MaxObjectBytes)).Decode(o); err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		s.savePrevious(collection, o.Metadata.Name)
		result, failure = s.store.put(collection, o, r.Method == http.MethodPost)
	}
	if failure != nil {
		http.Error(w, failure.reason, failure.status)
		return
	}
	if rand.Float64() < f.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, result)
}

// savePrevious keeps the present object for stale reads.
func (s *Server) savePrevious(collection, name string) {
	o, failure := s.store.get(collection, name)
	if failure != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.previous == nil {
		s.previous = make(map[string]*objectapi.Object)
	}
	s.previous[key(collection, name)] = o
}

// watch streams the changes of a collection.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, collection string) {
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("timeoutSeconds"), 64)
	end := time.After(time.Duration(seconds * float64(time.Second)))
	version := objectapi.ParseRevision(r.URL.Query().Get("resourceVersion"))
	flusher := http.NewResponseController(w)
	for {
		events, changed, ok := s.store.since(version)
		if !ok {
			http.Error(w, "too old", http.StatusGone)
			return
		}
		for _, e := range events {
			version = e.version
			s.emit(w, e, collection)
		}
		_ = flusher.Flush()
		select {
		case <-changed:
		case <-end:
			return
		case <-r.Context().Done():
			return
		}
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// emit writes one event of a watch, if it belongs to the collection and no fault drops it.
func (s *Server) emit(w http.ResponseWriter, e event, collection string) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if e.Object == nil || !strings.HasSuffix(collection, "/"+collectionOf(e.Object.Kind)) {
		return
	}
	if f.SilentWatches || rand.Float64() < f.DropEvents {
		return
	}
	_ = json.NewEncoder(w).Encode(e.Event)
	if rand.Float64() < f.RepeatEvents {
		_ = json.NewEncoder(w).Encode(e.Event)
	}
}

// collectionOf returns the last path element of a kind's collection.
func collectionOf(kind string) string {
	p := objectapi.ObjectPath("", kind, "")
	return p[strings.LastIndex(p, "/")+1:]
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
