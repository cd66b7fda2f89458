// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/sleep"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		sleep.For(t.Context(), time.Second)
		qt.Check(t, time.Since(began), qt.Equals, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		sleep.For(ctx, time.Hour)
		qt.Check(t, time.Since(began), qt.Equals, 2*time.Second)
	})
}
