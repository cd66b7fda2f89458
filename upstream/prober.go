// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"context"
	"time"
)

const (
	// probeFailures is the number of consecutive failed probes after which the upstream is
	// considered down.
	probeFailures        = 3
	defaultProbeInterval = time.Second
)

// Prober watches whether the upstream accepts connections. That is only a hint: the outcomes of
// the requests are better evidence. The exported fields are set before Run.
type Prober struct {
	// Transport dials the upstream.
	Transport *Transport
	// Interval is the time between probes. Zero means 1 s.
	Interval time.Duration
	// Changed is called when the upstream goes down or comes up again.
	Changed func(up bool)
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	interval := p.Interval
	if interval == 0 {
		interval = defaultProbeInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	up := true
	var failures int
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if p.probe(ctx) {
			failures = 0
		} else {
			failures++
		}
		if now := failures < probeFailures; now != up && ctx.Err() == nil {
			up = now
			p.Changed(up)
		}
	}
}

// probe returns whether a connection could be opened.
func (p *Prober) probe(ctx context.Context) bool {
	dial := p.Transport.Dial
	if dial == nil {
		dial = dialTCP
	}
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	c, err := dial(ctx, p.Transport.Addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
