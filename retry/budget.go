// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry

import "sync"

// Budget bounds extra requests to a share of the ordinary ones. Each ordinary
// request earns Share of an extra one, and at most Burst are saved up. The
// zero value allows none. The exported fields are set before the first call.
type Budget struct {
	// Share is the number of extra requests per ordinary one, such as 0.1.
	Share float64
	// Burst is the largest number of extra requests saved up. A new budget
	// starts with that many.
	Burst float64

	mu    sync.Mutex
	spent float64 // extra requests taken and not earned back, 0 <= spent <= Burst
}

// Earn records one ordinary request.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.spent = max(0, b.spent-b.Share)
	b.mu.Unlock()
}

// Take takes one extra request out of the budget, and returns whether there
// was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
