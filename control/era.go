// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import "time"

// ObserveEra records that the platform reports an era to this node. Restored is whether the
// platform had responded to this node before.
func (c *Control) ObserveEra(era uint64, restored bool) {
	c.init()
	c.do(func() {
		if c.reads != nil {
			c.reads.ObserveEra(era, restored, time.Now())
		}
	})
}

// eraSeenAt returns when the platform's current era was first seen, by the wall clock.
func (c *Control) eraSeenAt(now time.Time) time.Time {
	if c.reads == nil || c.reads.EraSeenAt().IsZero() {
		return now
	}
	return c.reads.EraSeenAt()
}
