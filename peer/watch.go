// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// usable returns whether new calls may be sent on the connection.
func (l *link) usable() bool { return l.alive() && !l.isSilent(l.limits.SilenceTimeout) }

// isSilent returns whether the peer has owed something for longer than most, and has not been
// heard meanwhile.
func (l *link) isSilent(timeout time.Duration) bool {
	if l.silentAt.Load() != 0 && l.silentAt.Load() == l.lastReceived.Load() {
		return true
	}
	open, _, busy := l.activity()
	return open > 0 && min(l.silence(), busy) >= timeout
}

// watch pings a peer that is silent with calls open, tells the calls, and closes the
// connection when it is idle for long. While nothing is open it waits: a node has some
// thirty connections, and most of them are idle.
func (l *link) monitor() {
	wait := l.nextCheck()
	due := time.Now().Add(wait)
	next := time.NewTimer(wait)
	defer next.Stop()
	var pinging atomic.Bool
	pings := 0 // since the last bytes arrived
	waited := false
	var loss ackMonitor
	for number := uint64(1); ; {
		var late time.Duration
		select {
		case <-l.closed:
			return
		case <-l.wakeup:
			loss.reset()
		case <-next.C:
			late = time.Since(due)
		}
		wait = l.nextCheck()
		due = time.Now().Add(wait)
		next.Reset(wait)
		l.checks.Add(1)
		open, _, busy := l.activity()
		if l.silence() <= l.limits.SilenceTimeout/2 {
			pings = 0
		}
		if l.closeIfIdle() {
			return
		}
		if late > l.limits.SilenceTimeout/4 && !waited {
			waited = true // this process was late: what has arrived meanwhile is read first
			loss.reset()
			continue
		}
		waited = false
		silence := min(l.silence(), busy)
		if open > 0 && silence >= l.limits.SilenceTimeout/2 && l.ackTimedOut(&loss) {
			l.closeWith(errAckTimeout)
			return
		}
		if open > 0 && silence >= l.limits.SilenceTimeout {
			q := &SilenceError{
				Silence:      silence,
				CheckDelay:   late,
				Pings:        pings,
				BytesWritten: l.writtenSince.Load(),
				Pending:      open,
			}
			if l.control {
				l.closeWith(q)
				return
			}
			l.silentAt.Store(l.lastReceived.Load())
			l.notifySilence(q)
		}
		if open > 0 && silence >= l.limits.SilenceTimeout/2 && pinging.CompareAndSwap(false, true) {
			// A writer may wait for room in the kernel. Silence is judged meanwhile.
			ping := &Ping{Number: number}
			number++
			pings++
			go func() {
				defer pinging.Store(false)
				_ = l.send(KindPing, ping) // a failure ends the connection
			}()
		}
	}
}

// tellSilent tells the open calls that the peer is silent.
func (l *link) notifySilence(q *SilenceError) {
	l.mu.Lock()
	var list []*Exchange
	for _, x := range l.exchanges {
		if !x.silenceNotified {
			x.silenceNotified = true
			list = append(list, x)
		}
	}
	l.mu.Unlock()
	for _, x := range list {
		go x.handleSilence(q) // a call that is taken back is cancelled, which may wait for room in the kernel
	}
}

// closeIdle closes the connection if nothing is open on it and nothing more will be, or
// has been for long. It returns whether it did. The lock is held meanwhile, so that no
// call is begun on a connection that is being closed.
func (l *link) closeIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(l.exchanges)+len(l.requests) > 0:
		return false
	case l.retired:
		l.closeWith(eris.New("replaced"))
	case time.Since(l.idleSince) >= l.limits.IdleTimeout:
		l.closeWith(eris.New("idle"))
	default:
		return false
	}
	return true
}

// nextLook returns when the connection is to be looked at next.
func (l *link) nextCheck() time.Duration {
	open, idle, busy := l.activity()
	if open == 0 {
		return max(l.limits.IdleTimeout-idle, 0) + time.Millisecond
	}
	next := l.limits.SilenceTimeout / 4
	silence := min(l.silence(), busy)
	// A ping that is sent late leaves no time for a lost packet to be sent again.
	for _, due := range []time.Duration{l.limits.SilenceTimeout / 2, l.limits.SilenceTimeout} {
		if left := due - silence; left > 0 {
			next = min(next, left)
		}
	}
	return next
}

// activity returns the number of open exchanges and requests, for how long there
// have been none, and for how long there have been some.
func (l *link) activity() (open int, idle, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open = len(l.exchanges) + len(l.requests)
	if open == 0 {
		return open, time.Since(l.idleSince), 0
	}
	return open, 0, time.Since(l.busySince)
}
