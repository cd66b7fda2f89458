// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Load is the load that an upstream reports with its responses.
type Load struct {
	// Running and Waiting count its requests, and Slots is how many it runs concurrently.
	Running, Waiting, Slots int
	// Slowdown is the ratio of the current to the usual duration of a request. It is 1 if the
	// upstream does not report it.
	Slowdown float64
}

const (
	// maxCount is the largest accepted count of requests or slots: the largest number of
	// connections that an upstream may announce.
	maxCount = maxConnections
	// maxSlowdownPercent is the largest accepted slowdown, in percent: a factor of 1000.
	maxSlowdownPercent = 100000
)

// ParseLoad parses "running,waiting,slots" or "running,waiting,slots,percent", where percent is
// the current duration of a request relative to the usual one, which is 100.
func ParseLoad(text string) (Load, error) {
	l := Load{Slowdown: 1}
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return l, eris.Errorf("load %q has fewer than three fields", text)
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
		if err != nil || !(percent > 0 && percent <= maxSlowdownPercent) { // also excludes NaN
			return l, eris.Errorf("load %q: %q is not a percentage", text, parts[3])
		}
		l.Slowdown = percent / 100
	}
	return l, nil
}
