// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"time"

	"sassafrasfront.example/quarantine"
)

// Version is the version of the protocol that this package speaks.
const Version = 4

// Kind identifies the type of a message on the wire.
type Kind uint8

// The kinds of frames.
const (
	KindHello Kind = iota + 1
	KindCall
	KindBody
	KindEnd
	KindFailure
	KindResponse
	KindInformational
	KindCancel
	KindRevoke
	KindCancelled
	KindCredit
	KindPing
	KindPong
	KindRequest
	KindReply
	KindReport
)

// Hello is the first message in each direction of a connection.
type Hello struct {
	Version     int    `msgpack:"version"`
	Node        string `msgpack:"node"`
	Incarnation uint64 `msgpack:"incarnation"`
	Zone        string `msgpack:"zone"`
	// Control is whether the connection carries control requests; otherwise
	// it carries calls.
	Control bool `msgpack:"control"`
}

// Field is one header or trailer field.
type Field struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Call asks the receiver to run a request at its upstream.
type Call struct {
	ID      uint64 `msgpack:"id"`
	Service string `msgpack:"service"`
	Class   string `msgpack:"class,omitempty"`
	// Organisation is the name of the organisation on whose behalf the request is sent, or
	// empty.
	Organisation string `msgpack:"organisation,omitempty"`
	Method       string `msgpack:"method"`
	// Target is the request target, in origin form.
	Target string  `msgpack:"target"`
	Host   string  `msgpack:"host"`
	Header []Field `msgpack:"header"`
	// Remaining is the time until the deadline, at the time of sending.
	Remaining time.Duration `msgpack:"remaining"`
	// Body is the whole body, unless Streams is set.
	Body []byte `msgpack:"body,omitempty"`
	// Streams is whether the body follows in Body messages up to an End.
	Streams bool `msgpack:"streams,omitempty"`
	// EarlyBody is whether the receiver may request the body before it admits the call, as
	// the sender keeps a copy. Such a call streams, has a Length of at most
	// MaxEarlyBodyBytes, and is not started before its End.
	EarlyBody bool `msgpack:"ahead,omitempty"`
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64 `msgpack:"length"`
	// Attempt is the number of the attempt at the same request, from 1.
	Attempt int `msgpack:"try"`
	// Fingerprint identifies the request. The body is not included if it is streamed and
	// was not buffered before.
	Fingerprint quarantine.Fingerprint `msgpack:"print"`
	// Notice is the latest notice of the receiver's upstream that the sender has received, or
	// nil. A receiver that has restarted may not have it.
	Notice *Notice `msgpack:"notice,omitempty"`
}

// Notice is what a start of an upstream has announced in its responses: the limit that it
// advertises, and whether it is leaving.
type Notice struct {
	// StartID and StartMillis identify the start, as in upstream.Announcement.
	StartID     string `msgpack:"start"`
	StartMillis int64  `msgpack:"born,omitempty"`
	// Limited is whether it advertises a limit, and Limit that limit in requests per second.
	Limited bool    `msgpack:"limited,omitempty"`
	Limit   float64 `msgpack:"limit,omitempty"`
	// Leaving is whether it is leaving.
	Leaving bool `msgpack:"leaving,omitempty"`
}

// Body is a chunk of the body of a call or of its response.
type Body struct {
	ID   uint64 `msgpack:"id"`
	Data []byte `msgpack:"data"`
}

// End ends a streamed body.
type End struct {
	ID      uint64  `msgpack:"id"`
	Trailer []Field `msgpack:"trailer,omitempty"`
}

