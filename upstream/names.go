// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

// Names are the header fields that callers, nodes and upstreams use. An empty
// name means that there is no such field. It is an immutable value; the zero
// value stands for DefaultNames.
type FieldNames struct {
	// RequestID names a request. An answer echoes it.
	RequestID string
	// Timeout bears the remaining time of a request, in milliseconds.
	Timeout string
	// CallerService bears the service that a request comes from.
	CallerService string
	// Organisation bears the name of the organisation on whose behalf a request is sent.
	Organisation string
	// Expected bears the start of the upstream that a request is meant for. An
	// upstream of another start does not run it and answers 421.
	ExpectedInstance string
	// Instance bears the start of the upstream that answers.
	Instance string
	// NotRun on an answer says that the request has not been run.
	NotRun string
	// Signature is a field that each success of an upstream has.
	Signature string
	// Load bears the load of the upstream that answers; see ParseLoad.
	Load string
	// Limit is the field of an answer that names how many requests a second the upstream takes
	// from all nodes together; see ParseLimit. Without it there is no such limit.
	Limit string
	// Leaving is the field of an answer that says, by "1", that the upstream leaves.
	Leaving string
	// Born is the field of the health check's body, a JSON object, that says when the
	// upstream's start began; see Announcement.
	StartMillis string
	// Cold is the field of the health check's answer that says how much longer the upstream
	// is cold, in milliseconds. Without it the upstream is warm.
	Cold string
	// FractionalRetryAfter is whether Retry-After may have a fraction.
	FractionalRetryAfter bool
}

// DefaultNames are the product's own.
var DefaultFieldNames = FieldNames{
	RequestID: "X-Request-Id",
	Timeout:   "Sassafras-Timeout-Ms",
	Limit:     "Sassafras-Limit",
	Leaving:   "Sassafras-Leaving",
}

// OrDefault returns the names, or DefaultNames if they are the zero value.
func (n FieldNames) OrDefault() FieldNames {
	if n == (FieldNames{}) {
		return DefaultFieldNames
	}
	return n
}

// MakesIDs returns whether a request without an id is given one. Where
// upstreams know only ids that callers have sent, it is not.
func (n FieldNames) GeneratesRequestIDs() bool { return n.RequestID == DefaultFieldNames.RequestID }
