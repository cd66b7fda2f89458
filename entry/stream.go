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

// errBodyReassigned is returned to an attempt that reads a body which has been reassigned.
var errBodyReassigned = eris.New("the request body belongs to a later attempt")

// onceReader is a body that a single attempt may read. Each attempt has its own view
// of it. As long as the current owner has not begun to read, the body can be reassigned
// to a later attempt. Reading and reassigning exclude each other.
type onceReader struct {
	body io.Reader

	mu          sync.Mutex
	owner       int // the number of the attempt that owns the body
	readStarted bool
}

// ReadOnce returns a reader for Request.Stream. It lets the Dispatcher know whether
// reading of the body has begun, after which the request can't be sent again.
func ReadOnce(r io.Reader) io.Reader { return &onceReader{body: r} }

// Read implements io.Reader, for a single reader.
func (r *onceReader) Read(p []byte) (int, error) { return r.view().Read(p) }

// view returns the body for the attempt that owns it now.
func (r *onceReader) view() *bodyView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &bodyView{
		once:    r,
		attempt: r.owner,
	}
}

// reassign takes the body away from its present owner, and returns whether that
// had not begun to read.
func (r *onceReader) reassign() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readStarted {
		return false
	}
	r.owner++
	return true
}

// bodyView is the body as seen by one attempt. It implements peer.TrailerReader.
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

// Trailer implements peer.TrailerReader.
func (v *bodyView) Trailer() []peer.Field {
	if t, ok := v.once.body.(peer.TrailerReader); ok {
		return t.Trailer()
	}
	return nil
}

// nextView returns the body for the next attempt of a request.
func nextView(body io.Reader) io.Reader {
	if r, ok := body.(*onceReader); ok {
		return r.view()
	}
	return body
}
