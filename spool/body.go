// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package spool

import (
	"io"
	"sync"
	"time"

	"sassafrasfront.example/peer"
)

// Body is a body that is read once and kept. The exported fields are set before the
// first call. Its methods may be called from any goroutine.
type Body struct {
	// Reader yields the body. It is read by one goroutine at a time.
	Reader io.Reader
	// Length is the length of the body in bytes.
	Length int64

	mu         sync.Mutex
	data       []byte
	err        error         // that ended the body, or nil
	readDone   chan struct{} // closed when the reading in progress has ended, nil if there is none
	began      time.Time     // when the first Read was called
	lastReadAt time.Time     // when the last byte was there
}

// Open returns a reader of the body from its start. It implements peer.Trailered.
func (b *Body) NewReader() io.Reader { return &bodyReader{body: b} }

// Took returns how long the body took to come in, from the first Read to its end. The
// second result is false if it has not ended well yet.
func (b *Body) ReceiveTime() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastReadAt.Sub(b.began), b.err == io.EOF
}

// view is the body as one sending reads it.
type bodyReader struct {
	body   *Body
	offset int
}

// Read implements io.Reader.
func (v *bodyReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := v.body.readAt(p, v.offset)
	v.offset += n
	return n, err
}

// Trailer implements peer.Trailered.
func (v *bodyReader) Trailer() []peer.Field {
	if t, ok := v.body.Reader.(peer.TrailerReader); ok {
		return t.Trailer()
	}
	return nil
}

// readAt reads the body from the given offset, and waits for more if there is none yet.
func (b *Body) readAt(p []byte, offset int) (int, error) {
	for {
		b.mu.Lock()
		switch {
		case offset < len(b.data):
			n := copy(p, b.data[offset:])
			b.mu.Unlock()
			return n, nil
		case b.err != nil:
			defer b.mu.Unlock()
			return 0, b.err
		case b.readDone != nil:
			wait := b.readDone
			b.mu.Unlock()
			<-wait
			continue
		}
		b.readDone = make(chan struct{})
		if b.data == nil {
			b.data = make([]byte, 0, b.Length)
			b.began = time.Now()
		}
		b.mu.Unlock()
		b.fetch(len(p))
	}
}

// piece is how many bytes are waited for, if as many are asked for. A body comes in by
// packets, and each one that is sent on by itself costs a frame.
const minFetchBytes = 8 << 10

// fetch reads up to most bytes more. Another goroutine may read what is there meanwhile.
func (b *Body) fetch(limit int) {
	buffer := make([]byte, limit)
	var n int
	var err error
	for n < min(limit, minFetchBytes) && err == nil {
		var m int
		m, err = b.Reader.Read(buffer[n:])
		n += m
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, buffer[:n]...)
	b.err = err
	b.lastReadAt = time.Now()
	close(b.readDone)
	b.readDone = nil
}
