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

const failuresLog = `time=2026-12-02T10:00:00.500Z level=info event="request ended" cause=refused class=low requestId=early service=a status=503 verdict=notRun
time=2026-12-02T10:00:01.100Z level=info event="request failed" cause=refused node=n1 requestId=r2 to=n2
time=2026-12-02T10:00:01.101Z level=info event="request failed" cause=refused node=n1 requestId=r2 to=n3
time=2026-12-02T10:00:01.102Z level=info event="request ended" cause=refused class=low requestId=r2 service=a status=503 verdict=notRun
time=2026-12-02T10:00:01.200Z level=info event="request failed" cause=refused node=n1 requestId=r3 to=n3
time=2026-12-02T10:00:01.201Z level=info event="request ended" cause=refused class=low requestId=r3 service=a status=503 verdict=notRun
time=2026-12-02T10:00:01.300Z level=info event="request ended" cause=peerLost class=high requestId=r4 service=a status=502 verdict=mayHaveRun
time=2026-12-02T10:00:01.400Z level=info event="request ended" cause="" class=low requestId=r5 service=a status=200 verdict=ran
time=2026-12-02T10:00:01.500Z level=info event="request ended" cause=refused class=low requestId=r6 service=b status=503 verdict=notRun
time=2026-12-02T10:00:01.600Z level=warn event="log lines left out" kind=request count=7
time=2026-12-02T10:00:02.000Z level=info event="request ended" cause=refused class=low requestId=late service=a status=503 verdict=notRun
`

// TestFailures checks the output for valid and invalid command lines.
func TestFailures(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1")
	qt.Assert(t, os.WriteFile(file, []byte(failuresLog), 0o600), qt.IsNil)
	const from, to = "2026-12-02T10:00:01Z", "2026-12-02T10:00:02Z"
	tests := map[string]struct {
		args []string
		code int
		want []string // lines after the header, with single spaces
	}{
		"a service":         {[]string{"failures", "a", from, to, file}, 0, []string{"2 low 503 refused notRun n3 (2) r2", "1 high 502 peerLost mayHaveRun - r4"}},
		"two logs":          {[]string{"failures", "a", from, to, file, file}, 0, []string{"4 low 503 refused notRun n3 (4) r2", "2 high 502 peerLost mayHaveRun - r4"}},
		"no failures":       {[]string{"failures", "c", from, to, file}, 0, nil},
		"invalid time":      {[]string{"failures", "a", "yesterday", to, file}, exitUsage, nil},
		"missing file":      {[]string{"failures", "a", from, to, file + "x"}, exitFailed, nil},
		"too few arguments": {[]string{"failures", "a"}, exitUsage, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			qt.Assert(t, execute(context.Background(), test.args, &out, &errOut), qt.Equals, test.code)
			if test.code != 0 {
				qt.Check(t, errOut.Len() > 0, qt.IsTrue)
				return
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			qt.Assert(t, lines, qt.HasLen, len(test.want)+2)
			for i, want := range test.want {
				qt.Check(t, strings.Join(strings.Fields(lines[i+1]), " "), qt.Equals, want)
			}
			qt.Check(t, lines[len(lines)-1], qt.Contains, "left lines out")
		})
	}
}
