// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import "time"

// Heard returns whether a read was answered, here or elsewhere, that is too young for the
// node to read by itself.
func (s *State) HasRecentRead(now time.Time) bool {
	return now.Sub(s.freshAt) < s.fraction(minReadFraction)
}
