// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/tcp"
)

// errUnacknowledged ends a connection whose peer's kernel does not answer.
var errAckTimeout = eris.New("connection timed out: nothing acknowledged")

// lossLooks is the number of looks in a row at which a repetition has not been answered, before
// that counts: one may be under way.
const maxUnansweredChecks = 2

// lossWatch finds whether a peer's kernel has answered nothing for long, where TCP_USER_TIMEOUT
// can't tell: it takes a peer that has no room, as its process reads nothing, for one that is gone.
// One goroutine calls its methods.
type ackMonitor struct {
	userTimeoutDisabled bool      // whether TCP_USER_TIMEOUT has been lifted
	outstandingSince    time.Time // when something has first been seen to be outstanding, zero if nothing is
	unansweredChecks    int       // at which a repetition was not answered, in a row
}

// reset forgets what has been seen: this process was late, or nothing was open meanwhile.
func (w *ackMonitor) reset() {
	w.outstandingSince = time.Time{}
	w.unansweredChecks = 0
}

// look takes in how a connection stands, and returns whether it is lost: nothing has been
// acknowledged for as long as most says.
func (w *ackMonitor) check(a tcp.AckState, now time.Time, timeout time.Duration) bool {
	switch {
	case !a.Outstanding:
		w.reset()
		return false
	case w.outstandingSince.IsZero():
		w.outstandingSince = now
	}
	if !a.Retransmitting || min(a.SinceLastAck, now.Sub(w.outstandingSince)) < timeout {
		w.unansweredChecks = 0
		return false
	}
	w.unansweredChecks++
	return w.unansweredChecks >= maxUnansweredChecks
}

// lost looks whether the peer's kernel is gone. The kernel of this instance finds that, until the
// peer's has said that it has no room.
func (l *link) ackTimedOut(w *ackMonitor) bool {
	a, err := tcp.ReadAckState(l.Conn)
	if err != nil {
		return false
	}
	if !w.userTimeoutDisabled {
		w.userTimeoutDisabled = a.PeerWindowFull && a.SinceLastAck < l.limits.AckTimeout && tcp.SetUserTimeout(l.Conn, 0) == nil
		return false
	}
	return w.check(a, time.Now(), l.limits.AckTimeout)
}

// acknowledged returns whether the peer's kernel answers, though there is no room for what is
// written.
func (c *conn) peerAcknowledges() bool {
	a, err := tcp.ReadAckState(c.Conn)
	return err == nil && (!a.Retransmitting || a.SinceLastAck < c.limits.AckTimeout)
}
