// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"sync/atomic"

	"sassafrasfront.example/quarantine"
)

// start is what is known of one start of the upstream. It outlives the announcement of the
// next one, as the upstream may go on with what it has.
type start struct {
	// running are the requests at it, and calls how many they are.
	running quarantine.InFlight
	calls   atomic.Int32
	// drained is whether it has said that it drains.
	draining atomic.Bool
	// broke is whether it has lost a request.
	lostRequest atomic.Bool
	// looking is whether it is being found out if it is still there.
	checking atomic.Bool
}

// present returns whether b is for the start of the upstream that is announced, or for the last
// one if none is.
func (g *Gate) isCurrent(b *binding) bool {
	now := g.current.Load()
	return now == nil || now.start == b.start
}

// replaced takes in that another start has come after that of b. Requests that run there are
// not ended by that: a heartbeat may be late, and the former start may be ending its last
// ones, while the kernel tells of one that is gone. Until it does so for one of them, the start
// has not ended under them.
func (g *Gate) handleReplaced(b *binding) {
	if b.start.calls.Load() == 0 || b.start.lostRequest.Load() {
		g.reportCrash(b)
	}
}
