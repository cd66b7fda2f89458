// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

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

// stallingPlatform is a platform some of whose responses stall.
type stallingPlatform struct {
	objectapi.PollingAPI
	stalls int // of the next reads of changes
	waits  []time.Duration
}

func (p *stallingPlatform) List(context.Context, string) (*objectapi.List, error) {
	return &objectapi.List{Metadata: objectapi.Metadata{ResourceVersion: "7"}}, nil
}

func (p *stallingPlatform) Changes(_ context.Context, _, version string, wait time.Duration) (*objectapi.Changes, error) {
	p.waits = append(p.waits, wait)
	if p.stalls > 0 {
		p.stalls--
		return nil, eris.Wrap(objectapi.ErrStalled, "watch")
	}
	return &objectapi.Changes{ResourceVersion: version}, nil
}

// TestStalledReadIsRepeated guards against a table that is late because the connection of a read falls silent while the
// table arrives: the read is repeated at once, and only once.
func TestStalledReadIsRepeated(t *testing.T) {
	for name, row := range map[string]struct {
		stalls int
		waits  []time.Duration
		ok     bool
	}{
		"no stall":   {0, []time.Duration{time.Second}, true},
		"one stall":  {1, []time.Duration{time.Second, 0}, true},
		"two stalls": {2, []time.Duration{time.Second, 0}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &stallingPlatform{stalls: row.stalls}
			r := &configReader{table: &objectapi.Reader{API: p, Kind: "config"}}
			qt.Assert(t, r.Read(t.Context(), 0), qt.IsNil)
			err := r.Read(t.Context(), time.Second)
			qt.Check(t, err == nil, qt.Equals, row.ok)
			qt.Check(t, p.waits, qt.DeepEquals, row.waits)
		})
	}
}

// TestReadIsAbandoned guards against a node that reads a large table over its link while other nodes send it a tenth of
// that: a read is abandoned once its response is large and the table is being fetched, and reported otherwise.
func TestReadIsAbandoned(t *testing.T) {
	for name, row := range map[string]struct {
		received  []int
		fetching  bool
		abandoned bool
		reports   int
	}{
		"a large response":                         {[]int{largeReadBytes}, false, false, 1},
		"a small response, while fetching":         {[]int{largeReadBytes - 1}, true, false, 0},
		"a large response, while fetching":         {[]int{1, largeReadBytes}, true, true, 0},
		"the next response is small, and fetching": {[]int{largeReadBytes - 1, 1}, true, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var abandoned bool
			var reports int
			r := readReporter{
				report:     func(time.Time) { reports++ },
				interval:   time.Second,
				isFetching: func() bool { return row.fetching },
				abandon:    func() { abandoned = true },
			}
			for _, n := range row.received {
				r.progress(n)
			}
			qt.Check(t, abandoned, qt.Equals, row.abandoned)
			qt.Check(t, reports, qt.Equals, row.reports)
		})
	}
}
