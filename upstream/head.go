// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/httpfield"
)

// errInvalidHead marks a response whose head is not one of HTTP/1.1, although net/http accepts it.
var errInvalidHead = eris.New("invalid head of a response")

// headReader reads the responses of an upstream and checks their heads. Net/http accepts names of
// fields with blanks and statuses that are no three digits, and ignores one of two fields that
// frame the body, so that a body could be passed on that is not the upstream's.
type headReader struct {
	// Reader is the connection.
	io.Reader

	check headCheck
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.check.write(p[:n])
	return n, err
}

// readResponse reads the head of the response to q from buffered, which reads from r.
func (r *headReader) readResponse(buffered *bufio.Reader, q *http.Request) (*http.Response, error) {
	r.check.reset()
	received, _ := buffered.Peek(buffered.Buffered()) // returns what is buffered
	r.check.write(received)
	response, err := http.ReadResponse(buffered, q)
	switch {
	case r.check.err != nil:
		return nil, r.check.err
	case err != nil:
		return nil, err
	}
	return response, nil
}

// headCheck checks the head of a response against RFC 9112 while it is read.
type headCheck struct {
	line       []byte // the part of the current line that an earlier write contained
	lines      int    // number of complete lines
	isHTTP10   bool
	hasLength  bool  // whether there is a Content-Length
	hasCodings bool  // whether there is a Transfer-Encoding
	done       bool  // whether the head has ended, or err is set
	err        error // why the head is invalid, or nil
}

// reset prepares the check for the next head.
func (h *headCheck) reset() { *h = headCheck{line: h.line[:0]} }

// write checks the next bytes of a connection, up to the end of the head.
func (h *headCheck) write(p []byte) {
	for !h.done {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.line = append(h.line, p...)
			return
		}
		line := p[:i]
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		p = p[i+1:]
		h.err = h.checkLine(bytes.TrimSuffix(line, []byte{'\r'}))
		h.done = h.done || h.err != nil
		h.lines++
		h.line = h.line[:0]
	}
}

// checkLine checks the next line, which is without its end.
func (h *headCheck) checkLine(line []byte) error {
	switch {
	case h.lines == 0:
		return h.checkStatusLine(string(line))
	case len(line) == 0:
		h.done = true
		return h.checkFraming()
	case line[0] == ' ' || line[0] == '\t':
		return nil // the continuation of a value, which net/http joins with a blank
	}
	name, _, found := bytes.Cut(line, []byte{':'})
	if !found || !httpfield.IsToken(string(name)) {
		return fmt.Errorf("%w: %.80q is not a field", errInvalidHead, line)
	}
	h.hasLength = h.hasLength || strings.EqualFold(string(name), "Content-Length")
	h.hasCodings = h.hasCodings || strings.EqualFold(string(name), "Transfer-Encoding")
	return nil
}

// checkStatusLine checks the first line (RFC 9112, section 4). Statuses outside of 100 to 599 are
// invalid (RFC 9110, section 15).
func (h *headCheck) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, _, _ := strings.Cut(rest, " ")
	digits := len(status) == 3 && strings.Trim(status, "0123456789") == ""
	if version != "HTTP/1.0" && version != "HTTP/1.1" || !digits || status < "100" || status > "599" {
		return fmt.Errorf("%w: status line %.80q", errInvalidHead, line)
	}
	h.isHTTP10 = version == "HTTP/1.0"
	return nil
}

// checkFraming checks that at most one field frames the body (RFC 9112, sections 6.1 and 6.3).
func (h *headCheck) checkFraming() error {
	if h.hasCodings && (h.hasLength || h.isHTTP10) {
		return fmt.Errorf("%w: ambiguous length of the body", errInvalidHead)
	}
	return nil
}

// cleanTrailer removes the fields from the trailer of a response that must not be in one. It returns
// an error if a name is not a token.
func cleanTrailer(trailer http.Header) error {
	if name, found := httpfield.InvalidName(trailer); found {
		return fmt.Errorf("%w: trailer field %.80q", errInvalidHead, name)
	}
	httpfield.DeleteFraming(trailer)
	return nil
}
