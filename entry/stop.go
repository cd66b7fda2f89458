// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"sync"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// stopping says whether a Dispatcher has been stopped. The zero value says that it has not.
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

// Stop has nothing sent any more. Requests that wait at a gate are taken back, and end as
// not run. Those that may run go on until Close.
func (d *Dispatcher) Stop() { d.stopping.once.Do(func() { close(d.stopping.done()) }) }

// errStopped is why a stopped Dispatcher sends nothing.
var errStopped = eris.New("this node had to stop")

// stopped returns the failure of a sending that a stopped Dispatcher is to make, or nil if
// it is not stopped.
func (d *Dispatcher) stopError() *verdict.Error {
	select {
	case <-d.stopping.done():
		return verdict.New(verdict.NotSent, errStopped)
	default:
		return nil
	}
}

// withdraw takes the open sendings back as far as they wait at their gates.
func (o *operation) revokeOpen() {
	o.stopping = nil // once
	for _, a := range o.open {
		a.exchange.Revoke()
	}
}
