// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/verdict"
)

// unwatchablePlatform is a platform whose watches fail, and whose lists succeed.
type unwatchablePlatform struct {
	objectapi.PollingAPI
	watches error
	lists   int
}

func (p *unwatchablePlatform) Changes(context.Context, string, string, time.Duration) (*objectapi.Changes, error) {
	return nil, p.watches
}

func (p *unwatchablePlatform) List(context.Context, string) (*objectapi.List, error) {
	p.lists++
	return &objectapi.List{Metadata: objectapi.Metadata{ResourceVersion: "7"}}, nil
}

// TestTableReadWhenWatchesFail has all watches fail: if they get no response and the last read was
// long ago, the whole table is read, and its freshness counts from that read.
func TestTableReadWhenWatchesFail(t *testing.T) {
	silent := &objectapi.Error{Verdict: verdict.MayHaveRun}
	refused := &objectapi.Error{Verdict: verdict.NotRun, Status: 503}
	for name, row := range map[string]struct {
		watches error
		overdue bool
		lists   int // after the first read
	}{
		"no response, long after a read":    {silent, true, 1},
		"no response, shortly after a read": {silent, false, 0},
		"refused":                           {refused, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := &unwatchablePlatform{watches: row.watches}
			var now, proven time.Duration
			r := &configReader{
				table:        &objectapi.Reader{API: p, Kind: "config"},
				clock:        func() time.Duration { now += time.Second; return now },
				confirmRead:  func(sent time.Duration) { proven = sent },
				proofOverdue: func() bool { return row.overdue },
			}
			qt.Assert(t, r.Read(t.Context(), 0), qt.IsNil)
			qt.Check(t, proven, qt.Equals, time.Second)
			err := r.Read(t.Context(), 0)
			qt.Check(t, err == nil, qt.Equals, row.lists > 0)
			qt.Check(t, p.lists, qt.Equals, 1+row.lists)
			qt.Check(t, proven, qt.Equals, time.Duration(1+2*row.lists)*time.Second)
		})
	}
}
