// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"sassafrasfront.example/bearer"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Verdict says whether the request may have run.
	Verdict string `json:"verdict"`
	Cause   string `json:"cause"`
	// RetryAfterMs is the time after which the caller may retry, in milliseconds. It is
	// finer than the header field Retry-After, which counts whole seconds.
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId"`
}

// problemTypePrefix is the common prefix of the types of all problems.
const problemTypePrefix = "https://sassafrasfront.example/problems/"

// writeFailure sends the caller an error response for the failure e.
func (x *exchange) writeFailure(e *verdict.Error) {
	x.leaveBodyUnread()
	status := e.Status()
	x.outcome.Status = status
	x.outcome.Failure = e
	p := Problem{
		Type:         problemTypePrefix + string(e.Cause),
		Title:        http.StatusText(status),
		Status:       status,
		Verdict:      e.Verdict().String(),
		Cause:        string(e.Cause),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		RequestID:    x.outcome.ID,
	}
	if e.Err != nil {
		p.Detail = e.Err.Error()
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	names := x.handler.FieldNames.OrDefault()
	h.Set(names.RequestID, x.outcome.ID)
	h.Set(upstream.VerdictHeader, p.Verdict)
	if e.GivenUp {
		h.Set(upstream.GivenUpHeader, "true")
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", bearer.Challenge(x.r.Header))
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", FormatRetryAfter(e.RetryAfter, names.FractionalRetryAfter))
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // not reached: a Problem has only strings and numbers
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.closesConnection = x.remainderTooLong()
	x.writeHeader(status)
	_, _ = x.w.Write(body)
}

// leaveBodyUnread has the response sent although the body of the request has not been read. The server
// would otherwise wait for the body first, however long its end takes.
func (x *exchange) leaveBodyUnread() {
	unread := x.r.ContentLength != 0 && x.streamed == nil && !x.bodyRead
	if unread && connectionOf(x.r) != nil && x.r.ProtoMajor == 1 && x.r.Header.Get("Expect") == "" {
		x.streamBody(maxDrainBytes)
	}
}

// writeHeader writes the header of the final response. The response is the last one of the
// connection if the start of the next request can't be determined, or the connection is to
// be closed.
func (x *exchange) writeHeader(status int) {
	if x.bodyReadFailed.Load() || x.closesConnection || keepAlivesDisabled(x.r) || hasBothLengths(x.r) {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// remainderTooLong returns whether the rest of the body is too long to be read for the sake of
// reusing the connection, which is then closed after the response.
func (x *exchange) remainderTooLong() bool {
	return x.streamed != nil && x.r.ProtoMajor == 1 && x.streamed.exceedsDrainLimit()
}

// FormatRetryAfter returns d as the value of the field Retry-After, in whole seconds unless
// callers accept fractions.
func FormatRetryAfter(d time.Duration, fractional bool) string {
	if fractional {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(ceilSeconds(d))
}

// ceilSeconds returns d in whole seconds, rounded up, and at least one.
func ceilSeconds(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }

// writeInformational forwards an informational response.
func (x *exchange) writeInformational(m *peer.Informational) {
	h := x.w.Header()
	for _, f := range m.Header {
		h.Add(f.Name, f.Value)
	}
	x.w.WriteHeader(m.Status)
	clear(h)
}

// writeResponse forwards a response. It returns whether the response must be truncated.
func (x *exchange) writeResponse(result *entry.Result) (truncated bool) {
	x.outcome.Status = result.Status
	h := x.w.Header()
	copyResponseHeader(h, result.Header, x.handler.Node)
	h.Set(x.handler.FieldNames.OrDefault().RequestID, x.outcome.ID)
	h.Set(upstream.VerdictHeader, verdict.Ran.String())
	if result.Node != "" {
		h.Set(NodeHeader, result.Node)
	}
	// The end of a response without a length is written when the handler returns, and so
	// not while the rest of the body is read.
	x.closesConnection = h.Get("Content-Length") == "" && x.streamed != nil && !x.streamed.ended() || x.remainderTooLong()
	x.writeHeader(result.Status)
	if result.Length < 0 || result.Length > copyBufferBytes {
		x.held.GrowAnyway(responseBytes)
	}
	if err := x.copyBody(result); err != nil {
		x.outcome.Failure = verdict.As(err, verdict.CallerGone)
		_ = http.NewResponseController(x.w).Flush() // what has been written
		return true
	}
	for _, f := range result.Trailer() {
		h.Add(http.TrailerPrefix+f.Name, f.Value)
	}
	return false
}

// responseBytes is what a response takes that is forwarded in parts: what the node beside the upstream
// sends ahead, and the buffer.
const responseBytes = 256<<10 + copyBufferBytes

// copyBufferBytes is the size of the buffer through which a response body is forwarded.
const copyBufferBytes = 32 << 10

// copyBody forwards the body of a response. If its length is not known, each part is flushed
// as soon as it is received.
func (x *exchange) copyBody(result *entry.Result) error {
	if result.Length >= 0 {
		_, err := io.Copy(x.w, result.Body)
		return err
	}
	control := http.NewResponseController(x.w)
	_ = control.Flush()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := result.Body.Read(buffer)
		if n > 0 {
			if _, err := x.w.Write(buffer[:n]); err != nil {
				return err
			}
			_ = control.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
