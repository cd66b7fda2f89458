// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"sync"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// stopSignal signals that a Dispatcher has been stopped. The zero value is ready to use.
type stopSignal struct {
	mu      sync.Mutex
	stopped chan struct{}
	once    sync.Once
}

// done returns a channel that is closed once the Dispatcher has been stopped.
func (s *stopSignal) done() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped == nil {
		s.stopped = make(chan struct{})
	}
	return s.stopped
}

// Stop makes the Dispatcher start no more attempts. Requests that wait at a gate are revoked and
// end as not run. Those that may be running continue until Close.
func (d *Dispatcher) Stop() { d.stopping.once.Do(func() { close(d.stopping.done()) }) }

// errStopped is the reason for which a stopped Dispatcher sends nothing.
var errStopped = eris.New("this node is stopping")

// stopError returns the failure of an attempt that is to be started after the Dispatcher has been
// stopped, or nil if it has not been stopped.
func (d *Dispatcher) stopError() *verdict.Error {
	select {
	case <-d.stopping.done():
		return verdict.New(verdict.NotSent, errStopped)
	default:
		return nil
	}
}

// revokeOpen revokes the open attempts that still wait at their gates.
func (o *operation) revokeOpen() {
	o.stopping = nil // only once
	for _, a := range o.open {
		a.exchange.Revoke()
	}
}
