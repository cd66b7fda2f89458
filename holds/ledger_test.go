// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package holds_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/holds"
	"sassafrasfront.example/internal/objectstore"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/quarantine"
)

var print = quarantine.Head("caller", "GET", "h.example", "/fatal").WithBody(nil)

// open returns a ledger on a platform, with the index that it fills.
func open(t *testing.T, store *objectstore.Server) (*holds.Ledger, *quarantine.Index) {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	index := new(quarantine.Index)
	return &holds.Ledger{
		API:    &objectapi.Client{Caller: objectapi.Caller{URL: server.URL, Timeout: time.Second}, Namespace: "test"},
		Report: index.Add,
		Log:    zerolog.Nop(),
	}, index
}

// held returns the judgment of a request that was held the given time ago.
func held(ago time.Duration, upstreams ...string) quarantine.Judgment {
	return quarantine.Judgment{
		Print:    print,
		Standing: quarantine.Held,
		Ends:     len(upstreams),
		Since:    time.Now().Add(-ago),
		Isolated: upstreams,
	}
}

// TestHoldsOutliveNodes has one node write, and another that starts read.
func TestHoldsOutliveNodes(t *testing.T) {
	tests := map[string]struct {
		saved []quarantine.Judgment
		want  quarantine.Standing
		ends  int
		kept  int // objects, after they were read
	}{
		"none":           {},
		"a hold":         {saved: []quarantine.Judgment{held(0, "a")}, want: quarantine.Held, ends: 1, kept: 1},
		"one that grew":  {saved: []quarantine.Judgment{held(time.Minute, "a"), held(0, "a", "b")}, want: quarantine.Held, ends: 2, kept: 1},
		"an older one":   {saved: []quarantine.Judgment{held(0, "a", "b"), held(time.Minute, "a")}, want: quarantine.Held, ends: 2, kept: 1},
		"one over":       {saved: []quarantine.Judgment{held(11*time.Minute, "a")}, want: quarantine.Seen, ends: 1, kept: 1},
		"long forgotten": {saved: []quarantine.Judgment{held(3*time.Hour, "a")}},
		"of no upstream": {saved: []quarantine.Judgment{held(0)}, kept: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			writer, _ := open(t, new(objectstore.Server))
			for _, j := range test.saved {
				writer.Save(ctx, j)
			}
			index := new(quarantine.Index)
			reader := &holds.Ledger{API: writer.API, Report: index.Add, Log: zerolog.Nop()}
			reader.Load(ctx)
			j := index.Judge(print)
			qt.Check(t, j.Standing, qt.Equals, test.want)
			qt.Check(t, j.Ends, qt.Equals, test.ends)
			list, err := writer.API.List(ctx, holds.Kind)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, list.Items, qt.HasLen, test.kept)
		})
	}
}

// TestSaveUnderFaults has the platform lose answers, and be away for a moment: the hold
// is written all the same.
func TestSaveUnderFaults(t *testing.T) {
	for name, faults := range map[string]objectstore.Faults{
		"lost answers": {LoseWrites: 0.5},
		"fails":        {Fail: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := new(objectstore.Server)
			writer, index := open(t, store)
			store.SetFaults(faults)
			writer.Save(context.Background(), held(0, "a"))
			store.SetFaults(objectstore.Faults{})
			writer.Load(context.Background())
			qt.Check(t, index.Judge(print).Standing, qt.Equals, quarantine.Held)
		})
	}
}
