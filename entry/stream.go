// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/peer"
)

// errTakenBack is the failure of a sending that has lost its right to the body.
var errBodyReassigned = eris.New("the body belongs to a later sending")

// onceReader is a body that one sending only may read. Each sending gets a view
// of it. Until one of them has begun to read, the right can be taken from it and
// given to a later one; the two exclude each other.
type onceReader struct {
	body io.Reader

	mu          sync.Mutex
	owner       int // the one that has the right
	readStarted bool
}

// Once returns a reader for Request.Stream. It lets the Dispatcher know whether
// the body has been begun, after which the request can't be sent again.
func ReadOnce(r io.Reader) io.Reader { return &onceReader{body: r} }

// Read implements io.Reader, for a single reader.
func (r *onceReader) Read(p []byte) (int, error) { return r.view().Read(p) }

// view returns the body for the sending that has the right now.
func (r *onceReader) view() *bodyView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &bodyView{
		once:    r,
		attempt: r.owner,
	}
}

// takeBack takes the right from the present sending, and returns whether that
// has not begun to read.
func (r *onceReader) reassign() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readStarted {
		return false
	}
	r.owner++
	return true
}

// bodyView is the body as one sending has it. It implements peer.Trailered.
type bodyView struct {
	once    *onceReader
	attempt int
}

// Read implements io.Reader.
func (v *bodyView) Read(p []byte) (int, error) {
	v.once.mu.Lock()
	owned := v.attempt == v.once.owner
	v.once.readStarted = v.once.readStarted || owned
	v.once.mu.Unlock()
	if !owned {
		return 0, errBodyReassigned
	}
	return v.once.body.Read(p)
}

// Trailer implements peer.Trailered.
func (v *bodyView) Trailer() []peer.Field {
	if t, ok := v.once.body.(peer.Trailered); ok {
		return t.Trailer()
	}
	return nil
}

// streamOf returns the body for the next sending of a request.
func nextView(body io.Reader) io.Reader {
	if r, ok := body.(*onceReader); ok {
		return r.view()
	}
	return body
}
