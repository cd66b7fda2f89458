// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package blocklist_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/blocklist"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/quarantine"
)

// countingAPI counts the reads of a platform that holds no object.
type countingAPI struct {
	objectapi.Objects
	reads *atomic.Int64
}

// ListStale implements objectapi.Objects.
func (c countingAPI) ListStale(context.Context, string) (*objectapi.List, error) {
	c.reads.Add(1)
	return new(objectapi.List), nil
}

// TestReadsOfManyStarts guards against too many reads when many nodes start at once: in the first minute
// each node reads once, and only a few read again, however many nodes there are.
func TestReadsOfManyStarts(t *testing.T) {
	tests := map[string]struct {
		nodes       int
		least, most int64 // expected second reads
	}{
		"a few": {nodes: 12, least: 12, most: 12},
		"100":   {nodes: 100, least: 5, most: 60},
		"1000":  {nodes: 1000, least: 5, most: 60},
		"5000":  {nodes: 5000, least: 5, most: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				var reads atomic.Int64
				var all sync.WaitGroup
				for range test.nodes {
					s := &blocklist.Store{
						API:    countingAPI{reads: &reads},
						Report: func(quarantine.Report) {},
						Nodes:  func() int { return test.nodes },
						Log:    zerolog.Nop(),
					}
					all.Go(func() { s.Run(ctx) })
				}
				all.Wait()
				second := reads.Load() - int64(test.nodes)
				qt.Check(t, second >= test.least && second <= test.most, qt.IsTrue, qt.Commentf("%d second reads", second))
			})
		})
	}
}
