// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sassafrasfront.example/verdict"
)

// Objects is the access to single objects and to lists of the platform.
type Objects interface {
	// Get returns an object.
	Get(ctx context.Context, kind, name string) (*Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (*List, error)
	// ListStale returns the objects of a kind in a state that may be seconds old.
	// It costs the platform less than List.
	ListStale(ctx context.Context, kind string) (*List, error)
	// Create creates an object and returns it with its resource version.
	Create(ctx context.Context, o *Object) (*Object, error)
	// Update replaces an object if its resource version is still that of o, and
	// returns it with the new one.
	Update(ctx context.Context, o *Object) (*Object, error)
	// Delete deletes an object if it still has the given resource version.
	Delete(ctx context.Context, kind, name, version string) error
}

// API is the platform's object API, as far as the system uses it.
type API interface {
	Objects
	// Watch calls f with each change of a kind after the given resource version. It
	// returns nil when the platform ends the watch regularly.
	Watch(ctx context.Context, kind, version string, f func(Event)) error
}

// Error is a failed call to the platform.
type Error struct {
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Verdict is whether a write may have taken effect.
	Verdict verdict.Verdict
	// RetryAfter is the delay after which the platform asks to be called again, or 0.
	RetryAfter time.Duration
	// Err is the underlying error.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("platform (%v): %v", e.Verdict, e.Err)
	}
	return fmt.Sprintf("platform: status %d (%v): %v", e.Status, e.Verdict, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// status returns the HTTP status of a failed call, or 0.
func status(err error) int {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Status
	}
	return 0
}

// IsNotFound returns whether err says that the object does not exist.
func IsNotFound(err error) bool { return status(err) == http.StatusNotFound }

// IsConflict returns whether err says that the object has another version or
// already exists.
func IsConflict(err error) bool { return status(err) == http.StatusConflict }

// IsGone returns whether err says that the start of a watch is too far in the past.
func IsGone(err error) bool { return status(err) == http.StatusGone }

// mayHaveRun returns whether a write that failed with err may have taken
// effect.
func mayHaveRun(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return !ok || e.Verdict == verdict.MayHaveRun
}
