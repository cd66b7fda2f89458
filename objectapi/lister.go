// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"

	"github.com/rotisserie/eris"
)

// Lister reads all objects of one kind by lists, which, unlike watches, do not depend on the
// platform's history. It is for kinds with few objects. The fields are set before the first
// call.
type Lister struct {
	// API is the platform.
	API PollingAPI
	// Kind is the kind that is read.
	Kind string
	// OnList is called with the objects at a resource version. Current is whether the list
	// is not older than the call.
	OnList func(items []*Object, at ResourceVersion, current bool)
}

// Read reads the current objects.
func (l *Lister) Read(ctx context.Context) error {
	list, err := l.API.List(ctx, l.Kind)
	return l.handle(list, err, true)
}

// ReadInitial reads the objects in a state that may be seconds old, which costs the platform
// little.
func (l *Lister) ReadInitial(ctx context.Context) error {
	list, err := l.API.ListStale(ctx, l.Kind)
	return l.handle(list, err, false)
}

// handle passes a list on, or returns why it could not be read.
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
