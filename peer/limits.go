// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "time"

// Limits bounds the resources of this process that a peer can use. It is an immutable
// value; the zero value of a field stands for its default.
type Limits struct {
	// MaxFrameBytes is the largest frame in bytes. The default is 2 MiB, twice the size of the largest
	// object that the platform accepts.
	MaxFrameBytes int
	// MaxFields is the largest number of header or trailer fields of one
	// message. The default is the constant MaxFields.
	MaxFields int
	// MaxOpenCalls is the largest number of open calls per connection. The default is
	// 4096.
	MaxOpenCalls int
	// WindowBytes is the flow control window: the largest number of body bytes per call and
	// direction that are sent and not yet consumed. The default is 256 KiB.
	WindowBytes int
	// MaxInFlightBytes is the largest number of body bytes of calls in flight to a Server
	// from all peers together. Zero means that only WindowBytes bounds them.
	MaxInFlightBytes int
	// LinkBandwidth is the configured bandwidth of the link to a Server in bytes per second,
	// or 0 if it is not known. The bandwidth is measured if MaxInFlightBytes is set.
	LinkBandwidth float64
	// MaxHandshakes is the largest number of connections to a Server whose handshakes are in progress. If
	// there are more, the one that has taken longest is closed. The default is 512.
	MaxHandshakes int
	// HandshakeTimeout bounds dialling and the exchange of Hellos. The default is 1 s.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the writing of one frame while the peer's kernel does not
	// acknowledge what was written. The default is 5 s.
	WriteTimeout time.Duration
	// SilenceTimeout is the time after which a connection with open calls, on which
	// nothing arrives, gets no new ones. A ping is sent after half of it. Open calls
	// continue, as a peer whose link is saturated or whose processor is overloaded is as
	// silent as one that has crashed. The requests on a control connection are sent again on the
	// new one, and the first reply counts. The default is 3 s.
	SilenceTimeout time.Duration
	// SilenceLimit is the silence after which a control connection with open requests is
	// closed. The default is 3 s.
	SilenceLimit time.Duration
	// AckTimeout is the time after which a connection is closed if the peer's kernel has
	// not acknowledged what was written (TCP_USER_TIMEOUT, see RFC 5482). A kernel that
	// advertises a zero window, as its process reads nothing, does acknowledge. The
	// default is 10 s.
	AckTimeout time.Duration
	// IdleTimeout is the time after which a client connection without open calls is
	// closed. The default is 5 min.
	IdleTimeout time.Duration
}

// MaxFields is the default limit of header or trailer fields. It is more than fit into the largest head
// that a node may be set to accept for its callers' requests in 4 bytes a field. Senders must respect it,
// as the receiver closes the connection on a violation, and thereby ends all other calls on it.
const MaxFields = 1 << 18

// MaxEarlyBodyBytes is the largest body, in bytes, that may be sent before its call is
// admitted, and so be buffered for a queued call.
const MaxEarlyBodyBytes = 256 << 10

// maxChunkBytes is the largest number of body bytes in one frame. A small frame behind a
// chunk waits for no more than a quantum.
const maxChunkBytes = quantumBytes

// withDefaults returns l with its zero fields replaced.
func (l Limits) withDefaults() Limits {
	l.MaxFrameBytes = orDefault(l.MaxFrameBytes, 2<<20)
	l.MaxFields = orDefault(l.MaxFields, MaxFields)
	l.MaxOpenCalls = orDefault(l.MaxOpenCalls, 4096)
	l.WindowBytes = orDefault(l.WindowBytes, 256<<10)
	l.MaxHandshakes = orDefault(l.MaxHandshakes, 512)
	l.HandshakeTimeout = orDefault(l.HandshakeTimeout, time.Second)
	l.WriteTimeout = orDefault(l.WriteTimeout, 5*time.Second)
	l.SilenceTimeout = orDefault(l.SilenceTimeout, 3*time.Second)
	l.SilenceLimit = orDefault(l.SilenceLimit, 3*time.Second)
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