// Report is the load of the node that sends it.
type Report struct {
	Running     int           `msgpack:"running"`
	Waiting     int           `msgpack:"waiting"`
	Slots       int           `msgpack:"allowed"`
	ServiceTime time.Duration `msgpack:"service"`
	Draining    bool          `msgpack:"draining,omitempty"`
	// Slowdown is the ratio of the present service time to the usual one, or 0 if that
	// is not known.
	Slowdown float64 `msgpack:"slowdown,omitempty"`
	// FailureRatio is the fraction of recent requests that the upstream failed.
	FailureRatio float64 `msgpack:"failing,omitempty"`
	// LinkBandwidth is the bandwidth of the link to the node in body bytes per second, or 0 if
	// it is not known, and BacklogBytes the number of body bytes in flight to it or queued.
	LinkBandwidth float64 `msgpack:"bodyRate,omitempty"`
	BacklogBytes  int     `msgpack:"bodyBacklog,omitempty"`
	// Limited is whether the upstream advertises a limit, Limit that limit in requests per
	// second, LimitUsed the fraction of it that was used recently, and LimitWait the time until
	// one more request may start.
	Limited   bool          `msgpack:"limited,omitempty"`
	Limit     float64       `msgpack:"limit,omitempty"`
	LimitUsed float64       `msgpack:"used,omitempty"`
	LimitWait time.Duration `msgpack:"free,omitempty"`
}

// Failure ends a call that got no response, or truncates a response that has begun.
type Failure struct {
	ID         uint64        `msgpack:"id"`
	Cause      string        `msgpack:"cause"`
	RetryAfter time.Duration `msgpack:"retryAfter,omitempty"`
	GivenUp    bool          `msgpack:"givenUp,omitempty"`
	Detail     string        `msgpack:"detail,omitempty"`
	Report     *Report       `msgpack:"report,omitempty"`
	Notice     *Notice       `msgpack:"notice,omitempty"`
}

// ResponseHead is the head of a response, or the whole response unless Streams is set.
type ResponseHead struct {
	ID     uint64  `msgpack:"id"`
	Status int     `msgpack:"status"`
	Header []Field `msgpack:"header"`
	// Body is the whole body, or its first bytes if Streams is set.
	Body []byte `msgpack:"body,omitempty"`
	// Streams is whether more follows in Body messages up to an End.
	Streams bool `msgpack:"streams,omitempty"`
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length  int64   `msgpack:"length"`
	Trailer []Field `msgpack:"trailer,omitempty"`
	Report  *Report `msgpack:"report,omitempty"`
	// Notice is the notice of the upstream, or nil if there is none.
	Notice *Notice `msgpack:"notice,omitempty"`
	// TransferTime is how long the early body of a call took to arrive, counted from the
	// arrival of the call.
	TransferTime time.Duration `msgpack:"arrived,omitempty"`
	// QueueTime is how long the call waited for a slot after its body had arrived.
	QueueTime time.Duration `msgpack:"waited,omitempty"`
}

// Informational carries an informational (1xx) response ahead of the final one.
type Informational struct {
	ID     uint64  `msgpack:"id"`
	Status int     `msgpack:"status"`
	Header []Field `msgpack:"header"`
}

// Cancel means that the response to a call is no longer wanted.
type Cancel struct {
	ID uint64 `msgpack:"id"`
}

// Revoke takes a call back if it is still queued. The peer sends Cancelled only
// if it was; otherwise the call continues.
type Revoke struct {
	ID uint64 `msgpack:"id"`
}

// Cancelled ends a call that was cancelled or revoked.
type Cancelled struct {
	ID uint64 `msgpack:"id"`
	// Ran is false if it is certain that the call never ran.
	Ran bool `msgpack:"ran"`
}

// Credit allows the receiver to send more bytes of a body. The first credit for a streamed
// call also means that the call has been admitted, unless it has an early body.
type Credit struct {
	ID    uint64 `msgpack:"id"`
	Bytes int    `msgpack:"bytes"`
}

// Ping requests a Pong with the same number.
type Ping struct {
	Number uint64 `msgpack:"number"`
}

// Pong is the response to a Ping.
type Pong struct {
	Number uint64 `msgpack:"number"`
}

// Request is a control message. A Reply with the same ID follows, unless the
// ID is zero.
type Request struct {
	ID      uint64 `msgpack:"id"`
	Topic   string `msgpack:"topic"`
	Payload []byte `msgpack:"payload"`
}

// Reply is the response to a Request. Detail is set if the request failed.
type Reply struct {
	ID      uint64 `msgpack:"id"`
	Payload []byte `msgpack:"payload,omitempty"`
	Detail  string `msgpack:"detail,omitempty"`
}
