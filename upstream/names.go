// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

// FieldNames holds the names of the header fields that callers, nodes and upstreams use. An empty
// name means that there is no such field. It is an immutable value; the zero value stands for
// DefaultFieldNames.
type FieldNames struct {
	// RequestID carries the id of a request. A response echoes it.
	RequestID string
	// Timeout carries the remaining time of a request, in milliseconds.
	Timeout string
	// CallerService carries the name of the service that a request comes from.
	CallerService string
	// Organisation carries the name of the organisation on whose behalf a request is sent.
	Organisation string
	// ExpectedInstance carries the StartID of the upstream that a request is meant for. An
	// upstream with another one does not run it and responds with status 421.
	ExpectedInstance string
	// Instance carries the StartID of the upstream that responds.
	Instance string
	// NotRun on a response means that the request has not been run.
	NotRun string
	// Signature is a field that every successful response of an upstream has.
	Signature string
	// Load carries the load of the upstream that responds; see ParseLoad.
	Load string
	// Limit carries the number of requests per second that the upstream accepts from all nodes
	// together; see ParseLimit. Without it there is no such limit.
	Limit string
	// Leaving is "1" on a response if the upstream is leaving.
	Leaving string
	// StartMillis is the member of the health check's JSON body that holds the start time of
	// the upstream; see Announcement.
	StartMillis string
	// Cold is the field of the health check's response that holds the remaining cold time, in
	// milliseconds. Without it the upstream is warm.
	Cold string
	// FractionalRetryAfter is whether Retry-After may have a fraction.
	FractionalRetryAfter bool
}

// DefaultFieldNames are the names that are used unless others are configured.
var DefaultFieldNames = FieldNames{
	RequestID: "X-Request-Id",
	Timeout:   "Sassafras-Timeout-Ms",
	Limit:     "Sassafras-Limit",
	Leaving:   "Sassafras-Leaving",
}

// OrDefault returns the names, or DefaultFieldNames if they are the zero value.
func (n FieldNames) OrDefault() FieldNames {
	if n == (FieldNames{}) {
		return DefaultFieldNames
	}
	return n
}

// GeneratesRequestIDs returns whether a request without an id is assigned one. It is not if the
// field is not the default one: upstreams then only accept ids that callers have sent.
func (n FieldNames) GeneratesRequestIDs() bool { return n.RequestID == DefaultFieldNames.RequestID }
