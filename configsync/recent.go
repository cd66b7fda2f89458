// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import "time"

// HasRecentRead returns whether the latest successful read, here or at another node, is so recent that the
// node need not read by itself.
func (s *State) HasRecentRead(now time.Time) bool {
	return now.Sub(s.freshAt) < s.fraction(minReadFraction)
}
