// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// link is an open connection of a Client.
type link struct {
	*conn
	peer     Hello
	onReport func(Report)
	// onNotice is as in Client.
	onNotice func(*Notice)
	// onSilence is as in Client.
	onSilence func(*SilenceError)
	// control is whether the connection carries control requests only.
	control bool

	// startLock holds a value from the choice of a call's ID until the call is written, so
	// that IDs arrive in order.
	startLock chan struct{}

	mu        sync.Mutex
	silent    chan struct{} // closed when the connection is found silent, or nil
	probing   bool          // whether a probe is pending
	lastID    uint64
	exchanges map[uint64]*Exchange
	requests  map[uint64]chan *Reply
	idleSince time.Time
	busySince time.Time // when the first of the open exchanges and requests began

	// retired is whether no new calls are started, and the connection closes once nothing is
	// open on it.
	retired bool

	wakeup   chan struct{} // holds a value once the first exchange or request has started, or l is retired
	checks   atomic.Uint64 // how often monitor has checked the connection
	silentAt atomic.Int64  // time of the last bytes received before the peer was found silent, or 0
	probedAt atomic.Int64  // time of the last bytes received before the peer was probed, or 0
}

// alive returns whether there is a connection that has not ended.
func (l *link) alive() bool {
	return l != nil && !l.isClosed()
}

// retire stops new calls on the connection, which closes once nothing is open on it.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.wakeMonitor()
}

// wakeMonitor makes monitor check the connection.
func (l *link) wakeMonitor() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// startCall opens an exchange and writes its call, unless ctx ends or the call's deadline
// passes before it gets the write lock. An error means that the call was not written
// completely. A call whose deadline passes while it is being written may still be sent.
func (l *link) startCall(ctx context.Context, call *Call) (*Exchange, error) {
	writing, cancel := context.WithTimeout(ctx, call.Remaining)
	defer cancel()
	select {
	case l.startLock <- struct{}{}:
	case <-l.closed:
		return nil, fmt.Errorf("%w: %w", errNoNewCalls, l.closedError())
	case <-writing.Done():
		return nil, context.Cause(writing)
	}
	x, err := l.addExchange(ctx)
	if err != nil {
		<-l.startLock
		return nil, err
	}
	call.ID = x.id
	x.earlyBody = call.EarlyBody
	x.sentNotice = call.Notice != nil
	if !call.Streams {
		x.stage.Store(stageWritten)
	}
	b, err := l.encode(frame{
		kind:    KindCall,
		message: call,
	})
	if err == nil {
		err = l.lockWrite(writing)
	}
	if err == nil && l.find(x.id) == nil { // cancelled: its Cancel may be written before it
		<-l.writeLock
		err = eris.New("cancelled before it was written")
	}
	if err != nil {
		<-l.startLock
		bufferPool.Put(b)
		l.remove(x.id)
		x.stop()
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		err := l.writeAndUnlock(b, 1)
		<-l.startLock
		bufferPool.Put(b)
		written <- err
	}()
	select {
	case err = <-written:
	case <-writing.Done():
		return x, nil
	}
	if err != nil {
		l.remove(x.id)
		x.stop()
		return nil, err
	}
	return x, nil
}

// errNoNewCalls means that a connection is closing: another connection may take the call.
var errNoNewCalls = errors.New("no more calls on this connection")

// addExchange opens an exchange under a new ID.
func (l *link) addExchange(ctx context.Context) (*Exchange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.alive() {
		return nil, fmt.Errorf("%w: %w", errNoNewCalls, l.closedError())
	}
	if l.retired {
		return nil, fmt.Errorf("%w: the connection has been replaced", errNoNewCalls)
	}
	if len(l.exchanges) >= l.limits.MaxOpenCalls {
		return nil, eris.Errorf("%d calls are open", len(l.exchanges))
	}
	l.markBusy()
	l.lastID++
	x := newExchange(ctx, l, l.lastID)
	l.exchanges[x.id] = x
	return x, nil
}

// markBusy records that an exchange or a request starts. The lock is held.
func (l *link) markBusy() {
	if l.pending() > 0 {
		return
	}
	l.busySince = time.Now()
	l.wakeMonitor()
}

// pending returns the number of open exchanges and requests, and of probes. The lock is held.
func (l *link) pending() int {
	n := len(l.exchanges) + len(l.requests)
	if l.probing {
		n++
	}
	return n
}

// find returns the open exchange with the given ID, or nil.
func (l *link) find(id uint64) *Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchanges[id]
}

// remove closes an exchange and returns it, or nil if it was not open.
func (l *link) remove(id uint64) *Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.exchanges[id]
	delete(l.exchanges, id)
	if len(l.exchanges) == 0 {
		l.idleSince = time.Now()
		if l.retired {
			l.wakeMonitor()
		}
	}
	return x
}

