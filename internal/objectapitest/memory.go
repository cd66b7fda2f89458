// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapitest

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
)

// Memory is an object API in memory, without a server, for tests with the runtime's clock. It holds the
// objects of one kind. The zero value is empty and ready for use.
type Memory struct {
	// API is nil: calls that Memory does not implement panic.
	objectapi.API
	// Delay is how long each call takes.
	Delay time.Duration

	mu       sync.Mutex
	err      error
	objects  map[string]*objectapi.Object // by name
	revision int
	calls    int
}

// SetErr sets the error of all further calls, which have no effect then. Nil means none.
func (m *Memory) SetErr(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// CallCount returns the number of calls so far.
func (m *Memory) CallCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Revision returns the number of writes so far.
func (m *Memory) Revision() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Len returns the number of objects.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.objects)
}

// Object returns the object with a name, or nil.
func (m *Memory) Object(name string) *objectapi.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[name]
}

// Put stores an object as it is.
func (m *Memory) Put(o *objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put(o)
}

// Write stores an object with the next resource version, as another program does.
func (m *Memory) Write(o *objectapi.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.write(o)
}

// Clear removes all objects, as the restoring from an older backup does.
func (m *Memory) Clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.objects)
}

// put does what Put does. The lock is held.
func (m *Memory) put(o *objectapi.Object) {
	if m.objects == nil {
		m.objects = make(map[string]*objectapi.Object)
	}
	m.objects[o.Metadata.Name] = o
}

// write stores an object with the next resource version and returns it. The lock is held.
func (m *Memory) write(o *objectapi.Object) *objectapi.Object {
	m.revision++
	o = o.WithResourceVersion(strconv.Itoa(m.revision))
	m.put(o)
	return o
}

// call plays one call, which f carries out with the lock held.
func (m *Memory) call(ctx context.Context, f func() error) error {
	sleep.For(ctx, m.Delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.err != nil:
		return m.err
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return f()
}

// isCurrent returns whether the object with a name has a resource version. The lock is held.
func (m *Memory) isCurrent(name, version string) bool {
	o := m.objects[name]
	return o != nil && o.Metadata.ResourceVersion == version
}

// errStatus returns the error of a call with the given status.
func errStatus(status int) error { return &objectapi.Error{Status: status} }

// Get implements objectapi.Objects.
func (m *Memory) Get(ctx context.Context, _, name string) (o *objectapi.Object, err error) {
	err = m.call(ctx, func() error {
		if o = m.objects[name]; o == nil {
			return errStatus(http.StatusNotFound)
		}
		return nil
	})
	return o, err
}

// List implements objectapi.Objects.
func (m *Memory) List(ctx context.Context, _ string) (*objectapi.List, error) {
	l := new(objectapi.List)
	return l, m.call(ctx, func() error {
		for _, o := range m.objects {
			l.Items = append(l.Items, o)
		}
		return nil
	})
}

// ListStale implements objectapi.Objects.
func (m *Memory) ListStale(ctx context.Context, kind string) (*objectapi.List, error) {
	return m.List(ctx, kind)
}

// Create implements objectapi.Objects.
func (m *Memory) Create(ctx context.Context, o *objectapi.Object) (created *objectapi.Object, err error) {
	err = m.call(ctx, func() error {
		if m.objects[o.Metadata.Name] != nil {
			return errStatus(http.StatusConflict)
		}
		created = m.write(o)
		return nil
	})
	return created, err
}

// Update implements objectapi.Objects.
func (m *Memory) Update(ctx context.Context, o *objectapi.Object) (updated *objectapi.Object, err error) {
	err = m.call(ctx, func() error {
		if !m.isCurrent(o.Metadata.Name, o.Metadata.ResourceVersion) {
			return errStatus(http.StatusConflict)
		}
		updated = m.write(o)
		return nil
	})
	return updated, err
}

// Delete implements objectapi.Objects.
func (m *Memory) Delete(ctx context.Context, _, name, version string) error {
	return m.call(ctx, func() error {
		if !m.isCurrent(name, version) {
			return errStatus(http.StatusConflict)
		}
		delete(m.objects, name)
		return nil
	})
}
