// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"

	"github.com/rotisserie/eris"
)

// Listing reads all objects of one kind in one call: a list has no history that the platform
// could have forgotten. It is for kinds with few objects. The fields are set before the first
// call.
type Lister struct {
	// API is the platform.
	API PollingAPI
	// Kind is the kind that is read.
	Kind string
	// Found is called with the objects that were there at a Point. Current is whether they
	// were there when the read began, and not seconds before.
	OnList func(items []*Object, at ResourceVersion, current bool)
}

// Read reads the objects as they are.
func (l *Lister) Read(ctx context.Context) error {
	list, err := l.API.List(ctx, l.Kind)
	return l.handle(list, err, true)
}

// First reads the objects as they were at some time, which may be seconds ago: it costs the
// platform little.
func (l *Lister) ReadInitial(ctx context.Context) error {
	list, err := l.API.ListStale(ctx, l.Kind)
	return l.handle(list, err, false)
}

// take takes in a list, or returns why there is none.
func (l *Lister) handle(list *List, err error, current bool) error {
	if err != nil {
		return eris.Wrap(err, "list "+l.Kind)
	}
	at, err := ParseResourceVersion(list.Metadata.ResourceVersion)
	if err != nil {
		return eris.Wrap(err, "list "+l.Kind)
	}
	l.OnList(list.Items, at, current)
	return nil
}
