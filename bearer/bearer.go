// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bearer

import (
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// Field is the header field that contains a caller's key.
	Field = "Authorization"
	// scheme is the authentication scheme of keys, which is not case-sensitive.
	scheme = "Bearer"
	// maxKeyBytes is the length of the longest key that is looked up: each costs a digest.
	maxKeyBytes = 1 << 10
	// challenge is sent to a caller without a key, and challengeInvalid to one whose key is
	// not an organisation's (RFC 6750, section 3).
	challenge        = scheme
	challengeInvalid = scheme + ` error="invalid_token"`
)

// The reasons why a request has no key. No message quotes what was sent.
var (
	errMissing   = eris.New("the Authorization field is missing")
	errMultiple  = eris.New("more than one Authorization field")
	errScheme    = eris.New("the Authorization scheme is not Bearer")
	errMalformed = eris.Errorf("the bearer key is not 1 to %d visible characters", maxKeyBytes)
)

// Key returns the key that a request contains, or an error with the reason why it has none.
func Key(h http.Header) (string, error) {
	values := h[Field]
	switch {
	case len(values) == 0:
		return "", errMissing
	case len(values) > 1:
		return "", errMultiple
	}
	name, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(name, scheme) {
		return "", errScheme
	}
	key = strings.TrimLeft(key, " ")
	invisible := func(c rune) bool { return c <= ' ' || c > '~' }
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, invisible) {
		return "", errMalformed
	}
	return key, nil
}

// Strip removes fields that may contain an organisation's key, in whatever form. Credentials of
// other schemes are left to the upstream on a public route.
func Strip(h http.Header, public bool) {
	if !public || slices.ContainsFunc(h[Field], mayHoldKey) {
		h.Del(Field)
	}
}

// mayHoldKey returns whether a value is anything but credentials of another scheme.
func mayHoldKey(value string) bool {
	name, credentials, _ := strings.Cut(value, " ")
	return credentials == "" || strings.HasPrefix(strings.ToLower(name), strings.ToLower(scheme))
}

// Challenge returns the challenge for a caller that is not authorised.
func Challenge(h http.Header) string {
	if len(h[Field]) == 0 {
		return challenge
	}
	return challengeInvalid
}
