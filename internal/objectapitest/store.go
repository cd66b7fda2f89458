// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapitest

import (
	"net/http"
	"sort"
	"strconv"
	"sync"

	"sassafrasfront.example/objectapi"
)

// historyLength is the number of events that a watch can start back at.
const historyLength = 10000

// store holds the objects and their history.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[string]*objectapi.Object // by kind and name
	history []event
	changed chan struct{} // closed at the next change
}

// event is a change to an object at a version of the whole store.
type event struct {
	version uint64
	objectapi.Event
}

// statusError is an HTTP status with a reason.
type statusError struct {
	status int
	reason string
}

func key(collection, name string) string { return collection + "/" + name }

func (s *store) get(collection, name string) (*objectapi.Object, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key(collection, name)]
	if o == nil {
		return nil, &statusError{
			status: http.StatusNotFound,
			reason: name + " not found",
		}
	}
	return o, nil
}

func (s *store) list(collection string) *objectapi.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &objectapi.List{Items: []*objectapi.Object{}}
	l.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	for k, o := range s.objects {
		if k == key(collection, o.Metadata.Name) {
			l.Items = append(l.Items, o)
		}
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Metadata.Name < l.Items[j].Metadata.Name })
	return l
}

// put creates or replaces an object. An empty version replaces any version.
func (s *store) put(collection string, o *objectapi.Object, create bool) (*objectapi.Object, *statusError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(collection, o.Metadata.Name)
	old := s.objects[k]
	switch {
	case create && old != nil:
		return nil, conflict("already exists")
	case !create && old == nil:
		return nil, &statusError{
			status: http.StatusNotFound,
			reason: o.Metadata.Name + " not found",
		}
	case !create && o.Metadata.ResourceVersion != "" && o.Metadata.ResourceVersion != old.Metadata.ResourceVersion:
		return nil, conflict("the object is at version " + old.Metadata.ResourceVersion)
	}
	kind := objectapi.Modified
	if create {
		kind = objectapi.Added
	}
	return s.record(k, kind, o), nil
}

func (s *store) delete(collection, name, version string) *statusError {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key(collection, name)
	old := s.objects[k]
	switch {
	case old == nil:
		return &statusError{
			status: http.StatusNotFound,
			reason: name + " not found",
		}
	case version != "" && version != old.Metadata.ResourceVersion:
		return conflict("the object is at version " + old.Metadata.ResourceVersion)
	}
	s.record(k, objectapi.Deleted, old)
	delete(s.objects, k)
	return nil
}

func conflict(reason string) *statusError {
	return &statusError{
		status: http.StatusConflict,
		reason: reason,
	}
}

// record stores o under the next version and wakes up the watches.
func (s *store) record(k, kind string, o *objectapi.Object) *objectapi.Object {
	s.version++
	o = o.WithResourceVersion(strconv.FormatUint(s.version, 10))
	if s.objects == nil {
		s.objects = make(map[string]*objectapi.Object)
	}
	s.objects[k] = o
	s.history = append(s.history, event{
		version: s.version,
		Event: objectapi.Event{
			Type:   kind,
			Object: o,
		},
	})
	if len(s.history) > historyLength {
		s.history = s.history[1:]
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return o
}

// since returns the events after a version, and a channel that is closed at the
// next change. The last result is false if the version is too old.
func (s *store) since(version uint64) ([]event, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if len(s.history) > 0 && version+1 < s.history[0].version {
		return nil, nil, false
	}
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].version > version })
	return append([]event(nil), s.history[i:]...), s.changed, true
}

// dropHistory drops the history, so that watches from before now fail.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = []event{{version: s.version}}
}
