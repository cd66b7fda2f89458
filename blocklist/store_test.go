// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package blocklist_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/blocklist"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/quarantine"
)

var fingerprint = quarantine.NewFingerprint("caller", "GET", "h.example", "/fatal").WithBody(nil)

// open returns a Store on a platform, with the index that it fills.
func open(t *testing.T, store *objectapitest.Server) (*blocklist.Store, *quarantine.Index) {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	index := new(quarantine.Index)
	return &blocklist.Store{
		API:    &objectapi.Client{JSONClient: objectapi.JSONClient{URL: server.URL, Timeout: time.Second}, Namespace: "test"},
		Report: index.Add,
		Log:    zerolog.Nop(),
	}, index
}

// blocked returns the assessment of a request that was blocked the given time ago.
func blocked(ago time.Duration, upstreams ...string) quarantine.Assessment {
	return quarantine.Assessment{
		Fingerprint:       fingerprint,
		State:             quarantine.Blocked,
		Crashes:           len(upstreams),
		LastCrash:         time.Now().Add(-ago),
		IsolatedUpstreams: upstreams,
	}
}

// TestBlocksOutliveNodes writes blocks on one node, and reads them on another that starts later.
func TestBlocksOutliveNodes(t *testing.T) {
	tests := map[string]struct {
		saved []quarantine.Assessment
		want  quarantine.State
		ends  int
		left  int // objects that are left after they were read
	}{
		"none":                {},
		"a block":             {saved: []quarantine.Assessment{blocked(0, "a")}, want: quarantine.Blocked, ends: 1, left: 1},
		"updated":             {saved: []quarantine.Assessment{blocked(time.Minute, "a"), blocked(0, "a", "b")}, want: quarantine.Blocked, ends: 2, left: 1},
		"older update":        {saved: []quarantine.Assessment{blocked(0, "a", "b"), blocked(time.Minute, "a")}, want: quarantine.Blocked, ends: 2, left: 1},
		"no longer blocked":   {saved: []quarantine.Assessment{blocked(11*time.Minute, "a")}, want: quarantine.SeenAtCrash, ends: 1, left: 1},
		"expired":             {saved: []quarantine.Assessment{blocked(3*time.Hour, "a")}},
		"without an upstream": {saved: []quarantine.Assessment{blocked(0)}, left: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			writer, _ := open(t, new(objectapitest.Server))
			for _, j := range test.saved {
				writer.Save(ctx, j)
			}
			index := new(quarantine.Index)
			reader := &blocklist.Store{API: writer.API, Report: index.Add, Log: zerolog.Nop()}
			reader.Load(ctx)
			j := index.Assess(fingerprint)
			qt.Check(t, j.State, qt.Equals, test.want)
			qt.Check(t, j.Crashes, qt.Equals, test.ends)
			list, err := writer.API.List(ctx, blocklist.Kind)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, list.Items, qt.HasLen, test.left)
		})
	}
}

// TestRelease releases a block, and then one that does not exist.
func TestRelease(t *testing.T) {
	writer, index := open(t, new(objectapitest.Server))
	ctx := context.Background()
	writer.Save(ctx, blocked(0, "a"))
	for range 2 {
		qt.Check(t, writer.Release(ctx, fingerprint), qt.IsNil)
	}
	writer.Load(ctx)
	qt.Check(t, index.Assess(fingerprint).State, qt.Equals, quarantine.Unsuspected)
}

// TestSaveUnderFaults checks that a block is written although the platform loses responses or fails some
// calls.
func TestSaveUnderFaults(t *testing.T) {
	for name, faults := range map[string]objectapitest.Faults{
		"lost responses": {LoseWrites: 0.5},
		"fails":          {FailureRatio: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := new(objectapitest.Server)
			writer, index := open(t, store)
			store.SetFaults(faults)
			writer.Save(context.Background(), blocked(0, "a"))
			store.SetFaults(objectapitest.Faults{})
			writer.Load(context.Background())
			qt.Check(t, index.Assess(fingerprint).State, qt.Equals, quarantine.Blocked)
		})
	}
}
