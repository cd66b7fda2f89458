// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"bytes"
	"io"
	"time"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/spool"
)

// Request is a caller's request.
type Request struct {
	// Service is the name of the service.
	Service string
	// Class is the name of the request's class.
	Class string
	// Organisation is the name of the organisation on whose behalf the request is sent, or empty.
	Organisation string
	// Method, Target and Host are as in HTTP, the target in origin form.
	Method, Target, Host string
	// Header are the header fields to send.
	Header []peer.Field
	// Body is the complete body, unless Spooled or Stream is set.
	Body []byte
	// Spooled is a body that is forwarded while it is received, and spooled so that it
	// can be sent again.
	Spooled *spool.Body
	// Stream is a body too large to be spooled. It is read at most once.
	Stream io.Reader
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Idempotent is whether running the request twice does no harm.
	Idempotent bool
	// Fingerprint identifies the request for the quarantine.
	Fingerprint quarantine.Fingerprint
	// MaxAttempts bounds the number of upstreams that the request is sent to. Zero
	// means the bound of the service's configuration.
	MaxAttempts int
	// Regions are the regions to whose nodes and upstreams the request may be sent, including
	// retries, hedged attempts and isolated requests. None means all.
	Regions []string
	// Objective is the latency within which the caller expects the response, or 0.
	Objective time.Duration
	// Deadline is the time by which the response must have begun.
	Deadline time.Time
	// OnInformational, if not nil, is called for each informational response.
	OnInformational func(*peer.Informational)
	// Steps are the decisions taken on the request. The Dispatcher appends to them until
	// Do returns.
	Steps []Step
}

// call returns the message of the given attempt.
func (r *Request) call(attempt int) *peer.Call {
	c := &peer.Call{
		Service:      r.Service,
		Class:        r.Class,
		Organisation: r.Organisation,
		Method:       r.Method,
		Target:       r.Target,
		Host:         r.Host,
		Header:       r.Header,
		Remaining:    time.Until(r.Deadline),
		Streams:      r.Spooled != nil || r.Stream != nil || len(r.Body) > MaxInlineBodyBytes,
		EarlyBody:    r.sendsEarlyBody(),
		Length:       r.Length,
		Attempt:      attempt,
		Fingerprint:  r.Fingerprint,
	}
	if !c.Streams {
		c.Body = r.Body
	}
	return c
}

// MaxInlineBodyBytes is the size of the largest body that is sent together with the call. A larger
// one is sent once the gate asks for it. That costs a round trip between nodes, but a refused call
// then does not carry its body in vain: a request of 60 KB that three gates refuse would otherwise
// occupy a link of 10 Mbit/s for 150 ms.
const MaxInlineBodyBytes = 8 << 10

// sendsEarlyBody returns whether the body may be sent before the call is admitted. It must be
// possible to send it again from its start if the call is refused.
func (r *Request) sendsEarlyBody() bool {
	return r.Length > MaxInlineBodyBytes && r.Length <= peer.MaxEarlyBodyBytes && r.Stream == nil
}

// bodyFrameBytes returns how many bytes of the body are sent over the link in frames of their own, as
// far as is known.
func (r *Request) bodyFrameBytes() int64 {
	if r.Length <= MaxInlineBodyBytes {
		return 0
	}
	return r.Length
}

// bodyReader returns a reader of the part of the body that follows the call of an attempt.
func (r *Request) bodyReader() io.Reader {
	switch {
	case r.Spooled != nil:
		return r.Spooled.NewReader()
	case r.Stream != nil:
		return nextView(r.Stream)
	}
	return bytes.NewReader(r.Body)
}

// Result is the response to a request.
type Result struct {
	*peer.Response
	// Node is the id of the node that responded.
	Node string
	// Zone is the availability zone of the node.
	Zone string
	// Attempts is the number of attempts, including the first.
	Attempts int

	attempt *attempt
}

// Close ends the exchange. It must be called whether or not the body has been
// read.
func (r *Result) Close() {
	if r.attempt != nil { // nil if the result does not come from a Dispatcher
		r.attempt.finish(nil)
	}
}
