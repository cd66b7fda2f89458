// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/tcp"
)

// errAckTimeout ends a connection whose peer's kernel does not acknowledge what was written.
var errAckTimeout = eris.New("connection timed out: nothing acknowledged")

// maxUnansweredChecks is the number of consecutive checks with an unanswered retransmission or
// probe after which a connection counts as lost. At a single check, one may still be in flight.
const maxUnansweredChecks = 2

// ackMonitor detects that a peer's kernel has acknowledged nothing for too long, where
// TCP_USER_TIMEOUT can't: it would also end the connection to a live peer whose receive window
// is zero because its process reads nothing. Its methods are called from one goroutine.
type ackMonitor struct {
	userTimeoutDisabled bool      // whether TCP_USER_TIMEOUT has been disabled
	outstandingSince    time.Time // when data was first found outstanding, zero if none is
	unansweredChecks    int       // consecutive checks with an unanswered retransmission or probe
}

// reset discards the state, as this process was delayed or nothing was open meanwhile.
func (m *ackMonitor) reset() {
	m.outstandingSince = time.Time{}
	m.unansweredChecks = 0
}

// check records the state of a connection, and returns whether it is lost: nothing has been
// acknowledged for the timeout.
func (m *ackMonitor) check(a tcp.AckState, now time.Time, timeout time.Duration) bool {
	switch {
	case !a.Outstanding:
		m.reset()
		return false
	case m.outstandingSince.IsZero():
		m.outstandingSince = now
	}
	if !a.Retransmitting || min(a.SinceLastAck, now.Sub(m.outstandingSince)) < timeout {
		m.unansweredChecks = 0
		return false
	}
	m.unansweredChecks++
	return m.unansweredChecks >= maxUnansweredChecks
}

// ackTimedOut returns whether the peer's kernel no longer acknowledges. TCP_USER_TIMEOUT
// detects that until the peer's kernel first advertises a zero window.
func (l *link) ackTimedOut(m *ackMonitor) bool {
	a, err := tcp.ReadAckState(l.Conn)
	if err != nil {
		return false
	}
	if !m.userTimeoutDisabled {
		m.userTimeoutDisabled = a.PeerWindowFull && a.SinceLastAck < l.limits.AckTimeout && tcp.SetUserTimeout(l.Conn, 0) == nil
		return false
	}
	return m.check(a, time.Now(), l.limits.AckTimeout)
}

// peerAcknowledges returns whether the peer's kernel responds, even if its receive window
// has no room for what is written.
func (c *conn) peerAcknowledges() bool {
	a, err := tcp.ReadAckState(c.Conn)
	return err == nil && (!a.Retransmitting || a.SinceLastAck < c.limits.AckTimeout)
}
