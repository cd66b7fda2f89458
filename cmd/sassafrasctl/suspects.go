// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"sassafrasfront.example/operator"
)

// suspects shows the requests that a node suspects of crashing upstreams.
func (t *tool) suspects(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl suspects -node ADDRESS")}
	}
	return showNodeList(ctx, t, "/v1/suspects", "PRINT\tSTANDING\tENDS\tSINCE\tUNTIL\tUPSTREAMS", func(s operator.Suspect) string {
		until := "-"
		if s.BlockedUntil != nil {
			until = s.BlockedUntil.Format(time.RFC3339)
		}
		return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s", s.Fingerprint, s.State, s.Crashes, s.LastCrash.Format(time.RFC3339), until, strings.Join(s.Upstreams, " "))
	})
}

// release clears a suspected request, so that it may run again.
func (t *tool) release(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl release -node ADDRESS PRINT")}
	}
	if _, err := t.callNode(ctx, http.MethodDelete, "/v1/suspects/"+url.PathEscape(args[0])); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s released\n", args[0])
	return nil
}
