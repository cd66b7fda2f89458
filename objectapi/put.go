// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"
	"crypto/rand"
	"net/http"

	"sassafrasfront.example/verdict"
)

// writeID is the annotation that identifies a write.
const writeID = Group + "/write-id"

// putAttempts bounds the attempts of one Put.
const putAttempts = 4

// Put creates o if it has no resource version, and updates it otherwise. If the
// response is lost, Put reads the object back: if it has the ID of this write, the
// write took effect. An error for which IsConflict is true means that there was
// another write; its Verdict is NotRun if this one certainly had no effect, and
// MayHaveRun if a response was lost and the object was overwritten since. After any
// other error the write may or may not have taken effect, unless its Verdict says
// otherwise.
func Put(ctx context.Context, api API, o *Object) (*Object, error) {
	id := rand.Text()
	o = o.withAnnotation(writeID, id)
	var err error
	conflictVerdict := verdict.NotRun
	for range putAttempts {
		var written *Object
		if o.Metadata.ResourceVersion == "" {
			written, err = api.Create(ctx, o)
		} else {
			written, err = api.Update(ctx, o)
		}
		if err == nil {
			return written, nil
		}
		if !IsConflict(err) && !mayHaveRun(err) {
			return nil, err
		}
		if mayHaveRun(err) {
			conflictVerdict = verdict.MayHaveRun
		}
		// The conflict may be with an earlier attempt of this Put.
		current, readErr := api.Get(ctx, o.Kind, o.Metadata.Name)
		switch {
		case readErr == nil && current.Metadata.Annotations[writeID] == id:
			return current, nil
		case readErr == nil && current.Metadata.ResourceVersion != o.Metadata.ResourceVersion:
			return nil, conflict(current, conflictVerdict)
		case IsNotFound(readErr) && o.Metadata.ResourceVersion != "":
			return nil, readErr
		case readErr != nil && !IsNotFound(readErr):
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

// conflict returns the error of a write that was preceded by another one.
func conflict(current *Object, v verdict.Verdict) *Error {
	return &Error{
		Status:  http.StatusConflict,
		Verdict: v,
		Err:     &ConflictError{Current: current},
	}
}

// ConflictError is the underlying error of a Put that was preceded by another write.
type ConflictError struct {
	// Current is the object that the other write has left.
	Current *Object
}

// Error implements the error interface.
func (c *ConflictError) Error() string {
	return "object has resource version " + c.Current.Metadata.ResourceVersion
}
