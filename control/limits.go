// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"time"

	"sassafrasfront.example/peer"
)

// The limits of control connections, as fractions of the time within which a change has to be active. A change passes some
// three nodes, on each of which it may meet a silent connection.
const (
	silenceFraction      = 0.1
	silenceLimitFraction = 1.2
	ackFraction          = 0.8
	handshakeFraction    = 0.4
)

const (
	// minSilenceTimeout is the least silence timeout: a process that is allotted its processor by the tenth of a second is
	// silent for as long.
	minSilenceTimeout = 150 * time.Millisecond
	// maxSilenceTimeout and maxAckTimeout are the limits of control connections where changes may take long.
	maxSilenceTimeout = 3 * time.Second
	maxAckTimeout     = 10 * time.Second
)

// ConnectionLimits returns the limits of control connections in a system where a change has to be active on all nodes within
// the given time. Open connections may fall silent without being closed.
func ConnectionLimits(maxDelay time.Duration) peer.Limits {
	fraction := func(p float64, most time.Duration) time.Duration {
		return min(most, time.Duration(p*float64(maxDelay)))
	}
	return peer.Limits{
		SilenceTimeout:   max(minSilenceTimeout, fraction(silenceFraction, maxSilenceTimeout)),
		SilenceLimit:     max(minSilenceTimeout, fraction(silenceLimitFraction, maxSilenceTimeout)),
		AckTimeout:       fraction(ackFraction, maxAckTimeout),
		HandshakeTimeout: fraction(handshakeFraction, time.Second),
	}
}
