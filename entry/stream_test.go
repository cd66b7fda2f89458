// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBodyBelongsToOneAttempt has the first attempt read the body only after it has been
// reassigned to a second one.
func TestBodyBelongsToOneAttempt(t *testing.T) {
	body := ReadOnce(strings.NewReader("whole"))
	o := &operation{request: &Request{Stream: body}}
	first := nextView(body)
	qt.Assert(t, o.canResendBody(), qt.IsTrue)
	second := nextView(body)
	n, err := first.Read(make([]byte, 2))
	qt.Check(t, n, qt.Equals, 0)
	qt.Check(t, err, qt.IsNotNil)
	data, err := io.ReadAll(second)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(data), qt.Equals, "whole")
	qt.Check(t, o.canResendBody(), qt.IsFalse)
}
