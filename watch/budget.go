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

// Budget bounds the bytes spent on watching. The zero value allows none.
type Budget struct {
	limiter  *rate.Limiter
	Messages atomic.Uint64 // messages spent on
	Bytes    atomic.Uint64 // bytes spent
	Denied   atomic.Uint64 // messages left out
}

// NewBudget returns a budget of the given bytes per second, of which as many
// seconds as given can be saved up.
func NewBudget(bytesPerSecond, seconds int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), seconds*bytesPerSecond)}
}

// Take spends n bytes on one message, and returns whether they were there.
func (b *Budget) Take(n int) bool {
	if b.limiter == nil || !b.limiter.AllowN(time.Now(), n) {
		b.Denied.Add(1)
		return false
	}
	b.Messages.Add(1)
	b.Bytes.Add(uint64(n))
	return true
}

// Pacer spaces the messages to each of many receivers. The exported fields are
// set before the first call.
type Pacer[K comparable] struct {
	// Budget is what the messages cost.
	Budget *Budget
	// Every is the least time between two messages to one receiver.
	MinInterval time.Duration
	// Size is what one message costs, in bytes.
	MessageBytes int

	mu   sync.Mutex
	last map[K]time.Time
}

// maxReceivers bounds what a Pacer remembers.
const maxReceivers = 4096

// Due returns whether a message may go to the receiver now, and spends it.
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
