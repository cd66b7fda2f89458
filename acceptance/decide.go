// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"errors"
	"time"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// Intent is what is known of an operator's wish for one service.
type Intent struct {
	// Name is the name of the service.
	Name string
	// Source is the resource version of the Service object, of its deletion,
	// or of a list that does not have it.
	Source uint64
	// Spec is the spec of the Service object, or nil if it is gone.
	Spec []byte
}

// IntentOf returns the intent that a Service object states.
func NewIntent(o *objectapi.Object) Intent {
	return Intent{
		Name:   o.Metadata.Name,
		Source: o.Revision(),
		Spec:   o.Spec,
	}
}

// Decision is what to do about an intent.
type Decision struct {
	// Write is the Accepted object to write, conditionally, or nil if nothing
	// is to be written.
	Write *objectapi.Object
	// Refused says why the intent is invalid, if it is. What is in force stays.
	Errors operator.FieldErrors
}

// Decide returns what to do about an intent, given the present Accepted object
// or nil if there is none.
//
// An intent that is not newer than the one in force is done already: a representative
// that was paused, or reads old state, then writes nothing. If the present
// object is itself out of date, the conditional write fails.
func Decide(in Intent, current *objectapi.Object, now time.Time) (Decision, error) {
	var accepted operator.Accepted
	if current != nil {
		var err error
		if accepted, err = objectapi.DecodeSpec[operator.Accepted](current); err != nil {
			return Decision{}, err
		}
	}
	if in.Source <= accepted.SourceVersion {
		return Decision{}, nil
	}
	next := operator.Accepted{
		Sequence:      accepted.Sequence + 1,
		SourceVersion: in.Source,
		AcceptedAt:    now.UTC(),
	}
	if in.Spec == nil {
		if current == nil || accepted.Deleted {
			return Decision{}, nil
		}
		next.Deleted = true
		return Decision{Write: object(in.Name, next, current)}, nil
	}
	if f := operator.CheckName(in.Name); len(f) > 0 {
		return Decision{Errors: f}, nil
	}
	s, err := operator.ParseService(in.Spec)
	if err != nil {
		return Decision{Errors: fieldErrors(err)}, nil
	}
	next.Service = s
	return Decision{Write: object(in.Name, next, current)}, nil
}

// faultsOf returns an error of ParseService as faults.
func fieldErrors(err error) operator.FieldErrors {
	if f, ok := errors.AsType[operator.FieldErrors](err); ok {
		return f
	}
	return operator.FieldErrors{{
		Field:   "spec",
		Message: err.Error(),
	}}
}

// object returns the Accepted object that replaces the present one.
func object(name string, a operator.Accepted, current *objectapi.Object) *objectapi.Object {
	o := objectapi.NewObject(operator.KindAccepted, name, a)
	if current != nil {
		o = o.WithResourceVersion(current.Metadata.ResourceVersion)
	}
	return o
}
