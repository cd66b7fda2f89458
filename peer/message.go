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

// Kind tells the messages apart on the wire.
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
	// Ahead is whether the body may be asked for before the call is admitted, as its
	// sender keeps it. Such a call streams, has a Length of at most MaxAhead, and is not
	// started before its End.
	EarlyBody bool `msgpack:"ahead,omitempty"`
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64 `msgpack:"length"`
	// Try counts the sendings of the same request, from 1.
	Attempt int `msgpack:"try"`
	// Print tells the request from others. Its body is not known where it Streams and
	// was not gathered before.
	Fingerprint quarantine.Fingerprint `msgpack:"print"`
	// Notice is what the sender has been told last of the receiver's upstream, or nil: a
	// receiver that has started anew may not have heard it.
	Notice *Notice `msgpack:"notice,omitempty"`
}

// Notice is what a start of an upstream has said in its answers of the requests that it wants.
type Notice struct {
	// Start and Born tell the start, as in upstream.Announcement.
	StartID     string `msgpack:"start"`
	StartMillis int64  `msgpack:"born,omitempty"`
	// Limited is whether it names a limit, and Limit its requests a second.
	Limited bool    `msgpack:"limited,omitempty"`
	Limit   float64 `msgpack:"limit,omitempty"`
	// Leaving is whether it leaves.
	Leaving bool `msgpack:"leaving,omitempty"`
}

// Body is a chunk of the body of a call or of its answer.
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
	// Slowdown is how many times longer than usual work takes now, or 0 if that
	// is not known.
	Slowdown float64 `msgpack:"slowdown,omitempty"`
	// Failing is the share of the latest requests that the upstream failed.
	FailureRatio float64 `msgpack:"failing,omitempty"`
	// BodyRate is how many body bytes a second the link to the node carries, or 0 if that is
	// not known, and BodyBacklog how many are under way to it or wait for their turn.
	LinkBandwidth float64 `msgpack:"bodyRate,omitempty"`
	BacklogBytes  int     `msgpack:"bodyBacklog,omitempty"`
	// Limited is whether the upstream names a limit, Limit its requests a second, Used the part of
	// it that was used of late, and Free after how long one more may start.
	Limited   bool          `msgpack:"limited,omitempty"`
	Limit     float64       `msgpack:"limit,omitempty"`
	LimitUsed float64       `msgpack:"used,omitempty"`
	LimitWait time.Duration `msgpack:"free,omitempty"`
}

// Failure ends a call that got no answer, or cuts an answer that has begun.
type Failure struct {
	ID         uint64        `msgpack:"id"`
	Cause      string        `msgpack:"cause"`
	RetryAfter time.Duration `msgpack:"retryAfter,omitempty"`
	GivenUp    bool          `msgpack:"givenUp,omitempty"`
	Detail     string        `msgpack:"detail,omitempty"`
	Report     *Report       `msgpack:"report,omitempty"`
	Notice     *Notice       `msgpack:"notice,omitempty"`
}

// Answer is the head of an answer, and the whole of it unless Streams is set.
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
	// Notice is what the upstream has said of the requests that it wants, or nil if it wants all.
	Notice *Notice `msgpack:"notice,omitempty"`
	// Arrived is how long the body of a call that was sent Ahead took to arrive, from the
	// arrival of the call.
	TransferTime time.Duration `msgpack:"arrived,omitempty"`
	// Waited is how long the call waited for a slot, with its body there.
	QueueTime time.Duration `msgpack:"waited,omitempty"`
}

// Inform carries an informational (1xx) answer ahead of the final one.
type Informational struct {
	ID     uint64  `msgpack:"id"`
	Status int     `msgpack:"status"`
	Header []Field `msgpack:"header"`
}

// Cancel says that the answer to a call is no longer wanted.
type Cancel struct {
	ID uint64 `msgpack:"id"`
}

// Revoke takes a call back if it still waits. It is answered by Cancelled only
// if it did; otherwise the call goes on.
type Revoke struct {
	ID uint64 `msgpack:"id"`
}

// Cancelled ends a call that was cancelled or revoked.
type Cancelled struct {
	ID uint64 `msgpack:"id"`
	// Ran is false if it is certain that the call never ran.
	Ran bool `msgpack:"ran"`
}

// Credit allows the receiver to send more bytes of a body. The first credit
// for a streamed call also says that it has been admitted, unless its body is sent ahead.
type Credit struct {
	ID    uint64 `msgpack:"id"`
	Bytes int    `msgpack:"bytes"`
}

// Ping asks for a Pong with the same number.
type Ping struct {
	Number uint64 `msgpack:"number"`
}

// Pong answers a Ping.
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

// Reply answers a Request. Detail is set if it failed.
type Reply struct {
	ID      uint64 `msgpack:"id"`
	Payload []byte `msgpack:"payload,omitempty"`
	Detail  string `msgpack:"detail,omitempty"`
}
