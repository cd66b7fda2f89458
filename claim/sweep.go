// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package claim

import (
	"context"
	"time"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// Sweep deletes the expired claims, and returns their number. Several nodes may call it concurrently.
func Sweep(ctx context.Context, api objectapi.API, now time.Time) (int, error) {
	l, err := api.List(ctx, operator.KindClaim)
	if err != nil {
		return 0, err
	}
	var deleted int
	for _, o := range l.Items {
		r, err := objectapi.DecodeSpec[Record](o)
		if err != nil || now.Before(r.ExpiresAt) {
			continue
		}
		err = api.Delete(ctx, operator.KindClaim, o.Metadata.Name, o.Metadata.ResourceVersion)
		if err != nil && !objectapi.IsNotFound(err) && !objectapi.IsConflict(err) {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
