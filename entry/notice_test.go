// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// TestNotices checks that the notices of other nodes' upstreams are kept until they are replaced or
// have not been repeated for noticeLifetime.
func TestNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d Dispatcher
		n := &d.notices
		qt.Check(t, n.get("a"), qt.IsNil)
		limit := &peer.Notice{StartID: "i-1", Limited: true, Limit: 5}
		lower := &peer.Notice{StartID: "i-1", Limited: true, Limit: 3}
		n.set("a", limit)
		n.set("b", limit)
		n.set("a", lower)
		qt.Check(t, n.get("a"), qt.Equals, lower)
		qt.Check(t, n.get("b"), qt.Equals, limit)
		n.set("b", nil)
		qt.Check(t, n.get("b"), qt.IsNil)
		qt.Check(t, d.Notices(), qt.HasLen, 1)
		time.Sleep(noticeLifetime / 2)
		n.set("a", lower)
		time.Sleep(noticeLifetime/2 + time.Second)
		n.set("c", limit)
		qt.Check(t, n.get("a"), qt.Equals, lower, qt.Commentf("the notice was repeated"))
		time.Sleep(2 * noticeLifetime)
		for i := range 3 {
			n.set(fmt.Sprint(i), limit)
		}
		qt.Check(t, d.Notices(), qt.HasLen, 3, qt.Commentf("notices that are no longer repeated are dropped"))
	})
}
