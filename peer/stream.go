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

// incoming is the receiving end of one body. The goroutine that reads the
// connection puts chunks in and never blocks; the consumer reads them and
// grants credit for what it has read.
type incoming struct {
	window int
	grant  func(n int) // grants credit to the sender

	mu      sync.Mutex
	wake    chan struct{} // signalled, capacity 1
	chunks  [][]byte
	held    int // bytes sent to us and not yet granted again
	owed    int // bytes read and not yet granted again
	err     error
	trailer []Field
}

func newIncoming(window int, grant func(n int)) *incoming {
	return &incoming{
		window: window,
		grant:  grant,
		wake:   make(chan struct{}, 1),
	}
}

// put takes in a chunk. It returns an error if the sender exceeds its credit.
func (s *incoming) put(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil
	}
	s.held += len(data)
	if s.held > s.window {
		return eris.Wrapf(ErrProtocol, "%d body bytes without credit", s.held-s.window)
	}
	s.chunks = append(s.chunks, data)
	s.signal()
	return nil
}

// end ends the body with err, which is io.EOF for a whole one.
func (s *incoming) end(err error, trailer []Field) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
		s.trailer = trailer
		s.signal()
	}
}

func (s *incoming) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Read implements io.Reader for a single consumer.
func (s *incoming) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		n, owed, err := s.take(p)
		if owed > 0 {
			s.grant(owed)
		}
		if n > 0 || err != nil {
			return n, err
		}
		<-s.wake
	}
}

// take copies buffered bytes to p. Owed is the credit to grant now, which is
// given in portions of a quarter of the window.
func (s *incoming) take(p []byte) (n, owed int, err error) {
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
	s.owed += n
	if s.err == nil && s.owed >= s.window/4 {
		owed = s.owed
		s.held -= owed
		s.owed = 0
	}
	return n, owed, nil
}

// Trailer returns the trailer fields. It is complete after Read returned
// io.EOF.
func (s *incoming) Trailer() []Field {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trailer
}

// outgoing is the credit for the sending end of one body.
type outgoing struct {
	mu     sync.Mutex
	credit int
	wake   chan struct{} // signalled, capacity 1
}

func newOutgoing(credit int) *outgoing {
	return &outgoing{
		credit: credit,
		wake:   make(chan struct{}, 1),
	}
}

// add grants n bytes. It returns an error if the credit grows out of bounds.
func (o *outgoing) add(n, limit int) error {
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
func (o *outgoing) acquire(ctx context.Context, n int) (int, error) {
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
func (o *outgoing) wait(ctx context.Context) error {
	n, err := o.acquire(ctx, 1)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.credit += n
	o.mu.Unlock()
	return nil
}

// copyBody sends what r yields, in chunks under credit. Emit sends one chunk.
// It returns nil at the end of r.
func (o *outgoing) copyBody(ctx context.Context, r io.Reader, emit func(data []byte) error) error {
	buffer := make([]byte, chunk)
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

// first waits until the first chunk or the clean end is there. It returns the
// error of a body that ended before either.
func (s *incoming) first(ctx context.Context) error {
	return s.await(ctx, func() bool { return len(s.chunks) > 0 || s.err == io.EOF })
}

// whole waits until the body has ended well. It returns the error of one that did not.
func (s *incoming) whole(ctx context.Context) error {
	return s.await(ctx, func() bool { return s.err == io.EOF })
}

// await waits until what is waited for is there, which is found out with the lock held,
// or the body has ended otherwise.
func (s *incoming) await(ctx context.Context, found func() bool) error {
	for {
		s.mu.Lock()
		there := found()
		err := s.err
		s.mu.Unlock()
		if there {
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
