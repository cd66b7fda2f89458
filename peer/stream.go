// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// bodyReader is the receiving end of one body. The goroutine that reads the connection adds
// chunks and never blocks; the consumer reads them and grants credit for what it has read.
type bodyReader struct {
	window int
	grant  func(n int) // grants credit to the sender

	mu        sync.Mutex
	wake      chan struct{} // signalled, capacity 1
	chunks    [][]byte
	ungranted int // bytes received and not yet granted again
	consumed  int // bytes consumed and not yet granted again
	err       error
	trailer   []Field
}

func newBodyReader(window int, grant func(n int)) *bodyReader {
	return &bodyReader{
		window: window,
		grant:  grant,
		wake:   make(chan struct{}, 1),
	}
}

// put adds a chunk. It returns an error if the sender exceeds its credit.
func (s *bodyReader) put(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil
	}
	s.ungranted += len(data)
	if s.ungranted > s.window {
		return eris.Wrapf(ErrProtocol, "%d body bytes without credit", s.ungranted-s.window)
	}
	s.chunks = append(s.chunks, data)
	s.signal()
	return nil
}

// end ends the body with err, which is io.EOF for a complete one.
func (s *bodyReader) end(err error, trailer []Field) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
		s.trailer = trailer
		s.signal()
	}
}

func (s *bodyReader) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Read implements io.Reader for a single consumer.
func (s *bodyReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		n, credit, err := s.take(p)
		if credit > 0 {
			s.grant(credit)
		}
		if n > 0 || err != nil {
			return n, err
		}
		<-s.wake
	}
}

// take copies buffered bytes to p. Credit is the number of bytes to grant now, which are
// granted in portions of a quarter of the window.
func (s *bodyReader) take(p []byte) (n, credit int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n < len(p) && len(s.chunks) > 0 {
		m := copy(p[n:], s.chunks[0])
		n += m
		s.chunks[0] = s.chunks[0][m:]
		if len(s.chunks[0]) == 0 {
			s.chunks[0] = nil
			s.chunks = s.chunks[1:]
		}
	}
	if n == 0 {
		return 0, 0, s.err
	}
	s.consumed += n
	if s.err == nil && s.consumed >= s.window/4 {
		credit = s.consumed
		s.ungranted -= credit
		s.consumed = 0
	}
	return n, credit, nil
}

// Trailer returns the trailer fields. It is complete after Read returned
// io.EOF.
func (s *bodyReader) Trailer() []Field {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trailer
}

// received returns whether the body has ended regularly, even if parts of it have not been read.
func (s *bodyReader) received() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == io.EOF
}

// sendCredit is the flow control credit of the sending end of one body.
type sendCredit struct {
	mu     sync.Mutex
	credit int
	wake   chan struct{} // signalled, capacity 1
}

func newSendCredit(credit int) *sendCredit {
	return &sendCredit{
		credit: credit,
		wake:   make(chan struct{}, 1),
	}
}

// add grants n bytes. It returns an error if the credit exceeds the limit.
func (o *sendCredit) add(n, limit int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n < 0 || o.credit > limit-n {
		return eris.Wrapf(ErrProtocol, "credit of %d bytes", n)
	}
	o.credit += n
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return nil
}

// acquire waits for credit and takes at most n bytes of it.
func (o *sendCredit) acquire(ctx context.Context, n int) (int, error) {
	for {
		o.mu.Lock()
		if o.credit > 0 {
			n = min(n, o.credit)
			o.credit -= n
			o.mu.Unlock()
			return n, nil
		}
		o.mu.Unlock()
		select {
		case <-o.wake:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// wait waits until there is credit.
func (o *sendCredit) wait(ctx context.Context) error {
	n, err := o.acquire(ctx, 1)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.credit += n
	o.mu.Unlock()
	return nil
}

// copyBody sends what r yields, in chunks as credit allows. Emit sends one chunk.
// It returns nil at the end of r.
func (o *sendCredit) copyBody(ctx context.Context, r io.Reader, emit func(data []byte) error) error {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, readErr := r.Read(buffer)
		for data := buffer[:n]; len(data) > 0; {
			m, err := o.acquire(ctx, len(data))
			if err != nil {
				return err
			}
			if err := emit(data[:m]); err != nil {
				return err
			}
			data = data[m:]
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// waitFirst waits for the first chunk or the regular end of the body. It returns the error of
// a body that failed before either.
func (s *bodyReader) waitFirst(ctx context.Context) error {
	return s.waitFor(ctx, func() bool { return len(s.chunks) > 0 || s.err == io.EOF })
}

// waitComplete waits for the regular end of the body. It returns the error of a body that
// failed.
func (s *bodyReader) waitComplete(ctx context.Context) error {
	return s.waitFor(ctx, func() bool { return s.err == io.EOF })
}

// waitFor waits until done, which is called with the lock held, returns true, or the body has
// failed.
func (s *bodyReader) waitFor(ctx context.Context, done func() bool) error {
	for {
		s.mu.Lock()
		isDone := done()
		err := s.err
		s.mu.Unlock()
		if isDone {
			s.signal()
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
