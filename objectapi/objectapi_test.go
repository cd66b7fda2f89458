// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/verdict"
)

// start starts a fake platform and returns it with a client.
func start(t *testing.T) (*objectapitest.Server, *objectapi.Client) {
	t.Helper()
	s := new(objectapitest.Server)
	h := httptest.NewServer(s)
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	return s, &objectapi.Client{
		JSONClient: objectapi.JSONClient{
			URL:     h.URL,
			Timeout: 300 * time.Millisecond,
		},
		Namespace:    "test",
		WatchTimeout: 300 * time.Millisecond,
	}
}

type spec struct {
	Value int `json:"value"`
}

func object(name string, value int) *objectapi.Object {
	return objectapi.NewObject("Service", name, spec{Value: value})
}

func value(t *testing.T, o *objectapi.Object) int {
	t.Helper()
	s, err := objectapi.DecodeSpec[spec](o)
	qt.Assert(t, err, qt.IsNil)
	return s.Value
}

func TestConditionalWrites(t *testing.T) {
	ctx := context.Background()
	c := qt.New(t)
	_, api := start(t)
	_, err := api.Get(ctx, "Service", "a")
	c.Check(objectapi.IsNotFound(err), qt.IsTrue)
	first, err := api.Create(ctx, object("a", 1))
	c.Assert(err, qt.IsNil)
	_, err = api.Create(ctx, object("a", 2))
	c.Check(objectapi.IsConflict(err), qt.IsTrue)
	second, err := api.Update(ctx, object("a", 2).WithResourceVersion(first.Metadata.ResourceVersion))
	c.Assert(err, qt.IsNil)
	_, err = api.Update(ctx, object("a", 3).WithResourceVersion(first.Metadata.ResourceVersion))
	c.Check(objectapi.IsConflict(err), qt.IsTrue)
	got, err := api.Get(ctx, "Service", "a")
	c.Assert(err, qt.IsNil)
	c.Check(value(t, got), qt.Equals, 2)
	c.Check(objectapi.IsConflict(api.Delete(ctx, "Service", "a", first.Metadata.ResourceVersion)), qt.IsTrue)
	c.Check(api.Delete(ctx, "Service", "a", second.Metadata.ResourceVersion), qt.IsNil)
	l, err := api.List(ctx, "Service")
	c.Assert(err, qt.IsNil)
	c.Check(l.Items, qt.HasLen, 0)
}

// TestFaults checks for each fault of the platform what a read and a write return, and
// whether the write took effect.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults  objectapitest.Faults
		readOK  bool
		verdict verdict.Verdict // of the write; Ran means no error
		effect  bool
	}{
		"none":          {readOK: true, verdict: verdict.Ran, effect: true},
		"down":          {faults: objectapitest.Faults{Down: true}, verdict: verdict.MayHaveRun},
		"hangs":         {faults: objectapitest.Faults{Hang: true}, verdict: verdict.MayHaveRun},
		"slow":          {faults: objectapitest.Faults{DelayMillis: 50}, readOK: true, verdict: verdict.Ran, effect: true},
		"too slow":      {faults: objectapitest.Faults{DelayMillis: 600}, verdict: verdict.MayHaveRun, effect: true},
		"5xx":           {faults: objectapitest.Faults{FailureRatio: 1}, verdict: verdict.MayHaveRun},
		"lost response": {faults: objectapitest.Faults{LoseWrites: 1}, readOK: true, verdict: verdict.MayHaveRun, effect: true},
		"garbage":       {faults: objectapitest.Faults{MalformedReads: 1}, verdict: verdict.Ran, effect: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx := context.Background()
			s, api := start(t)
			_, err := api.Create(ctx, object("a", 1))
			qt.Assert(t, err, qt.IsNil)
			s.SetFaults(test.faults)
			_, err = api.Get(ctx, "Service", "a")
			qt.Check(t, err == nil, qt.Equals, test.readOK, qt.Commentf("%v", err))
			_, err = api.Create(ctx, object("b", 1))
			got := verdict.Ran
			if e, ok := errors.AsType[*objectapi.Error](err); ok {
				got = e.Verdict
			}
			qt.Check(t, got, qt.Equals, test.verdict, qt.Commentf("%v", err))
			time.Sleep(time.Duration(test.faults.DelayMillis) * time.Millisecond)
			s.SetFaults(objectapitest.Faults{})
			_, err = api.Get(ctx, "Service", "b")
			qt.Check(t, err == nil, qt.Equals, test.effect, qt.Commentf("%v", err))
		})
	}
}

