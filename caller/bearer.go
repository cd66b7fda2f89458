// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/upstream"
)

const (
	// authorization is the field that bears a caller's key.
	authorization = "Authorization"
	// bearerScheme is the scheme of keys (RFC 6750, section 2.1), in any case.
	bearerScheme = "Bearer"
	// maxKey is the longest key that is looked up, in bytes: each costs a digest.
	maxKey = 1 << 10
	// challenge is sent to a caller without a key, and challengeInvalid to one with
	// another key than an organisation's (RFC 6750, section 3).
	challenge        = bearerScheme
	challengeInvalid = bearerScheme + ` error="invalid_token"`
)

// Why a request has no key. No message quotes what was sent.
var (
	errNoKey    = eris.New("no Authorization")
	errTwoKeys  = eris.New("several Authorization fields")
	errNoBearer = eris.New("Authorization is not by a bearer key")
	errBadKey   = eris.Errorf("the bearer key is not 1 to %d visible characters", maxKey)
)

// bearerKey returns the key that a request shows.
func bearerKey(h http.Header) (string, error) {
	values := h[authorization]
	switch {
	case len(values) == 0:
		return "", errNoKey
	case len(values) > 1:
		return "", errTwoKeys
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return "", errNoBearer
	}
	key = strings.TrimLeft(key, " ")
	hidden := func(c rune) bool { return c <= ' ' || c > '~' }
	if key == "" || len(key) > maxKey || strings.ContainsFunc(key, hidden) {
		return "", errBadKey
	}
	return key, nil
}

// stripKeys removes what may bear an organisation's key. Credentials of other schemes on a
// public route are the upstream's own business.
func stripKeys(h http.Header, public bool) {
	for _, v := range h[authorization] {
		scheme, _, _ := strings.Cut(strings.TrimSpace(v), " ")
		if !public || strings.EqualFold(scheme, bearerScheme) {
			h.Del(authorization)
			return
		}
	}
}

// challengeOf returns the challenge to a caller that is not let in.
func challengeOf(h http.Header) string {
	if len(h[authorization]) == 0 {
		return challenge
	}
	return challengeInvalid
}

// nameOrganisation sets the field by which the upstream knows the organisation, whatever
// the caller has sent in it.
func nameOrganisation(h http.Header, field, name string) {
	if field == "" {
		return
	}
	h.Del(field)
	if name != "" {
		h.Set(field, name)
	}
}

// withheld returns the fields that a trailer can't bear: an upstream that merges it into
// the header would take them for the node's (RFC 9110, section 6.5.1).
func withheld(names upstream.Names) []string {
	return []string{authorization, names.RequestID, names.Timeout, names.CallerService, names.Expected, names.Organisation}
}
