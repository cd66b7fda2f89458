// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLineLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suppressed := make(map[string]int)
		l := &LineLimiter{OnSuppressed: func(kind string, n int) { suppressed[kind] += n }}
		var allowed int
		for range 25 {
			if l.Allow("a", 10, 1) {
				allowed++
			}
		}
		qt.Check(t, allowed, qt.Equals, 10)
		qt.Check(t, l.Allow("b", 10, 10), qt.IsTrue, qt.Commentf("each kind has its own limit"))
		qt.Check(t, l.Allow("b", 10, 1), qt.IsFalse)
		time.Sleep(time.Second)
		qt.Check(t, l.Allow("a", 10, 1), qt.IsTrue)
		qt.Check(t, suppressed["a"], qt.Equals, 15)
	})
}
