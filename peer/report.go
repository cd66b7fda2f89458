// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "context"

// BroadcastReport sends a load report to every node that has a connection for calls to this
// one. It doesn't wait for the receivers, and skips failed connections.
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

// sendReport sends a load report without waiting for the peer. If several reports are
// pending, only the latest is sent.
func (n *session) sendReport(r *Report) {
	if n.pendingReport.Swap(r) != nil {
		return // the goroutine started for the previous report sends this one
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
			_ = n.writeAndUnlock(b, 1) // a failure closes the connection
		} else {
			<-n.writeLock
		}
		bufferPool.Put(b)
	}()
}

// Responsive returns whether there is an open connection whose peer responds, as far as is
// known. A peer is not responsive if it has sent nothing for over two thirds of the silence
// timeout while a response or a pong was outstanding.
func (c *Client) Responsive() bool {
	c.mu.Lock()
	l := c.current
	c.mu.Unlock()
	return l.alive() && !l.isSilent(l.limits.SilenceTimeout*2/3)
}

// Connect opens the connection if it is not open, so that the first call need not wait for
// it. An error means that the peer can't be reached.
func (c *Client) Connect(ctx context.Context) error {
	_, err := c.connect(ctx)
	return err
}
