// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// zones shows the evacuated zones, as seen by a node.
func (t *tool) zones(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl zones -node ADDRESS")}
	}
	return showNodeList(ctx, t, "/v1/zones", "ZONE\tREVISION\tSINCE\tUPSTREAMS\tRUNNING HERE", func(z operator.EvacuatedZone) string {
		running := "-"
		if z.InFlight != nil {
			running = strconv.Itoa(*z.InFlight)
		}
		at := objectapi.ResourceVersion{
			Era:      z.Era,
			Revision: z.Revision,
		}
		return fmt.Sprintf("%s\t%v\t%s\t%d\t%s", z.Zone, at, z.Since.Format(time.RFC3339), z.Upstreams, running)
	})
}
