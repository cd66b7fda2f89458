// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"io"
	"sync/atomic"
	"time"

	"sassafrasfront.example/peer"
)

// slow returns a channel that yields once the request counts as slow and
// something can be done about it, and a function that releases it.
func (f *flight) slow() (<-chan time.Time, func()) {
	hedge := f.service.Config.Hedge
	if hedge.Share == 0 || len(f.open) != 1 || f.revoked || f.service.pool.Len() < 2 {
		return nil, func() {}
	}
	after, ok := f.service.latency.Quantile(hedge.Quantile)
	if !ok {
		return nil, func() {}
	}
	after = max(after, hedge.MinDelay.Std())
	t := time.NewTimer(time.Until(f.open[0].began.Add(after)))
	return t.C, func() { t.Stop() }
}

// hurry acts on a slow request. An idempotent one is sent a second time, within
// the budget. Any other is taken back if it still waits in a queue, and is then
// sent elsewhere as a request that has not run.
func (f *flight) hurry() {
	f.revoked = true // at most once for each request
	d := f.dispatcher
	if !f.request.Idempotent || f.request.Stream != nil {
		f.open[0].exchange.Revoke()
		d.event(f.service.Name, EventRevoke)
		return
	}
	if len(f.tried) >= f.service.Config.Retry.MaxTries || !f.service.hedges.Take() {
		return
	}
	if f.launch() == nil {
		d.event(f.service.Name, EventHedge)
	}
}

// onceReader remembers whether it has been read.
type onceReader struct {
	io.Reader
	begun atomic.Bool
}

// Read implements io.Reader.
func (r *onceReader) Read(p []byte) (int, error) {
	r.begun.Store(true)
	return r.Reader.Read(p)
}

// Once returns a reader for Request.Stream. It lets the Dispatcher know whether
// the body has been begun, after which the request can't be sent again.
func Once(r io.Reader) io.Reader { return &onceReader{Reader: r} }

// Trailer implements peer.Trailered.
func (r *onceReader) Trailer() []peer.Field {
	if t, ok := r.Reader.(peer.Trailered); ok {
		return t.Trailer()
	}
	return nil
}
