// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// bodySize is the length of bodies sent ahead of admission in the tests.
const bodySize = 60_000

// sendAhead starts a call whose body is sent ahead of its admission.
func (r *fixture) sendAhead(t *testing.T, ctx context.Context, body io.Reader) *peer.Exchange {
	t.Helper()
	m := &peer.Call{Service: "service", Method: "POST", Target: "/ahead", Remaining: time.Minute, Streams: true, EarlyBody: true, Length: bodySize}
	x, failure := r.client.Start(ctx, m, body)
	qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	t.Cleanup(x.Close)
	return x
}

// TestBodyBeforeAdmission has one row for each event that may happen while the body of a call
// arrives. The only slot stays free meanwhile, and a call that does not end with a response never
// reaches the upstream.
func TestBodyBeforeAdmission(t *testing.T) {
	tests := map[string]struct {
		meanwhile func(r *fixture, x *peer.Exchange, body *io.PipeWriter)
		want      verdict.Cause
	}{
		"body arrives": {meanwhile: func(_ *fixture, _ *peer.Exchange, _ *io.PipeWriter) {}},
		"upstream restarts": {meanwhile: func(r *fixture, _ *peer.Exchange, _ *io.PipeWriter) {
			r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: r.address, Slots: 1, Connections: 1, StartID: "two"})
		}},
		"body fails":            {meanwhile: func(_ *fixture, _ *peer.Exchange, w *io.PipeWriter) { w.CloseWithError(io.ErrUnexpectedEOF) }, want: verdict.BadRequest},
		"call revoked":          {meanwhile: func(_ *fixture, x *peer.Exchange, _ *io.PipeWriter) { x.Revoke(); <-x.Ready() }, want: verdict.Revoked},
		"zone evacuated":        {meanwhile: func(r *fixture, _ *peer.Exchange, _ *io.PipeWriter) { r.gate.SetEvacuated(true) }, want: verdict.Draining},
		"node leaves":           {meanwhile: func(r *fixture, _ *peer.Exchange, _ *io.PipeWriter) { r.gate.Drain() }, want: verdict.Draining},
		"connection is lost":    {meanwhile: func(r *fixture, _ *peer.Exchange, _ *io.PipeWriter) { r.client.Close() }, want: verdict.NotWritten},
		"upstream is withdrawn": {meanwhile: func(r *fixture, _ *peer.Exchange, _ *io.PipeWriter) { r.gate.SetAnnouncement(nil) }, want: verdict.Misrouted},
		"caller leaves":         {meanwhile: func(_ *fixture, x *peer.Exchange, _ *io.PipeWriter) { x.Close() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			r := newFixture(t, 1, func(_ http.ResponseWriter, q *http.Request) {
				if q.URL.Path != "/ahead" {
					return
				}
				arrived.Add(1)
				data, err := io.ReadAll(q.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, data, qt.HasLen, bodySize)
			})
			config := operator.Service{}.WithDefaults()
			r.gate.Configure(&config)
			reader, writer := io.Pipe()
			x := r.sendAhead(t, context.Background(), reader)
			_, err := writer.Write(make([]byte, bodySize/2)) // returns once the gate has requested it
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r.call("service", time.Minute) == nil, qt.IsTrue, qt.Commentf("the slot is free"))
			test.meanwhile(r, x, writer)
			go func() {
				_, _ = io.Copy(writer, strings.NewReader(strings.Repeat("x", bodySize/2)))
				writer.Close()
			}()
			if name == "caller leaves" {
				time.Sleep(20 * time.Millisecond)
				qt.Check(t, arrived.Load(), qt.Equals, int32(0))
				return
			}
			response, failure := x.Wait()
			if test.want == "" {
				qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				qt.Check(t, response.TransferTime > 0, qt.IsTrue)
				qt.Check(t, arrived.Load(), qt.Equals, int32(1))
				return
			}
			qt.Assert(t, failure != nil, qt.IsTrue)
			qt.Check(t, failure.Cause, qt.Equals, test.want)
			qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
			time.Sleep(20 * time.Millisecond)
			qt.Check(t, arrived.Load(), qt.Equals, int32(0))
		})
	}
}
