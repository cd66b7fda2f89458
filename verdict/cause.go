// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package verdict

import "net/http"

// Cause names what went wrong with a request.
type Cause string

// The causes of failure, in the order in which a request can encounter them.
const (
	// UnknownHost: no configured service has the host of the request.
	UnknownHost Cause = "unknownHost"
	// BadRequest: the request can't be forwarded, such as an Upgrade.
	BadRequest Cause = "badRequest"
	// NotSupported: the request uses a feature that is deliberately not supported.
	NotSupported Cause = "notSupported"
	// TooLarge: a header or body exceeds its limit, before any upstream was
	// contacted.
	TooLarge Cause = "tooLarge"
	// HeaderTooLarge: the header of the request exceeds its limit.
	HeaderTooLarge Cause = "headTooLarge"
	// NotReady: the node has no accepted configuration yet.
	NotReady Cause = "notReady"
	// Overloaded: the node has no room for the request, as other callers take all of it.
	Overloaded Cause = "overloaded"
	// Unauthorized: the request lacks a key of an organisation where one is required.
	Unauthorized Cause = "unauthorized"
	// KeysStale: the node has not received an update of the valid keys for too long.
	KeysStale Cause = "notFresh"
	// RateLimited: the organisation exceeds its rate limit.
	RateLimited Cause = "rateLimited"
	// LimitUnknown: no node reported in time whether the organisation exceeds its rate
	// limit.
	LimitUnknown Cause = "limitUnknown"
	// NoUpstream: the service has no upstream that accepts requests.
	NoUpstream Cause = "noUpstream"
	// DeadlinePassed: the deadline passed before the request was sent to an upstream's node.
	DeadlinePassed Cause = "deadlinePassed"
	// DialFailed: the node beside the upstream could not be connected to.
	DialFailed Cause = "dialFailed"
	// NotWritten: the request was not completely written to the connection.
	NotWritten Cause = "notWritten"
	// Refused: the node beside the upstream was at capacity.
	Refused Cause = "refused"
	// Slowed: the upstream slowed down so recently that the sender could not know.
	Slowed Cause = "slowed"
	// Draining: the upstream or the node beside it is leaving.
	Draining Cause = "draining"
	// Misrouted: the node is not, or no longer, beside an upstream of the
	// service.
	Misrouted Cause = "misrouted"
	// Quarantined: upstreams have crashed while they ran requests like this one.
	Quarantined Cause = "quarantined"
	// NotSent: the node that received the request stopped before sending it on.
	NotSent Cause = "notSent"
	// Revoked: the request was revoked while it waited in a queue.
	Revoked Cause = "revoked"
	// UpstreamDialFailed: the node could not connect to its upstream, or
	// wrote no byte of the request to it.
	UpstreamDialFailed Cause = "upstreamDialFailed"
	// UpstreamRefused: the upstream responded that it has not run the request.
	UpstreamRefused Cause = "upstreamRefused"
	// ClaimFailed: the record that prevents a resent request from running twice
	// could not be created.
	ClaimFailed Cause = "claimFailed"
	// ResendMismatch: a different request was sent with the same idempotency key.
	ResendMismatch Cause = "resendMismatch"
	// ResendUnderway: a request with the same idempotency key was sent before,
	// and its outcome is not known yet, or will never be known.
	ResendUnderway Cause = "resendUnderway"
	// ResendNotKept: a request with the same idempotency key has run, and its
	// response was not stored.
	ResendNotKept Cause = "resendNotKept"
	// PeerLost: the connection to the node beside the upstream was lost after
	// the whole request had been written to it.
	PeerLost Cause = "peerLost"
	// Stopped: the node that received the request stopped after it had sent the whole
	// request to another node, and before the response arrived.
	Stopped Cause = "stopped"
	// TimedOut: the deadline passed after the request had been sent on, and
	// there is no proof that it did not run.
	TimedOut Cause = "timedOut"
	// CallerGone: the caller left after the request had been sent on.
	CallerGone Cause = "callerGone"
	// BodyLost: the caller's body ended prematurely after part of it was sent on.
	BodyLost Cause = "bodyLost"
	// GateFailed: the node beside the upstream panicked while handling the request.
	GateFailed Cause = "gateFailed"
	// UpstreamLost: the upstream closed the connection or failed after at least one
	// byte had been sent to it, and before it responded.
	UpstreamLost Cause = "upstreamLost"
	// ResponseTruncated: the upstream's response ended before it was complete.
	ResponseTruncated Cause = "answerCut"
	// WrongUpstream: the address now belongs to another upstream, which reported
	// that it has not run the request.
	WrongUpstream Cause = "wrongUpstream"
	// ResponseMalformed: the upstream did not send a complete response to the request, and
	// no part of it has been forwarded.
	ResponseMalformed Cause = "answerSpoilt"
	// ResponseInvalid: the upstream's response can't be forwarded.
	ResponseInvalid Cause = "answerInvalid"
)

