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

// writeID is the annotation that tells one write from another.
const writeID = Group + "/write-id"

// putTries bounds the tries of one Put.
const putAttempts = 4

// Put creates o if it names no resource version, and updates it otherwise. If
// the answer is lost, Put reads the object back: if it bears the id of this
// write, the write took effect. An error that IsConflict means that another
// write has come; its Verdict is NotRun if this one certainly had no effect, and
// MayHaveRun if an answer was lost and the object was overwritten since. Any
// other error leaves it open whether the write took
// effect, unless its Verdict says otherwise.
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
		// A conflict may be with an earlier try of this very write.
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

// conflict returns the failure of a write that another one came before.
func conflict(current *Object, v verdict.Verdict) *Error {
	return &Error{
		Status:  http.StatusConflict,
		Verdict: v,
		Err:     &ConflictError{Current: current},
	}
}

// Conflict is the underlying error of a Put that lost to another write.
type ConflictError struct {
	// Present is the object as the other write left it.
	Current *Object
}

// Error implements the error interface.
func (c *ConflictError) Error() string {
	return "the object is at version " + c.Current.Metadata.ResourceVersion
}
