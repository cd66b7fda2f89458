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
	// Field is the header field that bears a caller's key.
	Field = "Authorization"
	// scheme is the scheme of keys, in any case.
	scheme = "Bearer"
	// maxKey is the longest key that is looked up, in bytes: each costs a digest.
	maxKeyBytes = 1 << 10
	// challenge is sent to a caller without a key, and challengeInvalid to one with
	// another key than an organisation's (RFC 6750, section 3).
	challenge        = scheme
	challengeInvalid = scheme + ` error="invalid_token"`
)

// Why a request has no key. No message quotes what was sent.
var (
	errMissing   = eris.New("no Authorization")
	errMultiple  = eris.New("several Authorization fields")
	errScheme    = eris.New("Authorization is not by a bearer key")
	errMalformed = eris.Errorf("the bearer key is not 1 to %d visible characters", maxKeyBytes)
)

// Key returns the key that a request shows, or why it shows none.
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

// Strip removes what may bear an organisation's key, in whatever form. Credentials of other
// schemes on a public route are the upstream's own business.
func Strip(h http.Header, public bool) {
	if !public || slices.ContainsFunc(h[Field], mayHoldKey) {
		h.Del(Field)
	}
}

// mayBearKey returns whether a value is not credentials of another scheme.
func mayHoldKey(value string) bool {
	name, credentials, _ := strings.Cut(value, " ")
	return credentials == "" || strings.HasPrefix(strings.ToLower(name), strings.ToLower(scheme))
}

// Challenge returns the challenge to a caller that is not let in.
func Challenge(h http.Header) string {
	if len(h[Field]) == 0 {
		return challenge
	}
	return challengeInvalid
}
