// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/gate"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// noticeFixture is a fixture whose upstream sets the fields in noticeFields in every response.
type noticeFixture struct {
	*fixture
	slots        int
	noticeFields atomic.Pointer[http.Header]
	status       atomic.Int64
	requests     atomic.Int64
	mu           sync.Mutex
	notices      []*peer.Notice // notices received with responses and failures, nil when one ends
	leaving      []string
	changes      int
	invalid      int
}

func newNoticeFixture(t *testing.T, slots int, work time.Duration) *noticeFixture {
	n := &noticeFixture{slots: slots}
	n.setFields()
	n.fixture = newFixture(t, slots, func(w http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		time.Sleep(work)
		for name, values := range *n.noticeFields.Load() {
			w.Header()[name] = values
		}
		if s := n.status.Load(); s != 0 {
			w.WriteHeader(int(s))
		}
	})
	n.gate.UpstreamLeaving = func(start string, _ int64) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.leaving = append(n.leaving, start)
	}
	n.gate.NoticeChanged = func(gate.NoticeState) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changes++
	}
	n.gate.NoticeInvalid = func(string, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.invalid++
	}
	n.client.OnNotice = func(m *peer.Notice) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.notices = append(n.notices, m)
	}
	n.announce("i-1", 0)
	return n
}

// announce announces a start of the upstream.
func (n *noticeFixture) announce(start string, startMillis int64) {
	n.gate.SetAnnouncement(&upstream.Announcement{
		Service:     "service",
		Address:     n.address,
		Slots:       n.slots,
		Connections: n.slots,
		StartID:     start,
		StartMillis: startMillis,
	})
}

// setFields sets fields of the upstream's responses, given as names and values.
func (n *noticeFixture) setFields(fields ...string) {
	h := http.Header{}
	for i := 0; i < len(fields); i += 2 {
		h.Set(fields[i], fields[i+1])
	}
	n.noticeFields.Store(&h)
}

// send makes a call whose sender already knows a notice, and returns its failure.
func (n *noticeFixture) send(notice *peer.Notice) *verdict.Error {
	m := &peer.Call{Service: "service", Method: "POST", Target: "/", Remaining: time.Second, Notice: notice}
	x, failure := n.client.Start(context.Background(), m, nil)
	if failure != nil {
		return failure
	}
	defer x.Close()
	_, failure = x.Wait()
	return failure
}

// last returns the notice that came with the last response or failure.
func (n *noticeFixture) last(t *testing.T) *peer.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	qt.Assert(t, len(n.notices) > 0, qt.IsTrue)
	return n.notices[len(n.notices)-1]
}

const (
	limitField   = "Sassafras-Limit"
	leavingField = "Sassafras-Leaving"
)

// TestNoticeInResponses has an upstream advertise a limit in responses of different kinds.
func TestNoticeInResponses(t *testing.T) {
	tests := map[string]struct {
		fields  []string
		status  int
		limited bool
		limit   float64
		invalid int
	}{
		"nothing":          {},
		"a limit":          {fields: []string{limitField, "7.5"}, limited: true, limit: 7.5},
		"with a failure":   {fields: []string{limitField, "7.5"}, status: 500, limited: true, limit: 7.5},
		"with a refusal":   {fields: []string{limitField, "7.5", upstream.VerdictHeader, "notRun"}, status: 503, limited: true, limit: 7.5},
		"zero":             {fields: []string{limitField, "0"}, limited: true},
		"a huge number":    {fields: []string{limitField, "1e300"}, limited: true, limit: 1e6},
		"garbage":          {fields: []string{limitField, "some"}, invalid: 1},
		"negative":         {fields: []string{limitField, "-2"}, invalid: 1},
		"leaving, invalid": {fields: []string{leavingField, "perhaps"}, invalid: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNoticeFixture(t, 4, 0)
			n.setFields(test.fields...)
			n.status.Store(int64(test.status))
			_ = n.send(nil)
			s := n.gate.NoticeState()
			qt.Check(t, s.Limit.Limited, qt.Equals, test.limited)
			qt.Check(t, s.Limit.Rate, qt.Equals, test.limit)
			qt.Check(t, s.Leaving, qt.IsFalse)
			qt.Check(t, n.invalid, qt.Equals, test.invalid)
			if test.limited {
				qt.Check(t, *n.last(t), qt.Equals, peer.Notice{StartID: "i-1", Limited: true, Limit: test.limit})
			} else {
				qt.Check(t, n.notices, qt.HasLen, 0)
			}
		})
	}
}

// TestInvalidNoticeKeepsLimit guards against losing a limit when a later notice can't be parsed.
func TestInvalidNoticeKeepsLimit(t *testing.T) {
	n := newNoticeFixture(t, 4, 0)
	n.setFields(limitField, "1000")
	qt.Assert(t, n.send(nil) == nil, qt.IsTrue)
	n.setFields(limitField, "soon")
	time.Sleep(5 * time.Millisecond)
	_ = n.send(nil)
	qt.Check(t, n.gate.NoticeState().Limit.Rate, qt.Equals, 1000.0)
	n.setFields()
	time.Sleep(5 * time.Millisecond)
	qt.Assert(t, n.send(n.last(t)) == nil, qt.IsTrue)
	qt.Check(t, n.gate.NoticeState().Limit.Limited, qt.IsFalse)
	qt.Check(t, n.last(t), qt.IsNil, qt.Commentf("the sender learns that it has ended"))
}

