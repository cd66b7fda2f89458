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

// Body is a body that is read once and stored. The exported fields are set before the first
// call. Its methods may be called from any goroutine.
type Body struct {
	// Reader is the source of the body. It is read by one goroutine at a time.
	Reader io.Reader
	// Length is the length of the body in bytes.
	Length int64

	mu         sync.Mutex
	data       []byte
	err        error         // error that ended the body, or nil
	readDone   chan struct{} // closed when the fetch in progress has ended; nil if there is none
	began      time.Time     // when the first Read was called
	lastReadAt time.Time     // when the last bytes were received
}

// NewReader returns a reader of the body from its start, which implements peer.TrailerReader.
func (b *Body) NewReader() io.Reader { return &bodyReader{body: b} }

// ReceiveTime returns how long it took to receive the body, from the first Read to its end. The
// second result is false if the body has not been received completely.
func (b *Body) ReceiveTime() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastReadAt.Sub(b.began), b.err == io.EOF
}

// bodyReader reads the body for one attempt.
type bodyReader struct {
	body   *Body
	offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := r.body.readAt(p, r.offset)
	r.offset += n
	return n, err
}

// Trailer implements peer.TrailerReader.
func (r *bodyReader) Trailer() []peer.Field {
	if t, ok := r.body.Reader.(peer.TrailerReader); ok {
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

// minFetchBytes is the number of bytes that are waited for, if as many are requested. A body
// arrives in packets, and each one that is forwarded by itself costs a frame.
const minFetchBytes = 8 << 10

// fetch reads up to limit more bytes. Other goroutines may read the stored ones meanwhile.
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
