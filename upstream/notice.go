// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Notice is the request limit and the leaving state that an upstream reports with a response. It is
// an immutable value.
type Notice struct {
	// Limited is whether there is a limit, and Limit the number of requests per second that the
	// upstream accepts from all nodes together.
	Limited bool
	Limit   float64
	// Leaving is whether the upstream is leaving and accepts no new requests.
	Leaving bool
	// FromHealthCheck is whether it comes from the health check, whose responses may omit fields
	// that other responses have.
	FromHealthCheck bool
	// SentAt is the time just before the request was written. Of two responses, the one whose
	// request was written after the other response had been read is the newer; the order in which
	// the responses to concurrent requests are read is arbitrary.
	SentAt time.Time
	// Err is the reason why a field can't be parsed, or nil. The previous value then stays.
	Err error
}

// maxLimit is the largest accepted limit, in requests per second. Higher ones are reduced to it.
const maxLimit = 1e6

// ParseLimit parses a limit, a decimal number of requests per second. A limit above any upstream's
// capacity is reduced to 1e6.
func ParseLimit(text string) (float64, error) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil && math.IsInf(limit, 1): // out of range
	case err != nil || !(limit >= 0) || math.IsInf(limit, 0): // also excludes NaN
		return 0, eris.Errorf("limit %q is not a number of requests per second", text)
	}
	return min(limit, maxLimit), nil
}

// parseNotice returns the notice in the header of a response.
func parseNotice(h http.Header, names FieldNames) (n Notice) {
	if names.Limit != "" {
		if values := h.Values(names.Limit); len(values) > 0 {
			n.Limit, n.Err = ParseLimit(values[0])
			n.Limited = n.Err == nil
		}
	}
	if names.Leaving == "" {
		return n
	}
	switch text := strings.TrimSpace(h.Get(names.Leaving)); text {
	case "", "0":
	case "1":
		n.Leaving = true
	default:
		n.Err = eris.Errorf("leaving %q is neither 0 nor 1", text)
	}
	return n
}
