// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package evacuation

import (
	"context"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/objectapi"
)

// Reader reads the evacuated zones from the platform. The exported fields are set before
// the first call.
type Reader struct {
	// API is the platform.
	API objectapi.Polled
	// Kind is the kind of the objects, which are named for their zones.
	Kind string
	// Found is called with each Set that is read.
	Found func(Set)
}

// Read reads all objects in one call: a list has no history that the platform could have
// forgotten, and there are as many objects as evacuated zones. What an object says beside
// its name does not count, so one that can't be decoded holds for its zone all the same.
func (r *Reader) Read(ctx context.Context) error {
	return r.take(r.API.List(ctx, r.Kind))
}

// First reads the objects as they were at some time, which may be seconds ago: it costs the
// platform little.
func (r *Reader) First(ctx context.Context) error {
	return r.take(r.API.ListStale(ctx, r.Kind))
}

// take takes in a list, or returns why there is none.
func (r *Reader) take(list *objectapi.List, err error) error {
	if err != nil {
		return eris.Wrap(err, "evacuated zones")
	}
	at, err := objectapi.ParsePoint(list.Metadata.ResourceVersion)
	if err != nil {
		return eris.Wrap(err, "evacuated zones")
	}
	zones := make([]string, len(list.Items))
	for i, o := range list.Items {
		zones[i] = o.Metadata.Name
	}
	r.Found(New(at, zones...))
	return nil
}
