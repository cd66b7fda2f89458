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

// Intent is an operator's intent for one service, as it was read.
type Intent struct {
	// Name is the name of the service.
	Name string
	// Source is the resource version of the Service object, of its deletion,
	// or of a list that does not contain it.
	Source uint64
	// Spec is the spec of the Service object, or nil if the object does not exist.
	Spec []byte
}

// NewIntent returns the intent of a Service object.
func NewIntent(o *objectapi.Object) Intent {
	return Intent{
		Name:   o.Metadata.Name,
		Source: o.Revision(),
		Spec:   o.Spec,
	}
}

// Decision is what to do about an intent.
type Decision struct {
	// Write is the Accepted object to write conditionally, or nil if there is
	// nothing to write.
	Write *objectapi.Object
	// Errors say why the intent is invalid, if it is. The active configuration stays.
	Errors operator.FieldErrors
}

// Decide returns what to do about an intent, given the current Accepted object
// or nil if there is none.
//
// Nothing is written for an intent that is not newer than the active one, as it
// comes from a representative that was paused or has read old state. If the given
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
	if errs := operator.CheckName(in.Name); len(errs) > 0 {
		return Decision{Errors: errs}, nil
	}
	s, err := operator.ParseService(in.Spec)
	if err != nil {
		return Decision{Errors: fieldErrors(err)}, nil
	}
	next.Service = s
	return Decision{Write: object(in.Name, next, current)}, nil
}

// fieldErrors converts an error of ParseService.
func fieldErrors(err error) operator.FieldErrors {
	if errs, ok := errors.AsType[operator.FieldErrors](err); ok {
		return errs
	}
	return operator.FieldErrors{{
		Field:   "spec",
		Message: err.Error(),
	}}
}

// object returns the Accepted object that replaces the current one.
func object(name string, a operator.Accepted, current *objectapi.Object) *objectapi.Object {
	o := objectapi.NewObject(operator.KindAccepted, name, a)
	if current != nil {
		o = o.WithResourceVersion(current.Metadata.ResourceVersion)
	}
	return o
}
