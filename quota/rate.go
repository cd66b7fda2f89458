// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// rateSpan is the length of a span over which tokens are counted for operators.
const rateSpan = 5 * time.Second

// RateMeter counts tokens in the present span and the previous one. The zero value has
// counted none.
type RateMeter struct {
	span              int64 // the number of the present one
	current, previous int
}

// rotate moves on to the span of the given time.
func (r *RateMeter) rotate(at time.Duration) {
	switch span := int64(at / rateSpan); {
	case span == r.span+1:
		r.previous = r.current
		r.current = 0
		r.span = span
	case span > r.span:
		r.previous = 0
		r.current = 0
		r.span = span
	}
}

// Add counts n tokens.
func (r *RateMeter) Add(n int, at time.Duration) {
	r.rotate(at)
	r.current += n
}

// Rate returns the tokens per second over roughly the last span.
func (r *RateMeter) Rate(at time.Duration) float64 {
	r.rotate(at)
	elapsed := (at % rateSpan).Seconds()
	remaining := rateSpan.Seconds() - elapsed
	return max(0, float64(r.current)+float64(r.previous)*remaining/rateSpan.Seconds()) / rateSpan.Seconds()
}
