// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"context"
	"time"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// Result is the result of accepting an intent.
type Result struct {
	// Object is the current Accepted object, or nil if there is none.
	Object *objectapi.Object
	// Written is whether this call wrote it.
	Written bool
	// Errors say why the intent is invalid, if it is.
	Errors operator.FieldErrors
}

// acceptAttempts bounds the attempts of one Accept that conflict with other representatives.
const acceptAttempts = 5

// Accept makes an intent the active configuration, unless it already is or is invalid.
// Several representatives may do so concurrently, and each may be paused at any point:
// the conditional write decides.
func Accept(ctx context.Context, api objectapi.API, in Intent) (Result, error) {
	var lastErr error
	for range acceptAttempts {
		current, err := api.Get(ctx, operator.KindAccepted, in.Name)
		if objectapi.IsNotFound(err) {
			current, err = nil, nil
		}
		if err != nil {
			return Result{}, err
		}
		d, err := Decide(in, current, time.Now())
		if err != nil {
			return Result{}, err
		}
		if d.Write == nil {
			return Result{
				Object: current,
				Errors: d.Errors,
			}, nil
		}
		written, err := objectapi.Put(ctx, api, d.Write)
		if err == nil {
			return Result{
				Object:  written,
				Written: true,
			}, nil
		}
		if !objectapi.IsConflict(err) {
			return Result{}, err
		}
		lastErr = err
	}
	return Result{}, lastErr
}
