// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/httpfield"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

const (
	// drainTime and drainBytes bound what is read of a body after its answer, so
	// that the connection can be used again, and of a connection after its last answer. A caller sends 256 KiB in 210 ms over a
	// link of 10 Mbit/s.
	maxDrainTime  = time.Second
	maxDrainBytes = 256 << 10
)

// errAnswered is what a reader of a body gets once its request has been answered.
var errAnswered = eris.New("the request has been answered")

// streamedBody is a caller's body that is read while its request is under way,
// by a goroutine that may still read when the answer has been given. It implements
// peer.Trailered.
type streamedBody struct {
	reader     io.Reader
	request    *http.Request
	readFailed *atomic.Bool
	bytesRead  atomic.Int64 // bytes that have been read
	// withheld are the fields that its trailer can't bear.
	reservedFields []string

	mu       sync.Mutex // held while the body is read
	peeked   []byte     // read by peek, and not by others yet
	answered bool
	err      error // that ended the body, or nil
}

// Read implements io.Reader. A body that is over the limit fails with that
// verdict.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answered {
		return 0, errAnswered
	}
	if len(b.peeked) > 0 {
		n := copy(p, b.peeked)
		b.peeked = b.peeked[n:]
		return n, nil
	}
	n, err := b.readLocked(p)
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return n, verdict.New(verdict.BodyLost, eris.New("the body is over the limit"))
	}
	return n, err
}

// peek reads the first n bytes of the body, or all of it if it has fewer, and leaves them
// to be read. It is called before the first Read.
func (b *streamedBody) peek(n int64) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err := io.ReadAll(io.LimitReader(readerFunc(b.readLocked), n))
	b.peeked = data
	return data, err
}

// readerFunc is a function as an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// read reads, and notes how the body ends. The lock is held.
func (b *streamedBody) readLocked(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.bytesRead.Add(int64(n))
	if err != nil {
		b.err = err
	}
	if err != nil && err != io.EOF {
		b.readFailed.Store(true)
	}
	return n, err
}

// Trailer implements peer.Trailered.
func (b *streamedBody) Trailer() []peer.Field {
	trailer := b.request.Trailer.Clone()
	for _, name := range b.reservedFields {
		trailer.Del(name)
	}
	return httpfield.FromHeader(trailer)
}

// ended returns whether the body is known to have ended.
func (b *streamedBody) ended() bool {
	if !b.mu.TryLock() {
		return false // it is being read
	}
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// outlasts returns whether more of the body is known to be left than finish reads.
func (b *streamedBody) exceedsDrainLimit() bool {
	return b.request.ContentLength-b.bytesRead.Load() > maxDrainBytes
}

// finish ends the reading by others, and reads what little is left. It returns
// whether the body has ended, so that another request may follow it.
func (b *streamedBody) drain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered = true
	buffer := make([]byte, copyBufferBytes)
	for n := 0; n < maxDrainBytes && b.err == nil; {
		m, _ := b.readLocked(buffer) // b.err tells
		n += m
	}
	return b.err == io.EOF
}

// finishBody sees to it that nothing reads the body any more when the handler
// returns: the server, which looks for the next request then, gives up a connection
// that is being read. It returns false if the connection can't be used again.
func (x *exchange) finishBody() bool {
	if x.streamed == nil || x.r.ProtoMajor != 1 || x.r.Header.Get("Expect") != "" {
		return true // the server keeps the streams of a connection apart, and closes after an unsent body
	}
	control := http.NewResponseController(x.w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(maxDrainTime))
	if x.closesConnection {
		return true // the end of the answer must not wait for that of the body
	}
	return x.streamed.drain()
}
