// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
)

// startScenario plays what an upstream and its node do, and holds what the node has recorded.
type startScenario struct {
	announcements *upstream.Announcements
	running       upstream.Running
	checks        int
	recorded      []startRecord
	ctx           context.Context
}

// startRecord is a departure that was recorded.
type startRecord struct {
	id          string
	startMillis int64
}

// restart replaces the node's process. It knows the departures that were recorded.
func (s *startScenario) restart() {
	s.announcements = &upstream.Announcements{
		OnChange:      func(*upstream.Announcement) {},
		StaleAfter:    time.Minute,
		AwaitRecovery: true,
		FindRunning: func(context.Context, *upstream.Announcement) upstream.Running {
			s.checks++
			return s.running
		},
		RecordDeparture: func(_ context.Context, id string, startMillis int64) error {
			s.recorded = append(s.recorded, startRecord{id: id, startMillis: startMillis})
			return nil
		},
	}
	for _, r := range s.recorded {
		s.announcements.Leave(r.id, r.startMillis)
	}
	s.announcements.Recover()
}

// runs sets the start that runs.
func (s *startScenario) runs(id string, startMillis int64) {
	s.running = upstream.Running{
		Known:       true,
		StartID:     id,
		StartMillis: startMillis,
	}
}

// ready and drains send a heartbeat.
func (s *startScenario) ready(id string, startMillis int64) error {
	return s.announcements.Announce(s.ctx, announcement(id, startMillis, 1, false))
}

func (s *startScenario) drains(id string, startMillis int64) error {
	return s.announcements.Announce(s.ctx, announcement(id, startMillis, 1, true))
}

// leaves sends a leave.
func (s *startScenario) leaves(id string, startMillis int64) error {
	return s.announcements.Depart(s.ctx, id, startMillis)
}

// serves returns the ID and the start time of the start that gets requests, or "".
func (s *startScenario) serves() (id string, startMillis int64) {
	c := s.announcements.Current()
	if c == nil || c.Draining {
		return "", 0
	}
	return c.StartID, c.StartMillis
}

