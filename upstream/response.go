// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

const (
	// maxSkippedResponses bounds the number of responses to other requests that are skipped before the
	// one to the request that was sent.
	maxSkippedResponses = 4
	// maxSkippedBytes bounds the body of each of them, in bytes.
	maxSkippedBytes = 8 << 20
)

// errUnmatchedResponses closes a connection whose responses can't be assigned to requests.
var errUnmatchedResponses = eris.New("responses can't be matched to requests")

// readResponse reads the head of the response to r. Responses that carry the id of another request
// are skipped: an upstream may send a response twice, or late.
func (t *Transport) readResponse(c *conn, r *http.Request, onInfo func(int, http.Header)) (*http.Response, error) {
	names := t.Names
	id := ""
	if names.RequestID != "" {
		id = r.Header.Get(names.RequestID)
	}
	for range maxSkippedResponses {
		response, err := c.readHead(r, onInfo)
		if err != nil {
			return nil, err
		}
		got := ""
		if id != "" {
			got = response.Header.Get(names.RequestID)
		}
		if got == "" || got == id {
			return response, nil
		}
		c.responseSkipped = true
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errUnmatchedResponses // its body ends with the connection
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || response.Close {
			return nil, errUnmatchedResponses
		}
	}
	return nil, errUnmatchedResponses
}

// reportLoad reports the load that a response carries.
func (t *Transport) reportLoad(r *http.Response) {
	if t.Names.Load == "" || t.LoadReported == nil {
		return
	}
	if text := r.Header.Get(t.Names.Load); text != "" {
		if l, err := ParseLoad(text); err == nil {
			t.LoadReported(l)
		}
	}
}

// reportNotice reports the limit and the leaving state that a response carries. The failure is the one
// that the response represents, if any. A response of another upstream at the same address is
// ignored, and so is one that may not be the upstream's and carries neither a limit nor leaving:
// it must not lift a limit.
func (t *Transport) reportNotice(r *http.Response, sentAt time.Time, failure *verdict.Error) {
	if t.NoticeReceived == nil || failure != nil && failure.Cause == verdict.WrongUpstream {
		return
	}
	n := parseNotice(r.Header, t.Names)
	if failure != nil && failure.Cause == verdict.ResponseMalformed && !n.Limited && !n.Leaving {
		return
	}
	n.SentAt = sentAt
	t.NoticeReceived(n)
}

// refusalByFields returns the failure that a response represents according to the fields of
// FieldNames: the request has not run, the response violates the protocol, or it was not sent by
// the upstream.
func (t *Transport) refusalByFields(r *http.Response) *verdict.Error {
	names := t.Names
	switch {
	case names.ExpectedInstance != "" && r.StatusCode == http.StatusMisdirectedRequest:
		return verdict.New(verdict.WrongUpstream, nil)
	case names.NotRun != "" && r.Header.Get(names.NotRun) != "":
		return verdict.New(verdict.UpstreamRefused, nil).WithRetryAfter(parseRetryAfter(r))
	case names.NotRun != "" && impliesNotRun(r.StatusCode):
		// A caller reads the status as a guarantee that the request has not run, which the
		// upstream did not confirm.
		return verdict.New(verdict.ResponseMalformed, eris.Errorf("status %d without confirmation that the request has not run", r.StatusCode))
	case names.Signature != "" && r.StatusCode/100 == 2 && r.Header.Get(names.Signature) == "":
		return verdict.New(verdict.ResponseMalformed, eris.New("successful status without a signature"))
	}
	return nil
}

// impliesNotRun returns whether callers read the status as a guarantee that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// parseKeepAlive returns the time for which the upstream keeps an idle connection, from the
// Keep-Alive field of a response in whole seconds, or 0. See RFC 2068, section 19.7.1.1.
func parseKeepAlive(r *http.Response) time.Duration {
	for parameter := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseUint(value, 10, 16); err == nil {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// parseRetryAfter returns the delay of the Retry-After field of a response, or 0.
func parseRetryAfter(r *http.Response) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || s <= 0 || s > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
