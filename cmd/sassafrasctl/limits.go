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

// limits shows the upstreams that advertise a limit or are leaving, as seen by a node.
func (t *tool) limits(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl limits -node ADDRESS")}
	}
	return showNodeList(ctx, t, "/v1/limits", "NODE\tSTART\tLIMIT\tUSED\tREFUSED\tLEAVING\tSINCE\tTOLD BY", func(l operator.UpstreamLimit) string {
		limit, used, refused, leaving := "-", "-", "-", "no"
		if l.Limited {
			limit = fmt.Sprintf("%g/s", l.Limit)
		}
		if l.Source != operator.SourceResponses {
			used = fmt.Sprintf("%.0f%%", 100*l.UsedFraction)
			refused = fmt.Sprint(l.Refused)
		}
		if l.Leaving {
			leaving = "yes"
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", l.Node, l.StartID, limit, used, refused, leaving, l.Since.Format(time.RFC3339), l.Source)
	})
}
