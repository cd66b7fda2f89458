// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// Count is a number of tokens of an organisation.
type TokenCount struct {
	Organisation string `msgpack:"o"`
	Tokens       int    `msgpack:"n"`
	// Late is how many of the tokens are for late requests: they get what others leave.
	Late int `msgpack:"l,omitempty"`
}

// Ask is what a node sends to a home.
type Request struct {
	// Start tells the starts of the node's process apart, and grows; Number grows with
	// each Ask of a start.
	Incarnation uint64 `msgpack:"s"`
	Sequence    uint64 `msgpack:"q"`
	// Home and Clock are those of the home's last Answer, and Since is the time from its
	// arrival to the sending of this Ask, by the node's clock. Home is 0 if there was none.
	Coordinator uint32        `msgpack:"h,omitempty"`
	Clock       time.Duration `msgpack:"c,omitempty"`
	Elapsed     time.Duration `msgpack:"e,omitempty"`
	// Nodes, if above 0, deposits the node's right, which is this part of all. If it is 0,
	// a right that the home holds of the node is withdrawn, and if it is Unchanged, nothing
	// is changed.
	Nodes int `msgpack:"p,omitempty"`
	// Wants are the tokens asked for.
	Wanted []TokenCount `msgpack:"w,omitempty"`
	// Returns are tokens of the home's last Answers that are not used, granted less than
	// half of Life before.
	Returned []TokenCount `msgpack:"r,omitempty"`
}

// Unchanged stands for Nodes in an Ask that leaves the node's right as it is.
const Unchanged = -1

// Grant is what a home says to a Count that was asked for.
type Grant struct {
	Organisation string `msgpack:"o"`
	Tokens       int    `msgpack:"n,omitempty"`
	// Wait, if some are missing, is the time after which the first of them is likely to be
	// granted, and Step that from each to the next.
	RetryAfter time.Duration `msgpack:"w,omitempty"`
	RetryStep  time.Duration `msgpack:"i,omitempty"`
	// Unknown is whether the home can't say if the limit is reached. Without a Wait it knows
	// no limit of the organisation, or holds no rights.
	Unknown bool `msgpack:"u,omitempty"`
}

// Answer is what a home sends back.
type Response struct {
	// Home tells the starts of the home's process apart.
	Coordinator uint32 `msgpack:"h"`
	// Clock is a reading of the home's clock.
	Clock time.Duration `msgpack:"c"`
	// Nodes is the largest number of nodes that the home has heard of.
	Nodes  int     `msgpack:"p,omitempty"`
	Grants []Grant `msgpack:"g,omitempty"`
}
