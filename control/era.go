// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import "time"

// EraSeen takes in that the platform names an era to this node. Restored is whether it had
// answered it before.
func (c *Control) ObserveEra(era uint64, restored bool) {
	c.init()
	c.do(func() {
		if c.reads != nil {
			c.reads.ObserveEra(era, restored, time.Now())
		}
	})
}

// eraRose returns when the platform's present era was first seen, by the calendar clock.
func (c *Control) eraSeenAt(now time.Time) time.Time {
	if c.reads == nil || c.reads.EraSeenAt().IsZero() {
		return now
	}
	return c.reads.EraSeenAt()
}
