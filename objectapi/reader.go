// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"
	"time"
)

// Changes are the changes of a kind after some resource version.
type Changes struct {
	// Events are the changes, in their order.
	Events []Event
	// ResourceVersion is the version up to which there are no others.
	ResourceVersion string
}

// Polled is an API in which each look for changes is a call of its own.
type PollingAPI interface {
	Objects
	// UpdateStatus replaces the status of an object if it still has the resource version that
	// o names, and returns it with its new one.
	UpdateStatus(ctx context.Context, o *Object) (*Object, error)
	// Changes returns the changes of a kind after the given resource version, as soon
	// as there is one, or none after the given time. IsGone tells of a version that is
	// too far in the past.
	Changes(ctx context.Context, kind, version string, wait time.Duration) (*Changes, error)
}

// Reader keeps up with all objects of one kind by single reads, which its user makes
// when they are due. The exported fields are set before the first call, and its
// methods are called by one goroutine.
type Reader struct {
	// API is the platform.
	API PollingAPI
	// Kind is the kind that is read.
	Kind string
	// Found is called with each object that is there, or that has changed. An object
	// may be found again as it was, and First may find one that has changed since.
	OnObject func(*Object)

	version string    // up to which changes are known, empty before the first read
	listed  time.Time // when all objects were read last
}

// First reads all objects as they were at some time, which may be seconds ago: it
// costs the platform little, and the reads after it find what has changed since.
func (r *Reader) ReadInitial(ctx context.Context) error {
	return r.handle(r.API.ListStale(ctx, r.Kind))
}

// Read finds what has changed, as soon as something does or after the given time.
func (r *Reader) Read(ctx context.Context, wait time.Duration) error {
	if r.version == "" || time.Since(r.listed) > defaultRelist {
		return r.handle(r.API.List(ctx, r.Kind))
	}
	changes, err := r.API.Changes(ctx, r.Kind, r.version, wait)
	if IsGone(err) {
		return r.handle(r.API.List(ctx, r.Kind))
	}
	if err != nil {
		return err
	}
	for _, e := range changes.Events {
		if e.Type != Deleted {
			r.OnObject(e.Object)
		}
	}
	r.version = changes.ResourceVersion
	return nil
}

// take takes in a read of all objects, or returns why it failed.
func (r *Reader) handle(list *List, err error) error {
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		r.OnObject(o)
	}
	r.version = list.Metadata.ResourceVersion
	r.listed = time.Now()
	return nil
}
