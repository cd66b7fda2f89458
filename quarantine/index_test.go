// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/quarantine"
)

// crash adds the report that an upstream has crashed with some requests in flight. The first
// of them is marked as isolated if the index isolates it.
func crash(x *quarantine.Index, start string, requests ...int) {
	var isolated quarantine.Fingerprint
	if x.Assess(fingerprintOf(requests[0])).State == quarantine.Isolated {
		isolated = fingerprintOf(requests[0])
	}
	crashWith(x, start, isolated, requests...)
}

// crashWith adds the report that an upstream has crashed with some requests in flight.
func crashWith(x *quarantine.Index, start string, isolated quarantine.Fingerprint, requests ...int) {
	var fingerprints []quarantine.Fingerprint
	for _, i := range requests {
		fingerprints = append(fingerprints, fingerprintOf(i))
	}
	x.Add(quarantine.NewCrashReport(start, fingerprints, isolated))
	time.Sleep(10 * time.Millisecond)
}

// complete adds the report that a request has completed.
func complete(x *quarantine.Index, request int) {
	x.Add(quarantine.NewCompletionReport(fingerprintOf(request)))
	time.Sleep(10 * time.Millisecond)
}

// TestStates checks the state of request 1 after some reports.
func TestStates(t *testing.T) {
	tests := map[string]struct {
		simulate func(x *quarantine.Index)
		want     quarantine.State
		crashes  int
	}{
		"nothing":               {simulate: func(*quarantine.Index) {}},
		"another was in flight": {simulate: func(x *quarantine.Index) { crash(x, "a", 2); crash(x, "b", 2); crash(x, "c", 2) }},
		"one crash":             {simulate: func(x *quarantine.Index) { crash(x, "a", 1, 2) }, want: quarantine.SeenAtCrash, crashes: 1},
		"two crashes":           {simulate: func(x *quarantine.Index) { crash(x, "a", 1, 2); crash(x, "b", 1, 3) }, want: quarantine.Isolated, crashes: 2},
		"three crashes":         {simulate: func(x *quarantine.Index) { crash(x, "a", 1); crash(x, "b", 1); crash(x, "c", 1) }, want: quarantine.Blocked, crashes: 3},
		"many crash at once": {
			simulate: func(x *quarantine.Index) {
				for i := range 6 {
					crashWith(x, fmt.Sprint(i), quarantine.Fingerprint{}, 1)
				}
			},
			want: quarantine.Isolated, crashes: 6,
		},
		"another was isolated": {
			simulate: func(x *quarantine.Index) { crash(x, "a", 1, 2); crash(x, "b", 1, 2); crash(x, "c", 2, 1) },
			want:     quarantine.Isolated, crashes: 3,
		},
		"the same start, reported repeatedly": {
			simulate: func(x *quarantine.Index) { crash(x, "a", 1); crash(x, "a", 1); crash(x, "a", 1) },
			want:     quarantine.SeenAtCrash, crashes: 1,
		},
		"completed between crashes": {
			simulate: func(x *quarantine.Index) { crash(x, "a", 1); crash(x, "b", 1); complete(x, 1); crash(x, "c", 1) },
			want:     quarantine.SeenAtCrash, crashes: 1,
		},
		"completed since": {simulate: func(x *quarantine.Index) { crash(x, "a", 1); crash(x, "b", 1); crash(x, "c", 1); complete(x, 1) }},
		"completed before": {
			simulate: func(x *quarantine.Index) { complete(x, 1); crash(x, "a", 1); crash(x, "b", 1); crash(x, "c", 1) },
			want:     quarantine.Blocked, crashes: 3,
		},
		"another completed": {
			simulate: func(x *quarantine.Index) { crash(x, "a", 1); crash(x, "b", 1); complete(x, 2); crash(x, "c", 1) },
			want:     quarantine.Blocked, crashes: 3,
		},
		"the block is over": {
			simulate: func(x *quarantine.Index) {
				crash(x, "a", 1)
				crash(x, "b", 1)
				crash(x, "c", 1)
				time.Sleep(10 * time.Minute)
			},
			want: quarantine.Isolated, crashes: 3,
		},
		"crash after the block, blocked twice as long": {
			simulate: func(x *quarantine.Index) {
				crash(x, "a", 1)
				crash(x, "b", 1)
				crash(x, "c", 1)
				time.Sleep(10 * time.Minute)
				crash(x, "d", 1)
				time.Sleep(19 * time.Minute)
			},
			want: quarantine.Blocked, crashes: 4,
		},
		"the longest block is over": {
			simulate: func(x *quarantine.Index) {
				for i := range 20 {
					crash(x, fmt.Sprint(i), 1)
				}
				time.Sleep(quarantine.ReportLifetime)
			},
			want: quarantine.Isolated, crashes: 20,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var x quarantine.Index
				test.simulate(&x)
				a := x.Assess(fingerprintOf(1))
				qt.Check(t, a.State, qt.Equals, test.want, qt.Commentf("%+v", a))
				qt.Check(t, a.Crashes, qt.Equals, test.crashes)
				qt.Check(t, a.Failure() != nil, qt.Equals, test.want == quarantine.Blocked)
				qt.Check(t, x.MaySuspect(fingerprintOf(1)), qt.Equals, len(x.Assess(fingerprintOf(1)).Upstreams) > 0 || name == "completed since")
			})
		})
	}
}

