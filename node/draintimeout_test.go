// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/settings"
)

// TestDrainTimeout guards against a process that outlives its grace period because it stalled when
// the signal to stop arrived, or at its end.
func TestDrainTimeout(t *testing.T) {
	tests := map[string]struct {
		grace, stalled time.Duration
		want           time.Duration
	}{
		"no stall":                      {grace: 6 * time.Second, want: 5500 * time.Millisecond},
		"a stall":                       {grace: 6 * time.Second, stalled: 80 * time.Millisecond, want: 5340 * time.Millisecond},
		"an eighth of the grace period": {grace: 6 * time.Second, stalled: 3 * time.Second, want: 5250 * time.Millisecond},
		"a grace period with no room for a stall": {grace: 2 * time.Second, stalled: 3 * time.Second, want: 1500 * time.Millisecond},
		"the grace period isn't known":            {stalled: 3 * time.Second, want: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &settings.Settings{GracePeriod: test.grace, LeaveDelay: time.Second, DrainTimeout: 2 * time.Second}
			qt.Check(t, drainTimeout(s, test.stalled), qt.Equals, test.want)
		})
	}
}
