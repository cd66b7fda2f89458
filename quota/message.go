// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// TokenCount is a number of tokens of an organisation.
type TokenCount struct {
	Organisation string `msgpack:"o"`
	Tokens       int    `msgpack:"n"`
	// Late is how many of the tokens are for late requests, which get what others leave.
	Late int `msgpack:"l,omitempty"`
}

// Request is what a node sends to a coordinator.
type Request struct {
	// Incarnation identifies the start of the node's process and grows with each start.
	// Sequence grows with each Request of an incarnation.
	Incarnation uint64 `msgpack:"s"`
	Sequence    uint64 `msgpack:"q"`
	// Coordinator and Clock are those of the coordinator's last Response, and Elapsed is the
	// time from its arrival to the sending of this Request, by the node's clock. Coordinator
	// is 0 if there was no Response.
	Coordinator uint32        `msgpack:"h,omitempty"`
	Clock       time.Duration `msgpack:"c,omitempty"`
	Elapsed     time.Duration `msgpack:"e,omitempty"`
	// Nodes, if positive, delegates the node's share, 1/Nodes of every rate limit. If it is 0,
	// the node's share is withdrawn if the coordinator holds it. If it is Unchanged, nothing
	// changes.
	Nodes int `msgpack:"p,omitempty"`
	// Wanted are the tokens that are requested.
	Wanted []TokenCount `msgpack:"w,omitempty"`
	// Returned are unused tokens of the coordinator's last Responses, granted less than half
	// a TokenLifetime before.
	Returned []TokenCount `msgpack:"r,omitempty"`
}

// Unchanged is the value of Nodes in a Request that leaves the node's share unchanged.
const Unchanged = -1

// Grant is a coordinator's response to a TokenCount that was requested.
type Grant struct {
	Organisation string `msgpack:"o"`
	Tokens       int    `msgpack:"n,omitempty"`
	// RetryAfter, if tokens are missing, is the time after which the first of them is likely
	// to be granted, and RetryStep the time from each to the next.
	RetryAfter time.Duration `msgpack:"w,omitempty"`
	RetryStep  time.Duration `msgpack:"i,omitempty"`
	// Unknown is whether the coordinator doesn't know if the limit is reached. If RetryAfter is
	// 0, it knows no limit of the organisation, or holds no shares.
	Unknown bool `msgpack:"u,omitempty"`
}

// Response is what a coordinator sends back.
type Response struct {
	// Coordinator identifies the start of the coordinator's process.
	Coordinator uint32 `msgpack:"h"`
	// Clock is a reading of the coordinator's clock.
	Clock time.Duration `msgpack:"c"`
	// Nodes is the largest number of nodes that was reported to the coordinator.
	Nodes  int     `msgpack:"p,omitempty"`
	Grants []Grant `msgpack:"g,omitempty"`
}
