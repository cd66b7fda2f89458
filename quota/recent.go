// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// recentSpan is the time over which tokens are counted for operators.
const recentSpan = 5 * time.Second

// Recent counts tokens in the present span and the one before it. The zero value has counted
// none.
type RateMeter struct {
	span      int64 // the number of the present one
	now, last int
}

// turn goes on to the span of a time.
func (r *RateMeter) turn(at time.Duration) {
	switch span := int64(at / recentSpan); {
	case span == r.span+1:
		r.last = r.now
		r.now = 0
		r.span = span
	case span > r.span:
		r.last = 0
		r.now = 0
		r.span = span
	}
}

// Add counts n tokens.
func (r *RateMeter) Add(n int, at time.Duration) {
	r.turn(at)
	r.now += n
}

// Rate returns the tokens a second over about the last span.
func (r *RateMeter) Rate(at time.Duration) float64 {
	r.turn(at)
	into := (at % recentSpan).Seconds()
	left := recentSpan.Seconds() - into
	return max(0, float64(r.now)+float64(r.last)*left/recentSpan.Seconds()) / recentSpan.Seconds()
}
