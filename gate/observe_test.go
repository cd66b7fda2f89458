// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
)

// TestResponseNotDelayedByReport guards against holding a response back until the changed load in it
// has been sent to all nodes.
func TestResponseNotDelayedByReport(t *testing.T) {
	r := newFixture(t, 4, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Load", "3,0,8,300") })
	r.gate.Names = upstream.FieldNames{Load: "Load"}
	held := make(chan struct{})
	defer close(held)
	r.gate.BroadcastReport = func(*peer.Report) { <-held }
	r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, StartID: "s", Slots: 4, Connections: 4})
	x, failed := r.client.Start(context.Background(), &peer.Call{Service: "service", Method: "POST", Target: "/", Remaining: time.Minute}, nil)
	qt.Assert(t, failed == nil, qt.IsTrue)
	defer x.Close()
	select {
	case <-x.Ready():
	case <-time.After(3 * time.Second):
		t.Fatal("no response while a report is being sent")
	}
	_, failed = x.Result()
	qt.Check(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
}
