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

// Notice is what an answer of an upstream says of the requests that the upstream wants. It
// is an immutable value.
type Notice struct {
	// Limited is whether it names a limit, and Limit the requests a second that it takes from
	// all nodes together.
	Limited bool
	Limit   float64
	// Leaving is whether the upstream leaves and wants no new requests.
	Leaving bool
	// Health is whether it is an answer of the health check, which may leave out what other
	// answers say.
	FromHealthCheck bool
	// Asked is when the request was about to be written. Of two answers, the one whose request
	// was written after the other had been read is the later word; the order in which the
	// answers to simultaneous requests are read says nothing.
	SentAt time.Time
	// Fault is why a part of it can't be read, or nil. What was known before then holds.
	Err error
}

// maxLimit is the largest limit that is told from none, in requests a second.
const maxLimit = 1e6

// ParseLimit reads a limit, a decimal number of requests a second. One that is larger than
// any upstream takes counts as 1e6.
func ParseLimit(text string) (float64, error) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil && math.IsInf(limit, 1): // out of range
	case err != nil || !(limit >= 0) || math.IsInf(limit, 0): // NaN is none either
		return 0, eris.Errorf("limit %q is not a number of requests a second", text)
	}
	return min(limit, maxLimit), nil
}

// noticeOf returns what an answer says, by the names of its fields.
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
