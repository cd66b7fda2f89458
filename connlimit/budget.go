// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ConnBytes is what an open connection holds without a request, and with one that is small: buffers,
// a stack and the state of the server.
const ConnBytes = 24 << 10

const (
	// growTimeout bounds the wait for bytes of connections that are being closed.
	growTimeout = time.Second
	// spareConns is the number of connections beyond Budget.MaxConns that may be open while others
	// are being closed.
	spareConns = 32
	// evictedFraction is the fraction of the budget that is made free at once: each time costs a
	// look at all connections.
	evictedFraction = 1.0 / 32
)

// Budget bounds what the connections of a server hold together. The exported fields are set before
// the first use. Its methods may be called from any goroutine.
type Budget struct {
	// MaxBytes is the largest number of bytes that the connections may hold.
	MaxBytes int64
	// MaxConns is the largest number of open connections.
	MaxConns int
	// OnEvicted, if not nil, is called when connections are closed to make room, with their number and
	// the bytes that they hold.
	OnEvicted func(conns int, bytes int64)
	// OnRefused, if not nil, is called when there is no room and no connection that may be closed.
	OnRefused func()

	mu           sync.Mutex
	used         int64
	closing      int64 // bytes of connections that are being closed
	closingConns int
	accounts     map[*account]struct{}
	freed        chan struct{} // closed by the next release; nil if nothing waits for it
}

// account is what one connection holds.
type account struct {
	budget *Budget
	// evict closes the connection.
	evict func()
	// readSince is from when on the process has waited for the client to send, as monotonic returns it, or 0
	// if it does not wait. It is the start of the request, or of the time without one.
	readSince atomic.Int64
	// writeSince is the start of the request whose response the client does not read, or 0.
	writeSince atomic.Int64

	// The mutex of the budget guards the following fields.
	held    int64 // bytes
	evicted bool  // whether evict has been or is being called
	closed  bool
}

// timeBase is the origin of what monotonic returns. It is earlier than any connection.
var timeBase = time.Now().Add(-time.Hour)

// monotonic returns t in nanoseconds after timeBase. Steps of the time of day do not change it.
func monotonic(t time.Time) int64 { return int64(t.Sub(timeBase)) }

// open returns the account of a new connection, or nil if there is no room for it.
func (b *Budget) open(evict func()) *account {
	a := &account{
		budget: b,
		evict:  evict,
		held:   ConnBytes,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accounts == nil {
		b.accounts = make(map[*account]struct{})
	}
	b.makeRoom(nil, ConnBytes, 1, false)
	full := func() bool { return len(b.accounts) >= b.MaxConns+spareConns }
	if full() && b.closingConns > 0 {
		b.awaitFreed(full)
	}
	if full() {
		b.refused()
		return nil
	}
	b.accounts[a] = struct{}{}
	b.used += a.held
	return a
}

// grow adds n bytes to what a connection holds, and returns whether there is room for them. If there
// is none, connections that may be closed are closed first, and if wait is set, it waits for them.
func (a *account) grow(n int64, wait bool) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	full := func() bool { return b.used+n > b.MaxBytes && !a.evicted }
	if full() {
		b.makeRoom(a, n, 0, true)
		if wait && b.used-b.closing+n <= b.MaxBytes {
			b.awaitFreed(full)
		}
	}
	if full() || a.evicted || a.closed {
		b.refused()
		return false
	}
	b.used += n
	a.held += n
	return true
}

// growAnyway adds n bytes, whether there is room for them or not. It is for what can't be refused any more.
func (a *account) growAnyway(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.makeRoom(a, n, 0, false)
	b.used += n
	a.held += n
	if a.evicted {
		b.closing += n
	}
}

// shrink removes n bytes.
func (a *account) shrink(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.closed {
		b.release(a, n)
	}
}

// close removes the connection.
func (a *account) close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(b.accounts, a)
	if a.evicted {
		b.closingConns--
	}
	b.release(a, a.held)
}

// release removes n bytes of an account. The lock is held.
func (b *Budget) release(a *account, n int64) {
	a.held -= n
	b.used -= n
	if a.evicted {
		b.closing -= n
	}
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// refused reports that there is no room. The lock is held.
func (b *Budget) refused() {
	if b.OnRefused != nil {
		b.OnRefused()
	}
}

// awaitFreed waits while full returns true, at most for growTimeout. The lock is held, but not while it waits.
func (b *Budget) awaitFreed(full func() bool) {
	timeout := time.NewTimer(growTimeout)
	defer timeout.Stop()
	for full() {
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		expired := false
		select {
		case <-freed:
		case <-timeout.C:
			expired = true
		}
		b.mu.Lock()
		if expired {
			return
		}
	}
}

// makeRoom closes connections, but not that of the account a, until there is room for n more bytes
// and conns more connections once they are closed. If enough is set, it closes none unless there is enough
// room then. The lock is held.
func (b *Budget) makeRoom(a *account, n int64, conns int, enough bool) {
	bytes := b.used - b.closing + n - b.MaxBytes
	count := len(b.accounts) - b.closingConns + conns - b.MaxConns
	if bytes <= 0 && count <= 0 {
		return
	}
	wantedBytes, wantedConns := bytes, count
	if bytes > 0 {
		wantedBytes += int64(evictedFraction * float64(b.MaxBytes))
	}
	if count > 0 {
		wantedConns += int(evictedFraction * float64(b.MaxConns))
	}
	list := b.candidates(a)
	var freed int64
	chosen := 0
	for chosen < len(list) && (freed < wantedBytes || chosen < wantedConns) {
		freed += list[chosen].held
		chosen++
	}
	if chosen == 0 || enough && freed < bytes {
		return
	}
	list = list[:chosen]
	for _, c := range list {
		c.evicted = true
	}
	b.closing += freed
	b.closingConns += chosen
	if b.OnEvicted != nil {
		b.OnEvicted(chosen, freed)
	}
	go func() {
		for _, c := range list {
			c.evict()
		}
	}()
}

// candidates returns the accounts whose connections may be closed, but not a, in the order in which they are: by
// the bytes held, times the time for which the process has waited for the client. The lock is held.
func (b *Budget) candidates(a *account) []*account {
	type candidate struct {
		account *account
		score   float64
	}
	now := monotonic(time.Now())
	var list []candidate
	for c := range b.accounts {
		if waited := c.waited(now); waited > 0 && c != a && !c.evicted {
			list = append(list, candidate{
				account: c,
				score:   float64(c.held) * float64(waited),
			})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int { return cmp.Compare(y.score, x.score) })
	accounts := make([]*account, len(list))
	for i, c := range list {
		accounts[i] = c.account
	}
	return accounts
}

// waited returns for how many nanoseconds the process has waited for the client, or 0.
func (a *account) waited(now int64) int64 {
	var waited int64
	for _, since := range []*atomic.Int64{&a.readSince, &a.writeSince} {
		if at := since.Load(); at != 0 {
			waited = max(waited, now-at, 1)
		}
	}
	return waited
}

// State is the state of a Budget.
type State struct {
	// Conns is the number of open connections.
	Conns int
	// Bytes is the number of bytes that they hold.
	Bytes int64
}

// State returns the current state.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		Conns: len(b.accounts),
		Bytes: b.used,
	}
}
