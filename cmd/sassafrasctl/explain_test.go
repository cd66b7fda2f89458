// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const entryLog = `time=2026-12-02T10:00:00.100Z level=info event="node started" node=n1
time=2026-12-02T10:00:01.100Z level=info event="request sent" afterMs=0 load=8.0/8 node=n1 reportAgeMs=12 requestId=r1 slowdown=1 to=n2
time=2026-12-02T10:00:01.102Z level=info event="request failed" afterMs=2 cause=refused node=n1 requestId=r1 to=n2
time=2026-12-02T10:00:01.103Z level=info event="request ended" cause=refused node=n1 path="/a b=\"c\"" requestId=r1 status=503 tookMs=3 tries=1 verdict=notRun version=7
time=2026-12-02T10:00:01.103Z level=info event="request ended" node=n1 requestId=r10 status=200 verdict=ran
`

const gateLog = `not a pair at all
time=2026-12-02T10:00:01.101Z level=info event="call not answered" allowed=8 cause=refused node=n2 requestId=r1 running=8 slowdown=4 waiting=16
`

// TestSummary checks the summaries of single lines, such as those of rate limits and failed attempts.
func TestSummary(t *testing.T) {
	tests := map[string]struct {
		line, want string
	}{
		"limited": {
			line: `event="request ended" cause=rateLimited organisation=o1 reason="organisation \"o1\" is beyond 10 requests a second and a burst of 5, as home n7 says" status=429 verdict=notRun`,
			want: `cause rateLimited, .*; organisation "o1" is beyond 10 requests a second and a burst of 5, as home n7 says`,
		},
		"unknown": {
			line: `event="request ended" cause=limitUnknown reason="home n7 can't say yet" status=503 verdict=notRun`,
			want: `status 503, .*; home n7 can't say yet`,
		},
		"advertised limit": {
			line: `event="call not answered" cause=refused node=n2 running=1 allowed=8 waiting=3 slowdown=1 limit=7.6 limitUsed=1 freeMs=400`,
			want: `refused told by n2 \(running 1 of 8, waiting 3, slowdown 1, limit 7.6/s named by the upstream\)`,
		},
		"ended by a link": {
			line: `event="request ended" by=link cause=peerLost phase=leaving status=502 verdict=mayHaveRun`,
			want: `cause peerLost, .*; ended by the link while the node was leaving`,
		},
		"reason of an attempt": {
			line: `event="request failed" cause=peerLost reason="nothing heard for 612ms" to=n2`,
			want: `peerLost at n2 \(nothing heard for 612ms\)`,
		},
		"other": {
			line: `event="request ended" cause=noUpstream reason=none status=503 verdict=notRun version=3`,
			want: `version 3 in force`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, summarize([]logLine{parseLine(test.line)}), qt.Matches, ".*"+test.want)
		})
	}
}

// TestSummaryOfCanary checks the summary of a request whose first attempt went to a canary.
func TestSummaryOfCanary(t *testing.T) {
	lines := []logLine{
		parseLine(`event="request sent" to=n2 trial=true`),
		parseLine(`event="request failed" cause=upstreamLost to=n2`),
		parseLine(`event="request sent" to=n3`),
		parseLine(`event="request ended" status=200 verdict=ran tries=2`),
	}
	qt.Check(t, summarize(lines), qt.Matches, ".*; sent to a version on trial at n2; upstreamLost at n2")
}

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "n1"), filepath.Join(dir, "n2")
	qt.Assert(t, os.WriteFile(one, []byte(entryLog), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(two, []byte(gateLog), 0o600), qt.IsNil)
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"found":   {[]string{"explain", "r1", one, two}, 0, "summary: status 503, verdict notRun, cause refused, after 3 ms and 1 sendings, version 7 in force; refused told by n2 (running 8 of 8, waiting 16, slowdown 4); refused at n2\n"},
		"unknown": {[]string{"explain", "r2", one}, exitFailed, ""},
		"no file": {[]string{"explain", "r1", filepath.Join(dir, "n3")}, exitFailed, ""},
		"usage":   {[]string{"explain", "r1"}, exitUsage, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			qt.Assert(t, execute(context.Background(), test.args, &out, &errOut), qt.Equals, test.code)
			if test.code != 0 {
				qt.Check(t, errOut.Len() > 0, qt.IsTrue)
				return
			}
			lines := bytes.SplitAfter(out.Bytes(), []byte("\n"))
			qt.Check(t, lines, qt.HasLen, 6)
			qt.Check(t, string(lines[4]), qt.Equals, test.want)
			qt.Check(t, bytes.Contains(lines[1], []byte("call not answered")), qt.IsTrue, qt.Commentf("lines are not ordered by time"))
		})
	}
}

// TestExplainKeys checks requests that were refused before the first attempt: the summary
// has the reason and a hint at where to look.
func TestExplainKeys(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1")
	log := `time=2026-12-02T10:00:01.103Z level=info event="request ended" cause=unauthorized node=n1 reason="no organisation of version 7 has the key" requestId=r1 status=401 tookMs=0 tries=0 verdict=notRun version=7
time=2026-12-02T10:00:01.103Z level=info event="request ended" cause=notFresh node=n1 reason="version 7 was known to be the latest 5100 ms ago" requestId=r2 status=503 tookMs=0 tries=0 verdict=notRun version=7
`
	qt.Assert(t, os.WriteFile(file, []byte(log), 0o600), qt.IsNil)
	for id, want := range map[string]string{
		"r1": "; no organisation of version 7 has the key: the caller has to show a key that this version holds",
		"r2": "; version 7 was known to be the latest 5100 ms ago: the node had not heard for too long which keys are valid",
	} {
		var out, errOut bytes.Buffer
		qt.Assert(t, execute(context.Background(), []string{"explain", id, file}, &out, &errOut), qt.Equals, 0)
		qt.Check(t, strings.Contains(out.String(), want), qt.IsTrue, qt.Commentf("%s", out.String()))
	}
}
