// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"errors"
	"io"
	"maps"
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
	// maxDrainTime and maxDrainBytes bound how much of a body is read after its response, so
	// that the connection can be reused, and how much of a connection is read after its last
	// response. A caller sends 256 KiB in 210 ms over a link of 10 Mbit/s.
	maxDrainTime  = time.Second
	maxDrainBytes = 256 << 10
	// drainBufferBytes is the size of the buffer for it, of which many may be in use at once.
	drainBufferBytes = 4 << 10
)

// errAnswered is returned to readers of a body whose request has been answered.
var errAnswered = eris.New("the request has been answered")

// streamedBody is a request body that is read while the request is in flight, by a goroutine
// that may still read when the response has been written. It implements peer.TrailerReader.
type streamedBody struct {
	reader     io.Reader
	request    *http.Request
	readFailed *atomic.Bool
	bytesRead  atomic.Int64 // number of bytes read from the connection
	// reservedFields are removed from its trailer.
	reservedFields []string

	mu       sync.Mutex // held while the body is read
	peeked   []byte     // read by peek, and not by Read yet
	answered bool
	err      error // error that ended the body, or nil
}

// Read implements io.Reader. For a body over the size limit it returns an error with the
// cause verdict.BodyLost.
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
		return n, verdict.New(verdict.BodyLost, eris.New("the body exceeds the size limit"))
	}
	return n, err
}

// peek reads the first n bytes of the body, or all of it if it is shorter, without consuming
// them. It is called before the first Read.
func (b *streamedBody) peek(n int64) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err := io.ReadAll(io.LimitReader(readerFunc(b.readLocked), n))
	b.peeked = data
	return data, err
}

// readerFunc adapts a function to io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// readLocked reads from the connection and records how the body ends. The caller holds b.mu.
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

// Trailer implements peer.TrailerReader.
func (b *streamedBody) Trailer() []peer.Field {
	trailer := b.request.Trailer.Clone()
	httpfield.DeleteFraming(trailer)
	maps.DeleteFunc(trailer, func(name string, _ []string) bool { return !httpfield.IsToken(name) })
	for _, name := range b.reservedFields {
		trailer.Del(name)
	}
	return httpfield.FromHeader(trailer)
}

// ended returns whether the body is known to have ended.
func (b *streamedBody) ended() bool {
	if !b.mu.TryLock() {
		return false // another goroutine is reading it
	}
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// exceedsDrainLimit returns whether more of the body is known to remain than drain reads.
func (b *streamedBody) exceedsDrainLimit() bool {
	return b.request.ContentLength-b.bytesRead.Load() > maxDrainBytes
}

// drain makes other readers fail, and reads the rest of the body up to a limit. It returns
// whether the body has ended, so that another request may follow it.
func (b *streamedBody) drain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered = true
	buffer := make([]byte, drainBufferBytes)
	for n := 0; n < maxDrainBytes && b.err == nil; {
		m, _ := b.readLocked(buffer) // b.err has the error
		n += m
	}
	return b.err == io.EOF
}

// finishBody makes sure that nothing reads the body when the handler returns: the server then
// reads the next request, and closes a connection on which another read is in progress. It
// returns false if the connection can't be reused.
func (x *exchange) finishBody() bool {
	if x.streamed == nil || x.r.ProtoMajor != 1 || x.r.Header.Get("Expect") != "" {
		return true // HTTP/2 streams are independent, and the server closes a connection after an unsent body
	}
	control := http.NewResponseController(x.w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(maxDrainTime))
	if x.closesConnection {
		return true // the end of the response must not wait for that of the body
	}
	return x.streamed.drain()
}
