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
	// Events are the changes in order.
	Events []Event
	// ResourceVersion is the version up to which the changes are complete.
	ResourceVersion string
}

// PollingAPI is an API in which changes are polled, each time by a separate call.
type PollingAPI interface {
	Objects
	// UpdateStatus replaces the status of an object if its resource version is still that of
	// o, and returns it with the new one.
	UpdateStatus(ctx context.Context, o *Object) (*Object, error)
	// Changes returns the changes of a kind after the given resource version, as soon
	// as there are any, or none after the given time. IsGone is true for the error if
	// the version is too far in the past.
	Changes(ctx context.Context, kind, version string, wait time.Duration) (*Changes, error)
}

// Reader keeps track of all objects of one kind by single reads, which its user
// schedules. The exported fields are set before the first call, and its methods are
// called from one goroutine.
type Reader struct {
	// API is the platform.
	API PollingAPI
	// Kind is the kind that is read.
	Kind string
	// OnObject is called with each object that exists or has changed. An object may be
	// unchanged, and one from ReadInitial may be out of date.
	OnObject func(*Object)

	version string    // up to which changes were read, empty before the first read
	listed  time.Time // time of the last list
}

// ReadInitial reads all objects in a state that may be seconds old, which costs the platform
// little. The reads after it find what has changed since.
func (r *Reader) ReadInitial(ctx context.Context) error {
	return r.handle(r.API.ListStale(ctx, r.Kind))
}

// Read reads what has changed, as soon as something does or after the given time.
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

// Position returns the resource version up to which the changes have been read, or the zero value if that is not known.
func (r *Reader) Position() ResourceVersion {
	at, err := ParseResourceVersion(r.version)
	if err != nil {
		return ResourceVersion{}
	}
	return at
}

// Advance makes the next read begin at a resource version, unless a later one has been read. All changes up to it must be
// known to the user of the reader.
func (r *Reader) Advance(at ResourceVersion) {
	if !r.Position().Less(at) {
		return
	}
	r.version = at.String()
	if r.listed.IsZero() {
		r.listed = time.Now()
	}
}

// handle passes a list on, or returns why it could not be read.
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