// CauseInfo holds the properties of a cause.
type CauseInfo struct {
	// Verdict is whether a request that failed for this cause may have run.
	Verdict Verdict
	// Status is the HTTP status that is sent to the caller.
	Status int
	// RetryElsewhere is whether sending the request to another upstream may succeed.
	RetryElsewhere bool
	// EndedBy is the party that ended the request.
	EndedBy Party
}

// Party is a party that can end a request without a response of an upstream.
type Party string

// The parties.
const (
	// ByCaller: the caller left, or sent a request that can't be forwarded.
	ByCaller Party = "caller"
	// ByEntry: the node that received the request ended it, or its deadline passed.
	ByEntry Party = "entry"
	// ByLink: the connection between two nodes was lost, or could not be opened.
	ByLink Party = "link"
	// ByGate: the node beside the upstream ended it.
	ByGate Party = "gate"
	// ByUpstream: the upstream failed, refused the request, or could not be reached.
	ByUpstream Party = "upstream"
	// ByStop: the node that received the request stopped.
	ByStop Party = "stop"
)

// table is the only place that defines the properties of the causes.
var table = map[Cause]CauseInfo{
	UnknownHost:        {Verdict: NotRun, Status: http.StatusNotFound, EndedBy: ByCaller},
	BadRequest:         {Verdict: NotRun, Status: http.StatusBadRequest, EndedBy: ByCaller},
	NotSupported:       {Verdict: NotRun, Status: http.StatusNotImplemented, EndedBy: ByCaller},
	TooLarge:           {Verdict: NotRun, Status: http.StatusRequestEntityTooLarge, EndedBy: ByCaller},
	HeaderTooLarge:     {Verdict: NotRun, Status: http.StatusRequestHeaderFieldsTooLarge, EndedBy: ByCaller},
	NotReady:           {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	Overloaded:         {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	Unauthorized:       {Verdict: NotRun, Status: http.StatusUnauthorized, EndedBy: ByCaller},
	KeysStale:          {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	RateLimited:        {Verdict: NotRun, Status: http.StatusTooManyRequests, EndedBy: ByCaller},
	LimitUnknown:       {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	NoUpstream:         {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	DeadlinePassed:     {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	DialFailed:         {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByLink},
	NotWritten:         {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByLink},
	Refused:            {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByGate},
	Slowed:             {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByGate},
	Draining:           {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByGate},
	Misrouted:          {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByGate},
	Quarantined:        {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	NotSent:            {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByStop},
	Revoked:            {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByGate},
	UpstreamDialFailed: {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByUpstream},
	UpstreamRefused:    {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByUpstream},
	ClaimFailed:        {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
	ResendMismatch:     {Verdict: NotRun, Status: http.StatusUnprocessableEntity, EndedBy: ByCaller},
	ResendUnderway:     {Verdict: MayHaveRun, Status: http.StatusBadGateway, EndedBy: ByEntry},
	ResendNotKept:      {Verdict: Ran, Status: http.StatusConflict, EndedBy: ByEntry},
	PeerLost:           {Verdict: MayHaveRun, Status: http.StatusBadGateway, RetryElsewhere: true, EndedBy: ByLink},
	Stopped:            {Verdict: MayHaveRun, Status: http.StatusBadGateway, EndedBy: ByStop},
	TimedOut:           {Verdict: MayHaveRun, Status: http.StatusGatewayTimeout, EndedBy: ByEntry},
	CallerGone:         {Verdict: MayHaveRun, Status: http.StatusBadGateway, EndedBy: ByCaller},
	BodyLost:           {Verdict: MayHaveRun, Status: http.StatusBadGateway, EndedBy: ByCaller},
	GateFailed:         {Verdict: MayHaveRun, Status: http.StatusBadGateway, EndedBy: ByGate},
	UpstreamLost:       {Verdict: MayHaveRun, Status: http.StatusBadGateway, RetryElsewhere: true, EndedBy: ByUpstream},
	WrongUpstream:      {Verdict: NotRun, Status: http.StatusServiceUnavailable, RetryElsewhere: true, EndedBy: ByUpstream},
	ResponseMalformed:  {Verdict: MayHaveRun, Status: http.StatusBadGateway, RetryElsewhere: true, EndedBy: ByUpstream},
	ResponseTruncated:  {Verdict: Ran, Status: http.StatusBadGateway, EndedBy: ByUpstream},
	ResponseInvalid:    {Verdict: Ran, Status: http.StatusBadGateway, EndedBy: ByUpstream},
}

// Lookup returns the properties of c. A cause that is not in the table may have
// run and has the status 502.
func Lookup(c Cause) CauseInfo {
	e, ok := table[c]
	if !ok {
		return CauseInfo{Verdict: MayHaveRun, Status: http.StatusBadGateway, EndedBy: ByEntry}
	}
	return e
}

// Causes calls yield with each cause and its properties, in no particular order,
// until yield returns false.
func Causes(yield func(Cause, CauseInfo) bool) {
	for c, e := range table {
		if !yield(c, e) {
			return
		}
	}
}