func TestRefusedAndTooLargeAreNotRun(t *testing.T) {
	ctx := context.Background()
	_, api := start(t)
	huge := objectapi.NewObject("Service", "huge", strings.Repeat("x", objectapi.MaxObjectBytes))
	unreachable := &objectapi.Client{JSONClient: objectapi.JSONClient{URL: "http://127.0.0.1:1"}, Namespace: "test"}
	for name, call := range map[string]func() error{
		"too large": func() error { _, err := api.Create(ctx, huge); return err },
		"refused":   func() error { _, err := unreachable.Create(ctx, object("a", 1)); return err },
	} {
		t.Run(name, func(t *testing.T) {
			e, ok := errors.AsType[*objectapi.Error](call())
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, e.Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

// TestPutSurvivesLostResponses guards against writes that are counted twice or lost when
// responses are lost. Concurrent writers each add one to a counter: an acknowledged write
// counts exactly once, one with the verdict NotRun does not count, and others may count.
func TestPutSurvivesLostResponses(t *testing.T) {
	ctx := context.Background()
	s, api := start(t)
	_, err := api.Create(ctx, object("a", 0))
	qt.Assert(t, err, qt.IsNil)
	s.SetFaults(objectapitest.Faults{LoseWrites: 0.4})
	var mu sync.Mutex
	var acknowledged, unknown int
	var all sync.WaitGroup
	for range 6 {
		all.Go(func() {
			for range 20 {
				o, err := api.Get(ctx, "Service", "a")
				if err != nil {
					continue
				}
				next := object("a", value(t, o)+1).WithResourceVersion(o.Metadata.ResourceVersion)
				_, err = objectapi.Put(ctx, api, next)
				mu.Lock()
				e, _ := errors.AsType[*objectapi.Error](err)
				switch {
				case err == nil:
					acknowledged++
				case e.Verdict == verdict.MayHaveRun:
					unknown++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	o, err := api.Get(ctx, "Service", "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, acknowledged > 0, qt.IsTrue)
	got := value(t, o)
	comment := qt.Commentf("%d acknowledged, %d unknown, but the counter is %d", acknowledged, unknown, got)
	qt.Check(t, got >= acknowledged, qt.IsTrue, comment)
	qt.Check(t, got <= acknowledged+unknown, qt.IsTrue, comment)
}

func TestPutReturnsConflictingObject(t *testing.T) {
	ctx := context.Background()
	_, api := start(t)
	first, err := objectapi.Put(ctx, api, object("a", 1))
	qt.Assert(t, err, qt.IsNil)
	_, err = objectapi.Put(ctx, api, object("a", 2).WithResourceVersion(first.Metadata.ResourceVersion))
	qt.Assert(t, err, qt.IsNil)
	_, err = objectapi.Put(ctx, api, object("a", 3).WithResourceVersion(first.Metadata.ResourceVersion))
	qt.Assert(t, objectapi.IsConflict(err), qt.IsTrue)
	c, ok := errors.AsType[*objectapi.ConflictError](err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, value(t, c.Current), qt.Equals, 2)
}

// TestFollowerConverges makes changes under each fault of watches and checks that the
// follower ends up with the last state.
func TestFollowerConverges(t *testing.T) {
	tests := map[string]struct {
		faults      objectapitest.Faults
		dropHistory bool
	}{
		"none":            {},
		"dropped events":  {faults: objectapitest.Faults{DropEvents: 0.5}},
		"repeated events": {faults: objectapitest.Faults{RepeatEvents: 1}},
		"silent watches":  {faults: objectapitest.Faults{SilentWatches: true}},
		"failing":         {faults: objectapitest.Faults{FailureRatio: 0.5}},
		"garbage":         {faults: objectapitest.Faults{MalformedReads: 0.5}},
		"dropped history": {dropHistory: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			s, api := start(t)
			var mu sync.Mutex
			known := make(map[string]uint64)
			record := func(o *objectapi.Object) { known[o.Metadata.Name] = max(known[o.Metadata.Name], o.Revision()) }
			f := &objectapi.Follower{
				API:    api,
				Kind:   "Service",
				Relist: 400 * time.Millisecond,
				// With the default of 5 s, seven errors in a row from a platform that fails
				// half of the calls use up the 10 s within which it has to converge.
				MaxBackoff: 200 * time.Millisecond,
				OnList: func(l *objectapi.List) {
					mu.Lock()
					defer mu.Unlock()
					for _, o := range l.Items {
						record(o)
					}
				},
				OnChange: func(e objectapi.Event) {
					mu.Lock()
					defer mu.Unlock()
					record(e.Object)
				},
			}
			var done sync.WaitGroup
			done.Go(func() { f.Run(ctx) })
			defer done.Wait()
			defer cancel()
			s.SetFaults(test.faults)
			var last *objectapi.Object
			for i := range 20 {
				o := object("a", i)
				if last != nil {
					o = o.WithResourceVersion(last.Metadata.ResourceVersion)
				}
				for {
					written, err := objectapi.Put(ctx, api, o)
					if err == nil {
						last = written
						break
					}
				}
				if test.dropHistory && i == 10 {
					s.DropHistory()
				}
			}
			for range 1000 {
				mu.Lock()
				got := known["a"]
				mu.Unlock()
				if got == last.Revision() {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Fatalf("follower has %v, not revision %d", known, last.Revision())
		})
	}
}
