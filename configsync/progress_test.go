// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/objectapi"
)

// TestPosition guards against reads that return a table again which the node has from other nodes.
func TestPosition(t *testing.T) {
	at := objectapi.ResourceVersion{Revision: 40}
	reader, other := newProgressState(1), newProgressState(2)
	now := origin.Add(time.Second)
	reader.SetVersion(7)
	reader.SetPosition(at)
	reader.ReadDone(true, 0, now)
	qt.Check(t, reader.Position(), qt.Equals, at)
	other.SetVersion(6)
	other.Receive(reader.Status(now), now)
	qt.Check(t, other.Position(), qt.Equals, objectapi.ResourceVersion{}, qt.Commentf("version 7 is not active here"))
	other.SetVersion(7)
	qt.Check(t, other.Position(), qt.Equals, at)
}

// newProgressState returns the State of a node that starts at the origin.
func newProgressState(seed uint64) *State {
	return New(within, origin, rand.New(rand.NewPCG(seed, seed)))
}

// TestReadsWaitForProgress guards against all nodes reading a large table by themselves while another node's read of it
// makes progress, and against their waiting for one that is slow.
func TestReadsWaitForProgress(t *testing.T) {
	due := func(s *State, from time.Duration) time.Duration {
		for now := from; ; now += time.Millisecond {
			if action, _ := s.Next(Role{Nodes: 100}, origin.Add(now)); action == Read {
				return now
			}
		}
	}
	const readBegins = 400 * time.Millisecond
	for name, row := range map[string]struct {
		reports          time.Duration // until when another node reports progress
		earliest, latest time.Duration // of the own read
	}{
		"no progress":       {0, 550 * within / 1000, 750 * within / 1000},
		"it ends":           {1300 * time.Millisecond, 1300 * time.Millisecond, 1300*time.Millisecond + 200*within/1000},
		"it takes too long": {time.Minute, readBegins + within/2, 750 * within / 1000},
	} {
		t.Run(name, func(t *testing.T) {
			reader, s := newProgressState(1), newProgressState(2)
			for now := readBegins; now < row.reports; now += reader.ReportInterval() {
				p, ok := reader.ReadProgress(origin.Add(readBegins), origin.Add(now))
				if !ok {
					break
				}
				qt.Assert(t, s.ReceiveProgress(p, origin.Add(now)), qt.IsTrue)
				qt.Assert(t, s.ReceiveProgress(p, origin.Add(now)), qt.IsFalse, qt.Commentf("forwarded twice"))
			}
			at := due(s, 0)
			qt.Check(t, at >= row.earliest && at <= row.latest, qt.IsTrue, qt.Commentf("%v, not within %v and %v", at, row.earliest, row.latest))
		})
	}
	t.Run("a fetch from other nodes", func(t *testing.T) {
		s := newProgressState(2)
		s.TransferProgress(origin.Add(time.Second), origin.Add(1400*time.Millisecond))
		qt.Check(t, due(s, 0) >= 1400*time.Millisecond+within/5, qt.IsTrue)
	})
}
