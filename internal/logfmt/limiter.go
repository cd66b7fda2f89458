// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt

import (
	"sync"
	"time"
)

// LineLimiter limits the log lines of each kind per second. Its methods may be called from
// any goroutine. The exported field is set before the first call.
type LineLimiter struct {
	// OnSuppressed, if not nil, is called with the number of lines of a kind that were
	// suppressed in a second, when the next line of that kind is allowed.
	OnSuppressed func(kind string, count int)

	mu    sync.Mutex
	kinds map[string]*window
}

// window counts the lines of one kind in the present second.
type window struct {
	startedAt  time.Time
	lines      int
	suppressed int
}

// Allow returns whether n more lines of the kind may be written, given the limit per
// second.
func (l *LineLimiter) Allow(kind string, perSecond, n int) bool {
	l.mu.Lock()
	if l.kinds == nil {
		l.kinds = make(map[string]*window)
	}
	w := l.kinds[kind]
	if w == nil {
		w = new(window)
		l.kinds[kind] = w
	}
	now := time.Now()
	suppressed := 0
	if now.Sub(w.startedAt) >= time.Second {
		suppressed = w.suppressed
		*w = window{startedAt: now}
	}
	allowed := w.lines+n <= perSecond
	if allowed {
		w.lines += n
	} else {
		w.suppressed += n
	}
	l.mu.Unlock()
	if suppressed > 0 && l.OnSuppressed != nil {
		l.OnSuppressed(kind, suppressed)
	}
	return allowed
}
