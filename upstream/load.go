// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Load is what an upstream tells of itself on its answers.
type Load struct {
	// Running and Waiting count its requests, and Slots is how many it runs at
	// once.
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual work takes there now. It is
	// 1 if the upstream does not tell.
	Slowdown float64
}

const (
	// maxCount is the largest count of requests or slots that is believed: as many
	// connections as an upstream may announce.
	maxCount = maxConnections
	// maxPercent is the largest slowdown that is believed, in percent: a thousandfold.
	maxSlowdownPercent = 100000
)

// ParseLoad reads "running,waiting,slots" or "running,waiting,slots,percent",
// where percent is the present duration of work and 100 the usual one.
func ParseLoad(text string) (Load, error) {
	l := Load{Slowdown: 1}
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return l, eris.Errorf("load %q has fewer than three figures", text)
	}
	for i, to := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 || n > maxCount {
			return l, eris.Errorf("load %q: %q is not a count", text, parts[i])
		}
		*to = n
	}
	if len(parts) > 3 {
		percent, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64)
		if err != nil || !(percent > 0 && percent <= maxSlowdownPercent) { // NaN is none either
			return l, eris.Errorf("load %q: %q is not a percentage", text, parts[3])
		}
		l.Slowdown = percent / 100
	}
	return l, nil
}
