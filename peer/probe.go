// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "time"

// Probe makes the client check whether the peer still responds on the open connection, if there is one on which nothing was
// received lately. Until the peer responds, calls open a new connection.
func (c *Client) Probe() {
	c.mu.Lock()
	l := c.current
	c.mu.Unlock()
	if l.alive() && l.silence() >= l.limits.SilenceTimeout {
		l.probe()
	}
}

// probe sends a ping whose response counts as pending.
func (l *link) probe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing {
		return
	}
	l.markBusy()
	l.probing = true
	l.probedAt.Store(l.lastReceived.Load())
	go func() { _ = l.send(KindPing, new(Ping)) }() // a failure closes the connection
}

// endProbe records that the peer has responded to a ping.
func (l *link) endProbe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing {
		l.probing = false
		l.idleSince = time.Now()
	}
}
