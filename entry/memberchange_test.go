// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestMembersChangeDuringRequest guards against a request that fails as misrouted because the members
// of its service were replaced while it was in flight. It has to be sent to the new members.
func TestMembersChangeDuringRequest(t *testing.T) {
	config := operator.Service{Retry: operator.Retry{MaxAttempts: 3, Ratio: 0.1, Burst: 5}}.WithDefaults()
	tests := map[string]struct {
		before, after int           // members 0 to before-1 are replaced by members before to after-1
		first         verdict.Cause // failure of the first attempt
		idempotent    bool
	}{
		"the only one is replaced":    {before: 1, after: 2, first: verdict.Draining},
		"all are replaced":            {before: 3, after: 6, first: verdict.Draining},
		"one is replaced by many":     {before: 1, after: 8, first: verdict.Draining},
		"many are replaced by others": {before: 8, after: 9, first: verdict.Draining},
		"the first attempt is lost":   {before: 3, after: 6, first: verdict.PeerLost, idempotent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var d *entry.Dispatcher
				var change sync.Once
				service := func(from, to int) map[string]*entry.Service {
					s := &entry.Service{Name: "service", Config: config}
					for i := from; i < to; i++ {
						id := fmt.Sprint("gate", i)
						s.Members = append(s.Members, entry.Member{ID: id, Addr: id, Slots: 10})
					}
					return map[string]*entry.Service{"service": s}
				}
				refuseAndChange := func(in *peer.InboundCall) {
					change.Do(func() { d.SetServices(service(test.before, test.after)) })
					time.Sleep(time.Second)
					in.Fail(verdict.New(test.first, nil), nil)
				}
				var g *gates
				var stop func()
				d, g, stop = newSimDispatcher(config, test.after, refuseAndChange, respond)
				defer stop()
				defer time.Sleep(2 * time.Minute) // until the connections to former members are closed
				d.SetServices(service(0, test.before))
				r := &entry.Request{Service: "service", Method: "X", Target: "/", Idempotent: test.idempotent, Deadline: time.Now().Add(10 * time.Second)}
				result, failed := d.Do(context.Background(), r)
				qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
				result.Close()
				calls, _, _ := g.count()
				qt.Check(t, calls, qt.Equals, 2)
			})
		})
	}
}
