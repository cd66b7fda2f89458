// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// TestUploadsThatStop guards against callers that stop within a body and so hold all slots of an upstream until
// their deadlines: other requests must be served meanwhile, and uploads beyond those that hold slots are
// refused as not run.
func TestUploadsThatStop(t *testing.T) {
	const slots, uploads = 8, 20
	r := newFixture(t, slots, func(_ http.ResponseWriter, q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) })
	r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, Slots: slots, Connections: slots, StartID: "one"})
	send := func(body io.Reader) *verdict.Error {
		m := &peer.Call{Service: "service", Method: "PUT", Target: "/", Remaining: time.Minute, Streams: body != nil, Length: -1}
		if body == nil {
			m.Length = 0
		}
		x, failure := r.client.Start(context.Background(), m, body)
		if failure == nil {
			_, failure = x.Wait()
			x.Close()
		}
		return failure
	}
	rest := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	var refused []*verdict.Error
	for range uploads {
		all.Go(func() {
			body := io.MultiReader(strings.NewReader("part"), delayedReader{Reader: strings.NewReader("rest"), ready: rest})
			if failure := send(body); failure != nil {
				mu.Lock()
				refused = append(refused, failure)
				mu.Unlock()
			}
		})
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(refused)
	}
	for began := time.Now(); count() < uploads-slots*3/4; time.Sleep(time.Millisecond) {
		if time.Since(began) > 30*time.Second {
			close(rest)
			t.Fatalf("%d uploads are refused", count())
		}
	}
	for range 5 {
		qt.Check(t, send(nil) == nil, qt.IsTrue, qt.Commentf("an ordinary request is served"))
	}
	close(rest)
	all.Wait()
	qt.Check(t, refused, qt.HasLen, uploads-slots*3/4)
	for _, failure := range refused {
		qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun, qt.Commentf("%v", failure))
	}
	qt.Check(t, send(strings.NewReader("whole")) == nil, qt.IsTrue, qt.Commentf("an upload is served afterwards"))
	qt.Check(t, r.gate.Load().Running, qt.Equals, 0)
}
