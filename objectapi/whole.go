// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import "context"

// ReadWhole reads all objects as they are now. A platform may answer this while its watches
// hear nothing.
func (r *Reader) ReadAll(ctx context.Context) error {
	return r.handle(r.API.List(ctx, r.Kind))
}

// IsUnanswered returns whether err says that a call got no answer, or none that says what
// came of it.
func IsOutcomeUnknown(err error) bool { return err != nil && mayHaveRun(err) }
