// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "context"

// Tell sends a load report to every node that has a connection for calls to this
// one. It waits for no receiver, and leaves out those whose connection has failed.
func (s *Server) BroadcastReport(r *Report) {
	s.mu.Lock()
	list := make([]*session, 0, len(s.sessions))
	for n := range s.sessions {
		if n.handshakeDone.Load() && !n.from.Control {
			list = append(list, n)
		}
	}
	s.mu.Unlock()
	for _, n := range list {
		n.sendReport(r)
	}
}

// tell sends a load report without waiting for the peer. Of those that wait for their turn
// the newest is sent.
func (n *session) sendReport(r *Report) {
	if n.pendingReport.Swap(r) != nil {
		return // the goroutine that was to send the former one sends this one
	}
	go func() {
		if n.lockWrite(context.Background()) != nil {
			return
		}
		b, err := n.encode(frame{
			kind:    KindReport,
			message: n.pendingReport.Swap(nil),
		})
		if err == nil {
			_ = n.writeAndUnlock(b, 1) // a failure ends the connection
		} else {
			<-n.writeLock
		}
		bufferPool.Put(b)
	}()
}

// Responsive returns whether there is an open connection on which the peer
// answers, as far as is known. A peer that owes an answer or a pong for over two
// thirds of the bound on silence is not.
func (c *Client) Responsive() bool {
	c.mu.Lock()
	l := c.current
	c.mu.Unlock()
	return l.alive() && !l.isSilent(l.limits.SilenceTimeout*2/3)
}

// Warm opens the connection if it is not open, so that the first call need not
// wait for it. An error means that the peer can't be reached.
func (c *Client) Connect(ctx context.Context) error {
	_, err := c.connect(ctx)
	return err
}