// addRequest records a control request that is about to be sent. It returns its ID, and a channel that is closed when the
// connection is found silent.
func (l *link) addRequest(reply chan *Reply) (id uint64, silent <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markBusy()
	l.lastID++
	l.requests[l.lastID] = reply
	if l.silent == nil {
		l.silent = make(chan struct{})
	}
	return l.lastID, l.silent
}

func (l *link) removeRequest(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, id)
	l.idleSince = time.Now()
}

// readLoop handles frames until the connection ends, and then fails what is
// still open.
func (l *link) readLoop() {
	for {
		k, payload, err := l.read()
		if err == nil {
			err = l.handle(k, payload)
		}
		if err != nil {
			l.closeWith(err)
			break
		}
	}
	l.mu.Lock()
	open := l.exchanges
	l.exchanges = make(map[uint64]*Exchange)
	l.mu.Unlock()
	for _, x := range open {
		x.connectionLost(l.closeReason())
	}
}

// handle handles one frame. An error closes the connection.
func (l *link) handle(k Kind, payload []byte) error {
	switch k {
	case KindResponse:
		return handleMessage(payload, l.handleResponse)
	case KindBody:
		return handleMessage(payload, l.handleBody)
	case KindEnd:
		return handleMessage(payload, l.handleEnd)
	case KindFailure:
		return handleMessage(payload, l.handleFailure)
	case KindInformational:
		return handleMessage(payload, l.handleInformational)
	case KindCancelled:
		return handleMessage(payload, l.handleCancelled)
	case KindCredit:
		return handleMessage(payload, l.handleCredit)
	case KindReply:
		return handleMessage(payload, l.handleReply)
	case KindReport:
		return handleMessage(payload, func(m *Report) error { l.deliverReport(m); return nil })
	case KindPong:
		l.endProbe()
		return nil
	}
	return eris.Wrapf(ErrProtocol, "unexpected kind %d", k)
}

// handleMessage decodes a message and passes it to f.
func handleMessage[T any](payload []byte, f func(*T) error) error {
	m, err := decode[T](payload)
	if err != nil {
		return err
	}
	return f(m)
}

func (l *link) handleResponse(m *ResponseHead) error {
	if err := l.checkFields(m.Header); err != nil {
		return err
	}
	l.deliverReport(m.Report)
	var x *Exchange
	if m.Streams {
		x = l.find(m.ID)
	} else {
		x = l.remove(m.ID)
	}
	l.deliverNotice(m.Notice, x != nil && x.sentNotice)
	if x == nil {
		return nil
	}
	return x.handleResponse(m)
}

func (l *link) handleBody(m *Body) error {
	if x := l.find(m.ID); x != nil {
		return x.body.put(m.Data)
	}
	return nil
}

func (l *link) handleEnd(m *End) error {
	if err := l.checkFields(m.Trailer); err != nil {
		return err
	}
	if x := l.remove(m.ID); x != nil {
		x.body.end(io.EOF, m.Trailer)
	}
	return nil
}

func (l *link) handleFailure(m *Failure) error {
	l.deliverReport(m.Report)
	l.deliverNotice(m.Notice, false)
	if x := l.remove(m.ID); x != nil {
		e := verdict.New(verdict.Cause(m.Cause), nil).WithRetryAfter(m.RetryAfter)
		e.GivenUp = m.GivenUp
		if m.Detail != "" {
			e.Err = eris.New(m.Detail)
		}
		x.fail(e)
	}
	return nil
}

func (l *link) handleInformational(m *Informational) error {
	if err := l.checkFields(m.Header); err != nil {
		return err
	}
	if x := l.find(m.ID); x != nil {
		x.handleInformational(m)
	}
	return nil
}

func (l *link) handleCancelled(m *Cancelled) error {
	if x := l.remove(m.ID); x != nil {
		cause := verdict.Revoked
		if m.Ran {
			cause = verdict.CallerGone
		}
		x.fail(verdict.New(cause, nil))
	}
	return nil
}

func (l *link) handleCredit(m *Credit) error {
	if x := l.find(m.ID); x != nil {
		return x.credit.add(m.Bytes, 2*l.limits.WindowBytes)
	}
	return nil
}

func (l *link) handleReply(m *Reply) error {
	l.mu.Lock()
	reply := l.requests[m.ID]
	delete(l.requests, m.ID)
	l.mu.Unlock()
	if reply != nil {
		reply <- m
	}
	return nil
}

// deliverNotice passes on the notice in a response or a failure. If there is none, although
// the peer was sent one with the call, the earlier notice no longer applies.
func (l *link) deliverNotice(n *Notice, sentNotice bool) {
	if l.onNotice != nil && (n != nil || sentNotice) && !l.isRetired() {
		l.onNotice(n)
	}
}

func (l *link) deliverReport(r *Report) {
	if r != nil && l.onReport != nil && !l.isRetired() {
		l.onReport(*r)
	}
}

// isRetired returns whether another connection has replaced this one. Reports and notices that
// still arrive on this one may be older than those received on the new one.
func (l *link) isRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}
