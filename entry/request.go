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
	// Service is the name of its service.
	Service string
	// Class is its class.
	Class string
	// Organisation is the name of the organisation on whose behalf it is sent, or empty.
	Organisation string
	// Method, Target and Host are as in HTTP, the target in origin form.
	Method, Target, Host string
	// Header are the header fields to send.
	Header []peer.Field
	// Body is the whole body, unless Kept or Stream is set.
	Body []byte
	// Kept is the body if it is sent on as it comes in, and kept so that it can be sent
	// again.
	Spooled *spool.Body
	// Stream yields the body if it is very large. It is read at most once.
	Stream io.Reader
	// Length is the length of the body, or -1 if it is not known.
	Length int64
	// Idempotent is whether running the request twice does no harm.
	Idempotent bool
	// Print tells the request from others.
	Fingerprint quarantine.Fingerprint
	// Attempts bounds the upstreams that the request is sent to. Zero means that
	// the service's configuration says so.
	MaxAttempts int
	// Regions are those to whose nodes and upstreams the request may be sent, be it once
	// more or alone. None means all.
	Regions []string
	// Objective is the latency within which the answer is of full value, or 0.
	Objective time.Duration
	// Deadline is when the answer must have begun.
	Deadline time.Time
	// Inform, if not nil, is called with informational answers.
	OnInformational func(*peer.Inform)
	// Steps are what was decided on the request. The Dispatcher adds to them until
	// Do returns.
	Steps []Step
}

// call returns the message that sends r for the given time.
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
		Ahead:        r.sendsBodyAhead(),
		Length:       r.Length,
		Try:          attempt,
		Print:        r.Fingerprint,
	}
	if !c.Streams {
		c.Body = r.Body
	}
	return c
}

// InlineBody is the largest body, in bytes, that goes with the call. A larger one
// follows once the gate asks for it, which costs an exchange between
// nodes, so that a call that is refused does not carry it in vain: a request of 60
// KB that three gates refuse takes 150 ms of a link of 10 Mbit/s otherwise.
const MaxInlineBodyBytes = 8 << 10

// ahead returns whether the body may be sent before the call is admitted: if it can be sent
// again from its start where the call is refused after all.
func (r *Request) sendsBodyAhead() bool {
	return r.Length > MaxInlineBodyBytes && r.Length <= peer.MaxAhead && r.Stream == nil
}

// crosses returns how many bytes of the body cross the link in their own frames, as far as
// is known.
func (r *Request) bodyFrameBytes() int64 {
	if r.Length <= MaxInlineBodyBytes {
		return 0
	}
	return r.Length
}

// stream returns the body of a sending that follows the call.
func (r *Request) bodyReader() io.Reader {
	switch {
	case r.Spooled != nil:
		return r.Spooled.Open()
	case r.Stream != nil:
		return nextView(r.Stream)
	}
	return bytes.NewReader(r.Body)
}

// Result is the answer to a request.
type Result struct {
	*peer.Response
	// Node is the node that answered.
	Node string
	// Zone is where it is.
	Zone string
	// Tries is the number of sendings, the first included.
	Attempts int

	attempt *attempt
}

// Close ends the exchange. It must be called, whether or not the body has been
// read.
func (r *Result) Close() {
	if r.attempt != nil { // it is nil where another than a Dispatcher answers
		r.attempt.finish(nil)
	}
}
