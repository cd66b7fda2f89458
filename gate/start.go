// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"sync/atomic"

	"sassafrasfront.example/quarantine"
)

// start is the state of one start (process run) of the upstream. It is kept after the announcement of
// the next one, because the process may continue with its running requests.
type start struct {
	// running holds the requests in flight at it, and calls is their number.
	running quarantine.InFlight
	calls   atomic.Int32
	// draining is whether it has said that it drains.
	draining atomic.Bool
	// lostRequest is whether it has lost a request.
	lostRequest atomic.Bool
	// checking is whether a check that it is still running is in progress.
	checking atomic.Bool
}

// isCurrent returns whether b is for the start that is announced. It returns true if none is.
func (g *Gate) isCurrent(b *binding) bool {
	now := g.current.Load()
	return now == nil || now.start == b.start
}

// handleReplaced handles the announcement of a new start after that of b. This does not end
// requests at the former one: a heartbeat may be late, and the former process may still be
// completing its last requests. The operating system closes its connections when it ends; until
// one of its requests is lost in this way, it has not crashed.
func (g *Gate) handleReplaced(b *binding) {
	if b.start.calls.Load() == 0 || b.start.lostRequest.Load() {
		g.reportCrash(b)
	}
}
