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
func (l *link) usable() bool {
	return l.alive() && !l.isSilent(l.limits.SilenceTimeout) && l.probedAt.Load() != l.lastReceived.Load()
}

// isSilent returns whether something has been pending at the peer for the given timeout, and
// nothing has been received meanwhile.
func (l *link) isSilent(timeout time.Duration) bool {
	if l.silentAt.Load() != 0 && l.silentAt.Load() == l.lastReceived.Load() {
		return true
	}
	open, _, busy := l.activity()
	return open > 0 && min(l.silence(), busy) >= timeout
}

// monitor pings a peer that is silent with calls open, notifies the calls, and closes the
// connection when it has been idle for too long. While nothing is open it sleeps: a node has
// some thirty connections, and most of them are idle.
func (l *link) monitor() {
	wait := l.nextCheck()
	due := time.Now().Add(wait)
	next := time.NewTimer(wait)
	defer next.Stop()
	var pinging atomic.Bool
	pings := 0 // since the last bytes were received
	waited := false
	var acks ackMonitor
	for number := uint64(1); ; {
		var delay time.Duration
		select {
		case <-l.closed:
			return
		case <-l.wakeup:
			acks.reset()
		case <-next.C:
			delay = time.Since(due)
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
		if delay > l.limits.SilenceTimeout/4 && !waited {
			waited = true // this process was delayed: what has arrived meanwhile is read first
			acks.reset()
			continue
		}
		waited = false
		last := l.lastReceived.Load()
		silence := min(time.Since(timeBase)-time.Duration(last), busy)
		if open > 0 && silence >= l.limits.SilenceTimeout/2 && l.ackTimedOut(&acks) {
			l.closeWith(errAckTimeout)
			return
		}
		if open > 0 && silence >= l.limits.SilenceTimeout {
			silenceErr := &SilenceError{
				Silence:      silence,
				CheckDelay:   delay,
				Pings:        pings,
				BytesWritten: l.writtenSince.Load(),
				Pending:      open,
			}
			l.reportSilence(silenceErr, last)
			if l.control && silence >= l.limits.SilenceLimit {
				l.closeWith(silenceErr)
				return
			}
			l.notifySilence(silenceErr)
		}
		if open > 0 && silence >= l.limits.SilenceTimeout/2 && pinging.CompareAndSwap(false, true) {
			// A write may block in the kernel. Silence is checked meanwhile.
			ping := &Ping{Number: number}
			number++
			pings++
			go func() {
				defer pinging.Store(false)
				_ = l.send(KindPing, ping) // a failure closes the connection
			}()
		}
	}
}

// reportSilence records that the peer has been silent since the time last, and reports it once until something is received
// again.
func (l *link) reportSilence(e *SilenceError, last int64) {
	if l.silentAt.Swap(last) == last {
		return
	}
	l.mu.Lock()
	if l.silent != nil {
		close(l.silent)
		l.silent = nil
	}
	l.mu.Unlock()
	if l.onSilence != nil {
		l.onSilence(e)
	}
}

// notifySilence notifies the open calls that the peer is silent.
func (l *link) notifySilence(e *SilenceError) {
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
		go x.handleSilence(e) // withdrawing a call sends a Cancel, which may block in the kernel
	}
}

// closeIfIdle closes the connection if nothing is open on it, and it is retired or has been
// idle for too long. It returns whether it did. The lock is held throughout, so that no call
// is started on a connection that is being closed.
func (l *link) closeIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.pending() > 0:
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

// nextCheck returns the time until the next check of the connection.
func (l *link) nextCheck() time.Duration {
	open, idle, busy := l.activity()
	if open == 0 {
		return max(l.limits.IdleTimeout-idle, 0) + time.Millisecond
	}
	next := l.limits.SilenceTimeout / 4
	silence := min(l.silence(), busy)
	// A late ping leaves no time for the retransmission of a lost packet.
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
	open = l.pending()
	if open == 0 {
		return open, time.Since(l.idleSince), 0
	}
	return open, 0, time.Since(l.busySince)
}
