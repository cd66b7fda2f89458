// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/caller"
)

// TestRequestOutlastsShutdown guards against a stopping node that accepts requests which may take
// longer than it will run, and then cancels them at their upstreams.
func TestRequestOutlastsShutdown(t *testing.T) {
	tests := map[string]struct {
		shutdown time.Duration // from now, or 0 if the node is not stopping
		admitted bool
	}{
		"not stopping":                 {admitted: true},
		"deadline before the shutdown": {shutdown: time.Minute, admitted: true},
		"deadline after the shutdown":  {shutdown: 500 * time.Millisecond},
		"shutdown deadline passed":     {shutdown: -time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, d := newKeyedHandler(t, caller.Keys{})
			h.ShutdownDeadline = func() time.Time {
				if test.shutdown == 0 {
					return time.Time{}
				}
				return time.Now().Add(test.shutdown)
			}
			w := post(t, h, "/public/x", "X-Timeout: 60000")
			qt.Check(t, len(d.requests) == 1, qt.Equals, test.admitted)
			qt.Check(t, w.Code, qt.Equals, 503) // an admitted request is refused by the recorder
			if !test.admitted {
				qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "0.250")
				qt.Check(t, w.Body.String(), qt.Contains, `"notSent"`)
				qt.Check(t, w.Body.String(), qt.Contains, `"notRun"`)
			}
		})
	}
}