// TestLimitAcrossNodeRestarts guards against a burst of requests from each new process of a node. A
// sender that has received an advertised limit, or the notice that the upstream leaves, from an earlier
// process of the node passes it on with its calls, so that it applies before the upstream repeats it.
func TestLimitAcrossNodeRestarts(t *testing.T) {
	n := newNoticeFixture(t, 4, 0)
	known := &peer.Notice{StartID: "i-1", Limited: true, Limit: 0.5}
	failure := n.send(known)
	qt.Assert(t, failure, qt.IsNotNil)
	qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
	qt.Check(t, failure.RetryAfter > time.Second, qt.IsTrue, qt.Commentf("%v", failure.RetryAfter))
	qt.Check(t, n.gate.NoticeState().Limit.Adopted, qt.IsTrue)
	qt.Check(t, n.requests.Load(), qt.Equals, int64(0))
	qt.Check(t, *n.last(t), qt.Equals, *known, qt.Commentf("the sender gets it as well"))

	other := newNoticeFixture(t, 4, 0)
	qt.Check(t, other.send(&peer.Notice{StartID: "i-0", Limited: true, Limit: 0.5}) == nil, qt.IsTrue, qt.Commentf("of another start"))
	qt.Check(t, other.gate.NoticeState().Limit.Limited, qt.IsFalse)

	failure = other.send(&peer.Notice{StartID: "i-1", Leaving: true})
	qt.Assert(t, failure, qt.IsNotNil)
	qt.Check(t, failure.Cause, qt.Equals, verdict.Draining)
	qt.Check(t, other.leaving, qt.DeepEquals, []string{"i-1"})
}

// TestLeavingInResponses guards against sending requests to an upstream that leaves without having
// announced it. The upstream says so in a response while requests wait: these are refused as not
// run, and no other is sent until a new start is announced.
func TestLeavingInResponses(t *testing.T) {
	n := newNoticeFixture(t, 1, 30*time.Millisecond)
	n.setFields(leavingField, "1")
	var all sync.WaitGroup
	var mu sync.Mutex
	causes := make(map[verdict.Cause]int)
	for range 2 {
		all.Go(func() {
			failure := n.send(nil)
			mu.Lock()
			defer mu.Unlock()
			if failure != nil {
				causes[failure.Cause]++
			}
		})
	}
	all.Wait()
	qt.Check(t, n.requests.Load(), qt.Equals, int64(1))
	qt.Check(t, causes, qt.DeepEquals, map[verdict.Cause]int{verdict.Draining: 1})
	n.setFields()
	for range 3 {
		qt.Check(t, n.send(nil).Cause, qt.Equals, verdict.Draining, qt.Commentf("it still leaves"))
	}
	n.announce("i-1", 0)
	qt.Check(t, n.send(nil).Cause, qt.Equals, verdict.Draining, qt.Commentf("the same start"))
	qt.Check(t, n.gate.NoticeState().Leaving, qt.IsTrue)
	qt.Check(t, n.leaving, qt.DeepEquals, []string{"i-1"})
	for i, startMillis := range []int64{5, 9} {
		n.announce(fmt.Sprint("i-", 2), startMillis)
		qt.Check(t, n.send(nil) == nil, qt.IsTrue, qt.Commentf("start %d", i))
		n.setFields(leavingField, "1")
		_ = n.send(nil)
		qt.Check(t, n.gate.NoticeState().Leaving, qt.IsTrue)
		n.setFields()
	}
}

// TestLeavingOfEarlierStart guards against a response of an earlier start, which says that it leaves, that ends
// the start that runs under the same ID.
func TestLeavingOfEarlierStart(t *testing.T) {
	n := newNoticeFixture(t, 2, 30*time.Millisecond)
	n.announce("i-1", 5)
	n.setFields(leavingField, "1")
	sent := make(chan *verdict.Error)
	go func() { sent <- n.send(nil) }()
	for n.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	n.announce("i-1", 9)
	qt.Check(t, <-sent == nil, qt.IsTrue)
	qt.Check(t, n.gate.NoticeState().Leaving, qt.IsFalse)
	n.setFields()
	qt.Check(t, n.send(nil) == nil, qt.IsTrue)
}

// TestHealthNotices has probes with and without an advertised limit in their responses: if they have
// never had one, its absence does not end the limit that another response has advertised.
func TestHealthNotices(t *testing.T) {
	healthCheck := func(n *noticeFixture, limit float64) {
		n.gate.HandleNotice("i-1", upstream.Notice{FromHealthCheck: true, Limited: limit > 0, Limit: limit, SentAt: time.Now()})
	}
	n := newNoticeFixture(t, 4, 0)
	n.gate.HandleNotice("i-1", upstream.Notice{Limited: true, Limit: 5})
	healthCheck(n, 0)
	qt.Check(t, n.gate.NoticeState().Limit.Limited, qt.IsTrue, qt.Commentf("probes never advertise a limit"))
	healthCheck(n, 4)
	healthCheck(n, 0)
	qt.Check(t, n.gate.NoticeState().Limit.Limited, qt.IsFalse)
	n.gate.HandleNotice("i-0", upstream.Notice{Limited: true, Limit: 5})
	qt.Check(t, n.gate.NoticeState().Limit.Limited, qt.IsFalse, qt.Commentf("of another start"))
	qt.Check(t, n.changes, qt.Equals, 3)
}
