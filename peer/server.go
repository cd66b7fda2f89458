// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Server handles calls and control requests from peers. The exported fields are
// set before Run.
type Server struct {
	// Hello identifies this process to its peers.
	Hello Hello
	// Limits bounds each connection.
	Limits Limits
	// Counters, if not nil, counts the traffic.
	Counters *Counters
	// HandleCall handles one call, in a goroutine of its own. It must end the call
	// by Fail, by Reply, or by BeginResponse and FinishResponse.
	HandleCall func(*InboundCall)
	// HandleControl handles one control request and returns the payload of its
	// reply. If it is nil, a control request closes its connection.
	HandleControl func(ctx context.Context, from Hello, r *Request) ([]byte, error)
	// OnClosed, if not nil, is called when a connection ends, with the reason.
	OnClosed func(from Hello, reason error)

	calls       sync.WaitGroup
	bodyLimiter *inFlightLimiter // set by Run
	mu          sync.Mutex
	sessions    map[*session]struct{}
	handshakes  []*session // those whose handshakes are in progress, the oldest first
}

// Run serves connections of the listener until ctx ends, and then closes them
// all. It returns nil after ctx has ended. The listener is closed when Run returns.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	// Accept may fail before Close has released the port.
	var closing sync.WaitGroup
	defer closing.Wait()
	ctx, end := context.WithCancel(ctx)
	defer end()
	closing.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
	})
	defer s.closeAll()
	s.mu.Lock()
	s.bodyLimiter = newInFlightLimiter(s.Limits.MaxInFlightBytes, s.Limits.LinkBandwidth)
	s.mu.Unlock()
	for {
		c, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "accept")
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(ctx, c)
	}
}

// acceptPause is the wait after a temporary failure to accept, such as too many
// open files.
const acceptPause = 10 * time.Millisecond

// LinkLoad returns the bandwidth of the link to this node in body bytes per second, or 0 if
// that is not known, and the number of body bytes in flight or queued. Both are 0 before Run.
func (s *Server) LinkLoad() (bandwidth float64, backlog int) {
	s.mu.Lock()
	limiter := s.bodyLimiter
	s.mu.Unlock()
	return limiter.load()
}

// Quiesce waits until no call is open, or until ctx ends.
func (s *Server) Quiesce(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		n.closeWith(eris.New("server stopped"))
	}
}

// serve handles one connection to its end.
func (s *Server) serve(ctx context.Context, raw net.Conn) {
	n := &session{
		conn:   newConn(raw, s.Limits.withDefaults(), s.Counters),
		server: s,
		open:   make(map[uint64]*InboundCall),
	}
	s.mu.Lock()
	if s.sessions == nil {
		s.sessions = make(map[*session]struct{})
	}
	s.sessions[n] = struct{}{}
	s.mu.Unlock()
	s.beginHandshake(n)
	defer s.endHandshake(n)
	stop := context.AfterFunc(ctx, func() { n.closeWith(eris.New("server stopped")) })
	defer stop()

	n.closeWith(n.run(ctx))
	s.mu.Lock()
	delete(s.sessions, n)
	s.mu.Unlock()
	if s.OnClosed != nil {
		s.OnClosed(n.from, n.closeReason())
	}
}

// errTooManyHandshakes closes the connection whose handshake has taken longest.
var errTooManyHandshakes = eris.New("too many handshakes in progress")

// beginHandshake records a connection whose handshake begins, and closes the oldest one if there are
// too many.
func (s *Server) beginHandshake(n *session) {
	s.mu.Lock()
	s.handshakes = append(s.handshakes, n)
	var oldest *session
	if len(s.handshakes) > n.limits.MaxHandshakes {
		oldest = s.handshakes[0]
		s.handshakes = slices.Delete(s.handshakes, 0, 1)
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.closeWith(errTooManyHandshakes)
	}
}

// endHandshake records that a handshake is not in progress any more.
func (s *Server) endHandshake(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.handshakes, n); i >= 0 {
		s.handshakes = slices.Delete(s.handshakes, i, i+1)
	}
}