// TestRemove checks that the effects of a report are removed together with it.
func TestRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var x quarantine.Index
		for i := range 5 {
			crash(&x, fmt.Sprint(i), 1, 2)
		}
		qt.Check(t, x.All(), qt.HasLen, 2)
		for want := 4; want >= 0; want-- {
			r, ok := x.Oldest()
			qt.Assert(t, ok, qt.IsTrue)
			x.Remove(r.Name)
			qt.Check(t, x.Assess(fingerprintOf(1)).Crashes, qt.Equals, want)
		}
		_, ok := x.Oldest()
		qt.Check(t, ok, qt.IsFalse)
		qt.Check(t, x.MaySuspect(fingerprintOf(1)), qt.IsFalse)
		qt.Check(t, x.All(), qt.HasLen, 0)
	})
}

// TestReportCheck checks which reports of other nodes are valid.
func TestReportCheck(t *testing.T) {
	good := quarantine.NewCrashReport("a", []quarantine.Fingerprint{fingerprintOf(1)}, quarantine.Fingerprint{})
	with := func(f func(r *quarantine.Report)) quarantine.Report {
		r := good
		f(&r)
		return r
	}
	tests := map[string]struct {
		report quarantine.Report
		good   bool
	}{
		"crash report":            {report: good, good: true},
		"completion report":       {report: quarantine.NewCompletionReport(fingerprintOf(1)), good: true},
		"nothing":                 {},
		"no request":              {report: with(func(r *quarantine.Report) { r.Fingerprints = nil })},
		"too many requests":       {report: with(func(r *quarantine.Report) { r.Fingerprints = make([]quarantine.Fingerprint, 65) })},
		"no body":                 {report: with(func(r *quarantine.Report) { r.Fingerprints = []quarantine.Fingerprint{{Head: 1}} })},
		"from the future":         {report: with(func(r *quarantine.Report) { r.At += time.Hour.Milliseconds() })},
		"isolated, not in flight": {report: with(func(r *quarantine.Report) { r.Isolated = fingerprintOf(2) })},
		"an empty upstream":       {report: with(func(r *quarantine.Report) { r.Upstreams = []string{""} })},
		"too many upstreams":      {report: with(func(r *quarantine.Report) { r.Upstreams = make([]string, 17) })},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, test.report.Check(time.Now()) == nil, qt.Equals, test.good)
		})
	}
}

// TestSameRequestOfOtherCallers has callers of three services send the same fatal request, one after
// the other. Once it is blocked for the first service, it has to be isolated at least for the others,
// so that it crashes only one upstream for each of them.
func TestSameRequestOfOtherCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var x quarantine.Index
		var crashes int
		for _, caller := range []string{"a", "b", "c"} {
			p := quarantine.NewFingerprint(caller, "GET", "h.example", "/b/fatal").WithBody(nil)
			for x.Assess(p).State != quarantine.Blocked {
				var isolated quarantine.Fingerprint
				if x.Assess(p).State == quarantine.Isolated {
					isolated = p
				}
				crashes++
				qt.Assert(t, crashes <= 10, qt.IsTrue)
				x.Add(quarantine.NewCrashReport(fmt.Sprint("n", crashes), []quarantine.Fingerprint{p}, isolated))
				time.Sleep(time.Second)
			}
		}
		qt.Check(t, crashes <= 5, qt.IsTrue, qt.Commentf("%d upstreams crashed: three for the first service, one for each other", crashes))
	})
}

// TestHarmlessForOtherCaller has a request that is blocked for the callers of one service complete
// for another's. It has to run without isolation for the latter until it crashes an upstream again.
func TestHarmlessForOtherCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var x quarantine.Index
		one := quarantine.NewFingerprint("a", "GET", "h.example", "/b/x").WithBody(nil)
		other := quarantine.NewFingerprint("b", "GET", "h.example", "/b/x").WithBody(nil)
		different := quarantine.NewFingerprint("b", "GET", "h.example", "/b/y").WithBody(nil)
		for i, isolated := range []quarantine.Fingerprint{{}, {}, one} {
			x.Add(quarantine.NewCrashReport(fmt.Sprint("n", i), []quarantine.Fingerprint{one}, isolated))
			time.Sleep(time.Second)
		}
		qt.Check(t, x.Assess(one).State, qt.Equals, quarantine.Blocked)
		qt.Check(t, x.Assess(other).State, qt.Equals, quarantine.Isolated)
		qt.Check(t, x.MaySuspect(quarantine.NewFingerprint("b", "GET", "h.example", "/b/x")), qt.IsTrue)
		qt.Check(t, x.Assess(different).State < quarantine.Isolated, qt.IsTrue)

		x.Add(quarantine.NewCompletionReport(other))
		qt.Check(t, x.Assess(other).State < quarantine.Isolated, qt.IsTrue)
		qt.Check(t, x.Assess(one).State, qt.Equals, quarantine.Blocked)
		time.Sleep(time.Second)
		x.Add(quarantine.NewCrashReport("n3", []quarantine.Fingerprint{one}, one))
		qt.Check(t, x.Assess(other).State, qt.Equals, quarantine.Isolated)
	})
}
