// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/verdict"
)

// singleSlot is an upstream with one slot and its queue, in which all requests run for 10 ms.
type singleSlot struct {
	gate    admit.Gate
	tickets []*admit.Ticket
	names   []string
}

// newSingleSlot returns a singleSlot whose slot is held by the given organisation.
func newSingleSlot(organisation string, limits admit.Limits) *singleSlot {
	l := new(singleSlot)
	l.gate.SetLimits(limits)
	warm(&l.gate, 1, 10*time.Millisecond)
	l.enter(organisation, "")
	return l
}

// enter sends a request of an organisation, without a deadline.
func (l *singleSlot) enter(organisation, class string) *admit.Ticket {
	t := l.gate.EnterFor(organisation, class, time.Time{})
	l.tickets = append(l.tickets, t)
	l.names = append(l.names, organisation)
	return t
}

// enterAll sends a request of each organisation in the list.
func (l *singleSlot) enterAll(organisations string) {
	for _, o := range strings.Fields(organisations) {
		l.enter(o, "")
	}
}

// refused returns the organisations whose requests have been refused, in the order of their
// arrival.
func (l *singleSlot) refused() string {
	var list []string
	for i, t := range l.tickets {
		if t.Err() != nil {
			list = append(list, l.names[i])
		}
	}
	return strings.Join(list, " ")
}

// drain runs all requests and returns their organisations in that order.
func (l *singleSlot) drain() string {
	var list []string
	done := make(map[*admit.Ticket]bool)
	for more := true; more; {
		more = false
		for i, t := range l.tickets {
			if !done[t] && isReady(t) && t.Err() == nil {
				done[t] = true
				more = true
				list = append(list, l.names[i])
				time.Sleep(10 * time.Millisecond)
				t.Release(true)
			}
		}
	}
	return strings.Join(list, " ")
}

var singleSlotLimits = admit.Limits{
	Slots:       1,
	QueueLength: 4,
	QueueWait:   time.Hour,
}

// TestOrganisationsTakeTurns checks in which order waiting requests of several organisations start.
func TestOrganisationsTakeTurns(t *testing.T) {
	tests := map[string]struct {
		arrivals, want string
		weight         func(string) float64
	}{
		"one":              {arrivals: "a a a", want: "a a a a"},
		"one late arrival": {arrivals: "a a a b", want: "a b a a a"},
		"two":              {arrivals: "b b a a", want: "a b b a a"},
		"none":             {arrivals: "", want: "a"},
		"by weight": {
			arrivals: "b b b a",
			want:     "a b b b a",
			weight:   func(o string) float64 { return map[string]float64{"a": 1, "b": 4}[o] },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := singleSlotLimits
				limits.Weight = test.weight
				l := newSingleSlot("a", limits)
				l.enterAll(test.arrivals)
				qt.Check(t, l.refused(), qt.Equals, "")
				qt.Check(t, l.drain(), qt.Equals, test.want)
			})
		})
	}
}

// TestQueueFullOfOneOrganisation has organisations send requests to a full queue: a request of the
// organisation with the most waiting ones is displaced, if it has more than the sender would have.
func TestQueueFullOfOneOrganisation(t *testing.T) {
	tests := map[string]struct {
		arrivals, refused string
	}{
		"its own":        {arrivals: "a a a a a", refused: "a"},
		"another":        {arrivals: "a a a a b", refused: "a"},
		"several others": {arrivals: "a a a a b c d", refused: "a a a"},
		"all have one":   {arrivals: "a a a a b c d e", refused: "a a a e"},
		"equal":          {arrivals: "a a b b a", refused: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newSingleSlot("a", singleSlotLimits)
				l.enterAll(test.arrivals)
				qt.Check(t, l.refused(), qt.Equals, test.refused)
				for _, k := range l.tickets {
					if err := k.Err(); err != nil {
						qt.Check(t, err.Cause, qt.Equals, verdict.Refused)
						qt.Check(t, err.Verdict(), qt.Equals, verdict.NotRun)
						qt.Check(t, err.RetryAfter > 0, qt.IsTrue)
					}
				}
				qt.Check(t, l.gate.Report().Waiting, qt.Equals, 4)
			})
		})
	}
}

// TestQueueFullOfClasses sends a request to a queue that another organisation fills with requests of
// classes of the same priority, or of a lower one.
func TestQueueFullOfClasses(t *testing.T) {
	limits := singleSlotLimits.WithClasses(
		admit.Class{Name: "low", Weight: 1, MaxShare: 1},
		admit.Class{Name: "slow", Weight: 4, MaxShare: 1, Priority: 1},
		admit.Class{Name: "fast", Weight: 4, MaxShare: 1, Priority: 1},
	)
	tests := map[string]struct {
		organisation, class string
		full                []string
		refused             string
	}{
		"a lower priority goes first":        {organisation: "b", class: "fast", full: []string{"slow", "slow", "slow", "low"}, refused: "a"},
		"its own lower priority":             {organisation: "a", class: "fast", full: []string{"slow", "slow", "slow", "low"}, refused: "a"},
		"another class of the same":          {organisation: "b", class: "fast", full: []string{"slow", "slow", "slow", "slow"}, refused: "a"},
		"another class, itself":              {organisation: "a", class: "fast", full: []string{"slow", "slow", "slow", "slow"}, refused: "a"},
		"no organisation, another class":     {organisation: "", class: "fast", full: []string{"slow", "slow", "slow", "slow"}, refused: "a"},
		"a higher priority is not displaced": {organisation: "b", class: "low", full: []string{"slow", "slow", "slow", "slow"}, refused: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newSingleSlot("a", limits)
				for _, class := range test.full {
					l.enter("a", class)
				}
				k := l.enter(test.organisation, test.class)
				qt.Check(t, l.refused(), qt.Equals, test.refused)
				waits := test.refused != test.organisation || test.class == "fast" && test.full[3] == "low"
				qt.Check(t, k.Err() == nil, qt.Equals, waits)
			})
		})
	}
}

// TestWaitOfSmallOrganisation has one organisation fill the queue: a request of another is expected
// to wait for its own turn, not for the whole queue, so it is queued even with little time left.
func TestWaitOfSmallOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := singleSlotLimits
		limits.QueueLength = 16
		l := newSingleSlot("a", limits)
		l.enterAll("a a a a a a a a")
		enter := func(organisation string, remaining time.Duration) *verdict.Error {
			k := l.gate.EnterFor(organisation, "", time.Now().Add(remaining))
			defer k.Revoke()
			return k.Err()
		}
		qt.Check(t, enter("b", 30*time.Millisecond) == nil, qt.IsTrue)
		qt.Check(t, enter("a", 30*time.Millisecond) != nil, qt.IsTrue)
		qt.Check(t, enter("", 30*time.Millisecond) == nil, qt.IsTrue)
		qt.Check(t, enter("b", 11*time.Millisecond).RetryAfter < enter("a", 11*time.Millisecond).RetryAfter, qt.IsTrue)
	})
}

// TestReportOfOrganisations checks the reported numbers of organisations that wait and of displaced
// requests.
func TestReportOfOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSingleSlot("a", singleSlotLimits)
		l.enterAll("a a a a b c")
		r := l.gate.Report()
		qt.Check(t, r.WaitingOrganisations, qt.Equals, 3)
		qt.Check(t, r.Displaced, qt.Equals, uint64(2))
	})
}
