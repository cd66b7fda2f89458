// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package watch

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of bytes spent on monitoring (a token bucket). The zero value allows none.
type Budget struct {
	limiter  *rate.Limiter
	Messages atomic.Uint64 // messages allowed
	Bytes    atomic.Uint64 // bytes of the messages allowed
	Denied   atomic.Uint64 // messages denied
}

// NewBudget returns a budget of the given bytes per second, with a burst of the bytes of the
// given number of seconds.
func NewBudget(bytesPerSecond, seconds int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), seconds*bytesPerSecond)}
}

// Take spends n bytes on one message, and returns whether the budget allowed it.
func (b *Budget) Take(n int) bool {
	if b.limiter == nil || !b.limiter.AllowN(time.Now(), n) {
		b.Denied.Add(1)
		return false
	}
	b.Messages.Add(1)
	b.Bytes.Add(uint64(n))
	return true
}

// Pacer limits the rate of messages to each of many receivers. The exported fields must be
// set before the first call.
type Pacer[K comparable] struct {
	// Budget is charged for the messages.
	Budget *Budget
	// MinInterval is the minimum time between two messages to one receiver.
	MinInterval time.Duration
	// MessageBytes is the cost of one message.
	MessageBytes int

	mu   sync.Mutex
	last map[K]time.Time
}

// maxReceivers bounds the number of receivers that a Pacer tracks.
const maxReceivers = 4096

// Allow returns whether a message may be sent to the receiver now, and charges the budget for it.
func (p *Pacer[K]) Allow(receiver K) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.last[receiver]) < p.MinInterval {
		return false
	}
	if !p.Budget.Take(p.MessageBytes) {
		return false
	}
	if p.last == nil || len(p.last) >= maxReceivers {
		p.last = make(map[K]time.Time)
	}
	p.last[receiver] = now
	return true
}
