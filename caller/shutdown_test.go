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

// TestRequestOverTheEnd guards against requests that a stopping node takes and cuts while their
// upstreams work: it knows that they may last longer than itself.
func TestRequestOutlastsShutdown(t *testing.T) {
	tests := map[string]struct {
		shutdown time.Duration // from now, or 0 if the node does not stop
		admitted bool
	}{
		"no end is known":         {admitted: true},
		"the route's time ends":   {shutdown: time.Minute, admitted: true},
		"the node's time does":    {shutdown: 500 * time.Millisecond},
		"the node's time is over": {shutdown: -time.Second},
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
			qt.Check(t, w.Code, qt.Equals, 503) // by the dispatcher that refuses all, if it is taken
			if !test.admitted {
				qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "0.250")
				qt.Check(t, w.Body.String(), qt.Contains, `"notSent"`)
				qt.Check(t, w.Body.String(), qt.Contains, `"notRun"`)
			}
		})
	}
}
