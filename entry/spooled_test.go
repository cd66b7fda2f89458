// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/spool"
	"sassafrasfront.example/verdict"
)

// receiving returns a handler that receives the body and then calls f.
func receiving(f gateFunc) gateFunc {
	return func(in *peer.InboundCall) {
		if _, err := in.ReceiveBody(in.Context()); err != nil {
			in.Fail(verdict.New(verdict.Revoked, err), nil)
			return
		}
		f(in)
	}
}

// echo responds with the body.
func echo(in *peer.InboundCall) {
	data, _ := io.ReadAll(in.Body())
	_ = in.BeginResponse(&peer.ResponseHead{Status: 200, Length: int64(len(data))})
	_ = in.CopyBody(bytes.NewReader(data))
	_ = in.FinishResponse(nil)
}

// TestSpooledBody sends a body that arrives in pieces to gates that refuse it either before its
// end or after receiving all of it. The whole body has to be sent elsewhere, and only as long as
// it is certain that the request has not run.
func TestSpooledBody(t *testing.T) {
	tests := map[string]struct {
		handlers []gateFunc
		want     verdict.Cause
		calls    int
	}{
		"answered":                       {handlers: []gateFunc{receiving(echo)}, calls: 1},
		"refused at once":                {handlers: []gateFunc{fail(verdict.Refused), receiving(echo)}, calls: 2},
		"refused after the whole body":   {handlers: []gateFunc{receiving(fail(verdict.Refused)), receiving(echo)}, calls: 2},
		"refused while the body arrives": {handlers: []gateFunc{func(in *peer.InboundCall) { time.Sleep(5 * time.Millisecond); fail(verdict.Refused)(in) }, receiving(echo)}, calls: 2},
		"lost after the whole body":      {handlers: []gateFunc{receiving(fail(verdict.UpstreamLost)), receiving(echo)}, want: verdict.UpstreamLost, calls: 1},
		"drained after the whole body":   {handlers: []gateFunc{receiving(fail(verdict.Draining)), receiving(fail(verdict.Refused)), receiving(echo)}, calls: 3},
		"all refuse before its end":      {handlers: []gateFunc{fail(verdict.Refused)}, want: verdict.Refused, calls: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, g := newDispatcher(t, operator.Service{Retry: operator.Retry{MaxAttempts: 3, Ratio: 0.1, Burst: 5}}, 3, test.handlers...)
			data := bytes.Repeat([]byte("0123456789abcdef"), 5000)
			reader, writer := io.Pipe()
			go func() {
				for part := range 10 {
					time.Sleep(time.Millisecond)
					_, _ = writer.Write(data[part*8000 : (part+1)*8000])
				}
				writer.Close()
			}()
			r := &entry.Request{
				Service:  "service",
				Method:   "X",
				Target:   "/",
				Length:   int64(len(data)),
				Spooled:  &spool.Body{Reader: reader, Length: int64(len(data))},
				Deadline: time.Now().Add(10 * time.Second),
			}
			result, failed := d.Do(context.Background(), r)
			calls, _, _ := g.count()
			qt.Check(t, calls, qt.Equals, test.calls)
			reader.Close()
			if test.want != "" {
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, failed.Cause, qt.Equals, test.want)
				return
			}
			qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			defer result.Close()
			got, err := io.ReadAll(result.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, bytes.Equal(got, data), qt.IsTrue)
		})
	}
}
