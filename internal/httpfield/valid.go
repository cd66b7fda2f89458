// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package httpfield

import (
	"net/http"
	"strings"
)

// IsToken returns whether s is a token, as a field's name has to be (RFC 9110, section 5.6.2).
// Net/http accepts names with blanks as well, and keeps them as they are.
func IsToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// InvalidName returns a name in h that is not a token, and whether there is any.
func InvalidName(h http.Header) (name string, found bool) {
	for name := range h {
		if !IsToken(name) {
			return name, true
		}
	}
	return "", false
}

// IsStatus returns whether a status is one of HTTP (RFC 9110, section 15).
func IsStatus(status int) bool { return status >= minStatus && status <= maxStatus }

const (
	minStatus = 100
	maxStatus = 599
)

// framingFields are the fields that a trailer must not contain (RFC 9110, section 6.5.1), as
// receivers may merge it into the head.
var framingFields = []string{"Content-Length", "Transfer-Encoding", "Trailer", "Host", "Connection"}

// DeleteFraming removes the fields from a trailer that say how a message is framed or routed.
func DeleteFraming(trailer http.Header) {
	for _, name := range framingFields {
		trailer.Del(name)
	}
}
