// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"fmt"

	"sassafrasfront.example/operator"
)

// organisations shows the organisations with a rate limit, as seen by a node, ordered by the
// number of requests refused there.
func (t *tool) organisations(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl organisations -node ADDRESS")}
	}
	return showNodeList(ctx, t, "/v1/organisations", "ORGANISATION\tRATE\tBURST\tNOW\tHERE\tSHARE\tREFUSED: LIMIT\tUNKNOWN", func(o operator.Organisation) string {
		all, share := "-", "-"
		if o.TotalRate > 0 {
			all = fmt.Sprintf("%.1f", o.TotalRate)
			share = fmt.Sprintf("%.0f%%", 100*min(1, o.LocalRate/o.TotalRate))
		}
		return fmt.Sprintf("%s\t%g\t%g\t%s\t%.1f\t%s\t%d\t%d", o.Organisation, o.Rate, o.Burst, all, o.LocalRate, share, o.RefusedOverLimit, o.RefusedUnknown)
	})
}
