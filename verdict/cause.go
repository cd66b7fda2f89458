// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package verdict

import "net/http"

// Cause names what went wrong with a request.
type Cause string

// The causes of failure, in the order in which a request can meet them.
const (
	// UnknownHost: no service in force has the host of the request.
	UnknownHost Cause = "unknownHost"
	// BadRequest: the request can't be carried, such as an Upgrade.
	BadRequest Cause = "badRequest"
	// NotSupported: the request asks for what the system refuses on purpose.
	NotSupported Cause = "notSupported"
	// TooLarge: a header or body is over its limit, found before any upstream
	// was contacted.
	TooLarge Cause = "tooLarge"
	// HeadTooLarge: the head of the request is over its limit.
	HeadTooLarge Cause = "headTooLarge"
	// NotReady: the node holds no accepted configuration yet.
	NotReady Cause = "notReady"
	// Unauthorized: the request shows no key of an organisation where one is needed.
	Unauthorized Cause = "unauthorized"
	// NotFresh: the node has not heard for too long which keys are valid.
	KeysStale Cause = "notFresh"
	// RateLimited: the organisation is beyond its rate limit.
	RateLimited Cause = "rateLimited"
	// LimitUnknown: no node has said in time whether the organisation is beyond its rate
	// limit.
	LimitUnknown Cause = "limitUnknown"
	// NoUpstream: the service has no upstream that takes requests.
	NoUpstream Cause = "noUpstream"
	// DeadlinePassed: the deadline passed before the request was sent on.
	DeadlinePassed Cause = "deadlinePassed"
	// DialFailed: no connection to the node beside the upstream.
	DialFailed Cause = "dialFailed"
	// NotWritten: the request was not wholly handed to the connection.
	NotWritten Cause = "notWritten"
	// Refused: the node beside the upstream refused, being full.
	Refused Cause = "refused"
	// Slowed: the upstream has just slowed down, which the sender could not know.
	Slowed Cause = "slowed"
	// Draining: the upstream or the node beside it is leaving.
	Draining Cause = "draining"
	// Misrouted: the node is not, or no longer, beside an upstream of the
	// service.
	Misrouted Cause = "misrouted"
	// Quarantined: upstreams have ended under requests like this one.
	Quarantined Cause = "quarantined"
	// NotSent: the node that had taken the request stopped before the request was sent on.
	NotSent Cause = "notSent"
	// Revoked: the request was taken back while it waited in a queue.
	Revoked Cause = "revoked"
	// UpstreamDialFailed: the node could not connect to its upstream, or
	// wrote no byte of the request to it.
	UpstreamDialFailed Cause = "upstreamDialFailed"
	// UpstreamRefused: the upstream answered that it has not run the request.
	UpstreamRefused Cause = "upstreamRefused"
	// ClaimFailed: the record that keeps a resent request from running twice
	// could not be made.
	ClaimFailed Cause = "claimFailed"
	// ResendMismatch: another request was sent under the same idempotency key.
	ResendMismatch Cause = "resendMismatch"
	// ResendUnderway: a request with the same idempotency key was sent before,
	// and its outcome is not known yet, or will never be.
	ResendUnderway Cause = "resendUnderway"
	// ResendNotKept: a request with the same idempotency key has run, and its
	// answer has not been kept.
	ResendNotKept Cause = "resendNotKept"
	// PeerLost: the connection to the node beside the upstream was lost after
	// the whole request had been handed to it.
	PeerLost Cause = "peerLost"
	// Stopped: the node that had taken the request stopped after the whole request had
	// been handed to another, and before it was answered.
	Stopped Cause = "stopped"
	// TimedOut: the deadline passed after the request had been sent on, and
	// there is no proof that it did not run.
	TimedOut Cause = "timedOut"
	// CallerGone: the caller went away after the request had been sent on.
	CallerGone Cause = "callerGone"
	// BodyLost: the caller's body ended early after part of it was sent on.
	BodyLost Cause = "bodyLost"
	// GateFailed: the node beside the upstream panicked over the request.
	GateFailed Cause = "gateFailed"
	// UpstreamLost: the upstream closed or failed after it had been sent at
	// least one byte, and before it answered.
	UpstreamLost Cause = "upstreamLost"
	// AnswerCut: the upstream's answer ended before it was whole.
	AnswerTruncated Cause = "answerCut"
	// WrongUpstream: another upstream has taken the address; it said that it has
	// not run the request.
	WrongUpstream Cause = "wrongUpstream"
	// AnswerSpoilt: the upstream sent what is no whole answer to the request, and
	// nothing of it has been passed on.
	AnswerMalformed Cause = "answerSpoilt"
	// AnswerInvalid: the upstream's answer can't be passed on.
	AnswerInvalid Cause = "answerInvalid"
)

// Entry is what the table says of a cause.
type CauseInfo struct {
	// Verdict is whether a request that failed so may have run.
	Verdict Verdict
	// Status is the HTTP status told to the caller.
	Status int
	// Elsewhere is whether another upstream may do better.
	RetryElsewhere bool
	// By is who ended the request.
	EndedBy Party
}

// Party is who ends a request without an answer of an upstream.
type Party string

// The parties.
const (
	// ByCaller: the caller left, or sent what can't be carried.
	ByCaller Party = "caller"
	// ByEntry: the node that took the request decided so, or its time was over.
	ByEntry Party = "entry"
	// ByLink: the connection between two nodes ended, or could not be opened.
	ByLink Party = "link"
	// ByGate: the node beside the upstream decided so.
	ByGate Party = "gate"
	// ByUpstream: the upstream broke off, refused, or could not be reached.
	ByUpstream Party = "upstream"
	// ByStop: the node that took the request had to stop.
	ByStop Party = "stop"
)

// table is the one place that says what each cause means.
var table = map[Cause]CauseInfo{
	UnknownHost:        {Verdict: NotRun, Status: http.StatusNotFound, EndedBy: ByCaller},
	BadRequest:         {Verdict: NotRun, Status: http.StatusBadRequest, EndedBy: ByCaller},
	NotSupported:       {Verdict: NotRun, Status: http.StatusNotImplemented, EndedBy: ByCaller},
	TooLarge:           {Verdict: NotRun, Status: http.StatusRequestEntityTooLarge, EndedBy: ByCaller},
	HeadTooLarge:       {Verdict: NotRun, Status: http.StatusRequestHeaderFieldsTooLarge, EndedBy: ByCaller},
	NotReady:           {Verdict: NotRun, Status: http.StatusServiceUnavailable, EndedBy: ByEntry},
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
	AnswerMalformed:    {Verdict: MayHaveRun, Status: http.StatusBadGateway, RetryElsewhere: true, EndedBy: ByUpstream},
	AnswerTruncated:    {Verdict: Ran, Status: http.StatusBadGateway, EndedBy: ByUpstream},
	AnswerInvalid:      {Verdict: Ran, Status: http.StatusBadGateway, EndedBy: ByUpstream},
}

// Lookup returns what the table says of c. A cause that is not in the table
// may have run and is told to the caller as 502.
func Lookup(c Cause) CauseInfo {
	e, ok := table[c]
	if !ok {
		return CauseInfo{Verdict: MayHaveRun, Status: http.StatusBadGateway, EndedBy: ByEntry}
	}
	return e
}

// Causes calls yield with each cause of the table and its entry, in no
// particular order, until yield returns false.
func Causes(yield func(Cause, CauseInfo) bool) {
	for c, e := range table {
		if !yield(c, e) {
			return
		}
	}
}