// TestDepartureIsToldByWhatRuns guards against a departure that is acknowledged and ignored because the
// clock was set back between two starts, and against delayed announcements that end the start which
// runs or undo its departure.
func TestDepartureIsToldByWhatRuns(t *testing.T) {
	tests := map[string]struct {
		play   func(s *startScenario) error // the last call
		err    error
		serves string
		millis int64
		checks int
	}{
		"drains after its clock was set back": {
			play: func(s *startScenario) error {
				s.runs("a", 3000)
				_ = s.ready("a", 3000)
				s.runs("a", 2000)
				_ = s.ready("a", 2000)
				return s.drains("a", 2000)
			},
			checks: 1,
		},
		"drains after its clock was set back, as its first announcement": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 3000)
				s.runs("a", 2000)
				return s.drains("a", 2000)
			},
			checks: 1,
		},
		"leaves after its clock was set back": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 3000)
				s.runs("a", 2000)
				return s.leaves("a", 2000)
			},
			checks: 1,
		},
		"leaves without its start time after its clock was set back": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 3000)
				s.runs("a", 2000)
				err := s.leaves("a", 0)
				s.restart()
				_ = s.ready("a", 2000)
				return err
			},
			checks: 1,
		},
		"serves after its clock was set back, under another ID": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 3000)
				s.runs("b", 2000)
				return s.ready("b", 2000)
			},
			serves: "b", millis: 2000, checks: 1,
		},
		"a late drain of an earlier start": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				s.runs("a", 2000)
				return s.drains("a", 1000)
			},
			err: upstream.ErrNotRunning, serves: "a", millis: 2000, checks: 1,
		},
		"a late drain of an earlier start with a later start time": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				s.runs("a", 2000)
				return s.drains("a", 3000)
			},
			err: upstream.ErrNotRunning, serves: "a", millis: 2000, checks: 1,
		},
		"a late leave of an earlier start with a later start time": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				s.runs("a", 2000)
				return s.leaves("a", 3000)
			},
			err: upstream.ErrNotRunning, serves: "a", millis: 2000, checks: 1,
		},
		"a late drain of an earlier start under another ID, after a restart of the node": {
			play: func(s *startScenario) error {
				_ = s.ready("b", 0)
				s.runs("b", 0)
				return s.drains("a", 0)
			},
			serves: "b", checks: 1,
		},
		"a departure of an earlier start with a later start time, from another node": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				s.runs("a", 2000)
				s.announcements.Departed(s.ctx, "a", 3000)
				return nil
			},
			serves: "a", millis: 2000, checks: 1,
		},
		"its departure from another node, while a late announcement is current": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 3000)
				s.runs("a", 2000)
				s.announcements.Departed(s.ctx, "a", 2000)
				return nil
			},
			checks: 1,
		},
		"drained, and a late announcement with an earlier start time": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				s.runs("a", 2000)
				return s.ready("a", 1000)
			},
			checks: 1,
		},
		"drained, and a late announcement with a later start time": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				s.runs("a", 2000)
				return s.ready("a", 3000)
			},
			checks: 1,
		},
		"drained, a restart of the node, and a late announcement with an earlier start time": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				s.restart()
				s.runs("a", 2000)
				return s.ready("a", 1000)
			},
			checks: 1,
		},
		"drained, a restart of the node, and a late announcement with a later start time": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				s.restart()
				s.runs("a", 2000)
				return s.ready("a", 3000)
			},
			checks: 1,
		},
		"drained, and a late announcement while nothing tells what runs": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				s.restart()
				return s.ready("a", 3000)
			},
			err: upstream.ErrUnknownStart, checks: 1,
		},
		"drained, and the next start under its ID": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				s.runs("a", 3000)
				return s.ready("a", 3000)
			},
			serves: "a", millis: 3000, checks: 1,
		},
		"drained, and the next start under its ID after its clock was set back": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				s.restart()
				s.runs("a", 1000)
				return s.ready("a", 1000)
			},
			serves: "a", millis: 1000, checks: 1,
		},
		"drains while nothing tells what runs": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 3000)
				return s.drains("a", 2000)
			},
			err: upstream.ErrUnknownStart, serves: "a", millis: 3000, checks: 1,
		},
		"leaves while nothing tells what runs": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 3000)
				return s.leaves("a", 2000)
			},
			err: upstream.ErrUnknownStart, serves: "a", millis: 3000, checks: 1,
		},
		"starts again while nothing tells what runs": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				return s.ready("a", 3000)
			},
			serves: "a", millis: 3000, checks: 1,
		},
		"superseded by a late announcement": {
			play: func(s *startScenario) error {
				_ = s.ready("b", 0)
				_ = s.ready("a", 0)
				s.runs("b", 0)
				return s.ready("b", 0)
			},
			serves: "b", checks: 1,
		},
		"repeats its drain": {
			play: func(s *startScenario) error {
				_ = s.ready("a", 2000)
				_ = s.drains("a", 2000)
				return s.drains("a", 2000)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &startScenario{ctx: t.Context()}
				s.restart()
				err := test.play(s)
				qt.Check(t, err, qt.ErrorIs, test.err)
				id, millis := s.serves()
				qt.Check(t, id, qt.Equals, test.serves)
				qt.Check(t, millis, qt.Equals, test.millis)
				qt.Check(t, s.checks, qt.Equals, test.checks, qt.Commentf("a heartbeat of the current start costs no health check"))
			})
		})
	}
}

// TestDrainWithoutStartTimeIsOfCurrentStart guards against a departure that is recorded for all starts with an ID,
// the next ones included, because the announcement of the drain leaves out the start time.
func TestDrainWithoutStartTimeIsOfCurrentStart(t *testing.T) {
	s := &startScenario{ctx: t.Context()}
	s.restart()
	qt.Assert(t, s.ready("a", 2000), qt.IsNil)
	qt.Assert(t, s.drains("a", 0), qt.IsNil)
	qt.Assert(t, s.recorded, qt.HasLen, 1)
	qt.Check(t, s.recorded[0], qt.Equals, startRecord{id: "a", startMillis: 2000})
	s.restart()
	s.runs("a", 3000)
	qt.Assert(t, s.ready("a", 3000), qt.IsNil)
	id, millis := s.serves()
	qt.Check(t, id, qt.Equals, "a")
	qt.Check(t, millis, qt.Equals, int64(3000))
}

// TestUnappliedDepartureIsNotAcknowledged guards against the acknowledgement of a departure that has no
// effect, where nothing but the order of the announcements tells which start runs.
func TestUnappliedDepartureIsNotAcknowledged(t *testing.T) {
	for name, leave := range map[string]bool{"a drain": false, "a leave": true} {
		t.Run(name, func(t *testing.T) {
			h := &upstream.Announcements{OnChange: func(*upstream.Announcement) {}}
			h.Set(announcement("a", 2000, 1, false))
			depart := func(startMillis int64) error {
				if leave {
					return h.Depart(t.Context(), "a", startMillis)
				}
				return h.Announce(t.Context(), announcement("a", startMillis, 1, true))
			}
			qt.Check(t, depart(1000), qt.ErrorIs, upstream.ErrNotRunning)
			qt.Check(t, h.Current().Draining, qt.IsFalse)
			qt.Check(t, depart(3000), qt.IsNil)
			qt.Check(t, h.Current().Draining, qt.IsTrue, qt.Commentf("the start times tell that it is the later one"))
		})
	}
}
