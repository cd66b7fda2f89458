// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// testConn is a connection of a Budget that notes when it is closed.
type testConn struct {
	account *account
	closed  atomic.Bool
	closes  time.Duration // after how long it is closed once it is to be
}

// open opens a connection that holds n bytes, for whose client the process has waited since the given time
// before now. Zero means that it does not wait.
func open(b *Budget, n int64, waited time.Duration) *testConn {
	c := new(testConn)
	c.account = b.open(func() {
		time.Sleep(c.closes)
		c.closed.Store(true)
		c.account.close()
	})
	if c.account == nil {
		return nil
	}
	if n > ConnBytes {
		c.account.growAnyway(n - ConnBytes)
	}
	if waited > 0 {
		c.account.readSince.Store(monotonic(time.Now().Add(-waited)))
	}
	return c
}

// TestEvictionOrder checks which connections are closed for another one: those that have held most for
// longest, and none at whose request the process is at work.
func TestEvictionOrder(t *testing.T) {
	const kB = 1 << 10
	type conn struct {
		name   string
		held   int64
		waited time.Duration
	}
	tests := map[string]struct {
		conns []conn
		needs int64
		want  []string // the closed ones
		ok    bool
	}{
		"room":               {conns: []conn{{"a", 100 * kB, time.Second}}, needs: 100 * kB, ok: true},
		"largest":            {conns: []conn{{"a", 400 * kB, time.Second}, {"b", 500 * kB, time.Second}}, needs: 200 * kB, want: []string{"b"}, ok: true},
		"longest":            {conns: []conn{{"a", 450 * kB, 2 * time.Second}, {"b", 450 * kB, time.Second}}, needs: 200 * kB, want: []string{"a"}, ok: true},
		"small ones last":    {conns: []conn{{"a", 30 * kB, time.Minute}, {"b", 900 * kB, 10 * time.Second}}, needs: 200 * kB, want: []string{"b"}, ok: true},
		"as many as needed":  {conns: []conn{{"a", 300 * kB, time.Second}, {"b", 300 * kB, 2 * time.Second}, {"c", 300 * kB, 3 * time.Second}}, needs: 500 * kB, want: []string{"b", "c"}, ok: true},
		"not those at work":  {conns: []conn{{"a", 800 * kB, 0}, {"b", 100 * kB, time.Second}}, needs: 150 * kB, want: []string{"b"}, ok: true},
		"all are at work":    {conns: []conn{{"a", 500 * kB, 0}, {"b", 500 * kB, 0}}, needs: 200 * kB},
		"more than there is": {conns: []conn{{"a", 500 * kB, time.Second}}, needs: 2000 * kB},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &Budget{
					MaxBytes: 1000 * kB,
					MaxConns: 100,
				}
				conns := make(map[string]*testConn)
				for _, c := range test.conns {
					conns[c.name] = open(b, c.held, c.waited)
				}
				ok := open(b, ConnBytes, 0).account.grow(test.needs-ConnBytes, true)
				synctest.Wait()
				var closed []string
				for name, c := range conns {
					if c.closed.Load() {
						closed = append(closed, name)
					}
				}
				slices.Sort(closed)
				qt.Check(t, closed, qt.DeepEquals, test.want)
				qt.Check(t, ok, qt.Equals, test.ok)
			})
		})
	}
}

// TestGrowWaits checks that a request waits for the bytes of connections that are being closed, for a
// bounded time, and that none is closed in place of one that is being closed.
func TestGrowWaits(t *testing.T) {
	for name, test := range map[string]struct {
		closes time.Duration
		ok     bool
		took   time.Duration
	}{
		"closed soon": {closes: 300 * time.Millisecond, ok: true, took: 300 * time.Millisecond},
		"closed late": {closes: time.Minute, took: growTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &Budget{
					MaxBytes: 10 * ConnBytes,
					MaxConns: 100,
				}
				first, second := open(b, 4*ConnBytes, 2*time.Second), open(b, 4*ConnBytes, time.Second)
				first.closes = test.closes
				c := open(b, ConnBytes, 0)
				began := time.Now()
				qt.Check(t, c.account.grow(2*ConnBytes, true), qt.Equals, test.ok)
				qt.Check(t, time.Since(began), qt.Equals, test.took)
				qt.Check(t, second.closed.Load(), qt.IsFalse)
				time.Sleep(test.closes)
				qt.Check(t, first.closed.Load(), qt.IsTrue)
			})
		})
	}
}

// TestMaxConns opens more connections than there may be: the oldest idle ones are closed, and a new one is
// refused only if the process is at work at the requests of all others.
func TestMaxConns(t *testing.T) {
	const maxConns = 100
	for name, idle := range map[string]bool{"idle": true, "at work": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				refused := 0
				b := &Budget{
					MaxBytes:  1 << 30,
					MaxConns:  maxConns,
					OnRefused: func() { refused++ },
				}
				var conns []*testConn
				for range 3 * maxConns {
					var waited time.Duration
					if idle {
						waited = time.Second
					}
					if c := open(b, ConnBytes, waited); c != nil {
						conns = append(conns, c)
					}
					time.Sleep(time.Millisecond)
				}
				synctest.Wait()
				if idle {
					qt.Check(t, refused, qt.Equals, 0)
					qt.Check(t, conns[0].closed.Load(), qt.IsTrue)
					qt.Check(t, conns[len(conns)-1].closed.Load(), qt.IsFalse)
					qt.Check(t, b.State().Conns <= maxConns, qt.IsTrue)
				} else {
					qt.Check(t, refused, qt.Equals, 3*maxConns-(maxConns+spareConns))
					qt.Check(t, b.State().Conns, qt.Equals, maxConns+spareConns)
				}
				for _, c := range conns {
					c.account.close()
					c.account.close() // a second time changes nothing
				}
				qt.Check(t, b.State(), qt.Equals, State{})
				qt.Check(t, b.closing, qt.Equals, int64(0))
				qt.Check(t, b.closingConns, qt.Equals, 0)
			})
		})
	}
}
