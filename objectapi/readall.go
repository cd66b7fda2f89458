// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import "context"

// ReadAll reads all objects in their current state. A platform may respond to this although its
// watches are silent.
func (r *Reader) ReadAll(ctx context.Context) error {
	return r.handle(r.API.List(ctx, r.Kind))
}

// IsOutcomeUnknown returns whether err says that a call may or may not have run, for example
// because it got no response.
func IsOutcomeUnknown(err error) bool { return err != nil && mayHaveRun(err) }
