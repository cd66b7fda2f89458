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

// maxCrossed bounds the answers to other requests that are skipped ahead of the right one.
const maxSkippedResponses = 4

// errCrossed ends a connection whose answers can't be told apart.
var errUnmatchedResponses = eris.New("answers to other requests, and no end of them")

// readAnswer reads the head of the answer to r. Answers that name another
// request are skipped: an upstream may send one twice, and late.
func (t *Transport) readResponse(c *conn, r *http.Request, inform func(int, http.Header)) (*http.Response, error) {
	names := t.Names
	id := ""
	if names.RequestID != "" {
		id = r.Header.Get(names.RequestID)
	}
	for range maxSkippedResponses {
		response, err := c.readHead(r, inform)
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
			return nil, errUnmatchedResponses // it ends with the connection
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, errUnmatchedResponses
		}
	}
	return nil, errUnmatchedResponses
}

// observe hands on the load that an answer tells.
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

// notice hands on what an answer says of the requests that the upstream wants, given the failure
// that it stands for, if any. That of another upstream at the same address is left out, and so is
// one that may not be the upstream's and says nothing: it ends no limit.
func (t *Transport) reportNotice(r *http.Response, sentAt time.Time, failure *verdict.Error) {
	if t.NoticeReceived == nil || failure != nil && failure.Cause == verdict.WrongUpstream {
		return
	}
	n := parseNotice(r.Header, t.Names)
	if failure != nil && failure.Cause == verdict.AnswerMalformed && !n.Limited && !n.Leaving {
		return
	}
	n.SentAt = sentAt
	t.NoticeReceived(n)
}

// namedRefusal returns the failure that an answer stands for by the fields of
// Names: that the request has not run, that the answer breaks a promise, or that
// it is no answer of the upstream's.
func (t *Transport) refusalByFields(r *http.Response) *verdict.Error {
	names := t.Names
	switch {
	case names.ExpectedInstance != "" && r.StatusCode == http.StatusMisdirectedRequest:
		return verdict.New(verdict.WrongUpstream, nil)
	case names.NotRun != "" && r.Header.Get(names.NotRun) != "":
		return verdict.New(verdict.UpstreamRefused, nil).WithRetryAfter(parseRetryAfter(r))
	case names.NotRun != "" && impliesNotRun(r.StatusCode):
		// The status says to a caller that the request has not run, and the
		// upstream does not say so.
		return verdict.New(verdict.AnswerMalformed, eris.Errorf("status %d without word that the request has not run", r.StatusCode))
	case names.Signature != "" && r.StatusCode/100 == 2 && r.Header.Get(names.Signature) == "":
		return verdict.New(verdict.AnswerMalformed, eris.New("success without a signature"))
	}
	return nil
}

// promises returns whether a caller takes the status as a promise that its
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// keepAliveOf returns how long the upstream keeps an idle connection, as an answer says in whole
// seconds, or 0. See RFC 2068, section 19.7.1.1.
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

// retryAfter returns the wait that an answer asks for, or 0.
func parseRetryAfter(r *http.Response) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || s <= 0 || s > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
