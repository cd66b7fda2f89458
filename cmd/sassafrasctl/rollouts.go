// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sassafrasfront.example/operator"
)

// rollouts shows the roll-outs, as seen by a node.
func (t *tool) rollouts(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl rollouts -node ADDRESS")}
	}
	return showNodeList(ctx, t, "/v1/rollouts", "SERVICE\tVERSION\tPHASE\tSHARE\tCHANGED\tDECIDED BY\tREASON", func(r operator.Rollout) string {
		return fmt.Sprintf("%s\t%s\t%s\t%.3f\t%s\t%s\t%s", r.Service, r.Version, r.Phase, r.Share, r.ChangedAt.Format(time.RFC3339), r.Node, r.Reason)
	})
}
