// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "time"

// Limits bounds what a peer may make this process hold. It is an immutable
// value; the zero value of a field stands for its default.
type Limits struct {
	// Frame is the largest frame in bytes. The default is 1 MiB.
	MaxFrameBytes int
	// Fields is the largest number of header or trailer fields of one
	// message. The default is MaxFields.
	MaxFields int
	// Open is the largest number of open calls per connection. The default is
	// 4096.
	MaxOpenCalls int
	// Window is the largest number of body bytes per call and direction that
	// are sent and not yet consumed. The default is 256 KiB.
	WindowBytes int
	// UnderWay is the largest number of body bytes of calls that all peers together
	// may have under way to a Server. Zero means that Window alone bounds them.
	MaxInFlightBytes int
	// Rate is how many bytes a second the link to a Server is said to carry, or 0 if that
	// is not known. It is measured where UnderWay is set.
	LinkBandwidth float64
	// Handshake bounds dialling and the exchange of Hellos. The default is 1 s.
	HandshakeTimeout time.Duration
	// Write bounds the writing of one frame where the peer's kernel does not acknowledge what was
	// written. The default is 5 s.
	WriteTimeout time.Duration
	// Silence is the time after which a connection with open calls, on which
	// nothing arrives, gets no more of them. A ping is sent after half of it. What is
	// open stays so, as a peer whose link is full or whose processor is scarce is as
	// silent as one that is gone. A control connection ends: what is asked there may be
	// asked again. The default is 3 s.
	SilenceTimeout time.Duration
	// Loss is the time after which a connection ends on which what was written has
	// not been acknowledged by the peer's kernel (TCP_USER_TIMEOUT, see RFC 5482). One that
	// answers that it has no room, as its process reads nothing, acknowledges. The
	// default is 10 s.
	AckTimeout time.Duration
	// Idle is the time after which a client connection without open calls is
	// closed. The default is 5 min.
	IdleTimeout time.Duration
}

// MaxFields is the default bound on header or trailer fields. Who sends a
// message keeps to it, as the receiver ends the connection over a breach, and
// with it what others have under way there.
const MaxFields = 256

// MaxAhead is the largest body, in bytes, that may be sent ahead of the admission of its
// call, and so be held for a call that waits.
const MaxEarlyBodyBytes = 256 << 10

// chunk is the largest number of body bytes in one frame: a small frame that comes
// behind one waits for no more than a quantum.
const maxChunkBytes = quantumBytes

// withDefaults returns l with its zero fields replaced.
func (l Limits) withDefaults() Limits {
	l.MaxFrameBytes = orDefault(l.MaxFrameBytes, 1<<20)
	l.MaxFields = orDefault(l.MaxFields, MaxFields)
	l.MaxOpenCalls = orDefault(l.MaxOpenCalls, 4096)
	l.WindowBytes = orDefault(l.WindowBytes, 256<<10)
	l.HandshakeTimeout = orDefault(l.HandshakeTimeout, time.Second)
	l.WriteTimeout = orDefault(l.WriteTimeout, 5*time.Second)
	l.SilenceTimeout = orDefault(l.SilenceTimeout, 3*time.Second)
	l.AckTimeout = orDefault(l.AckTimeout, 10*time.Second)
	l.IdleTimeout = orDefault(l.IdleTimeout, 5*time.Minute)
	return l
}

// orDefault returns v, or d if v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
