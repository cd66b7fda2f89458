// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// The sources from which a node knows what an upstream has said.
const (
	// SourceUpstream is the upstream beside the node.
	SourceUpstream = "upstream"
	// SourceCalls are the calls of nodes that have been told by the process before this one.
	SourceCalls = "calls"
	// SourceAnswers are the answers of the node beside the upstream.
	SourceResponses = "answers"
)

// UpstreamLimit is what a node tells an operator of an upstream that names a limit or leaves.
type UpstreamLimit struct {
	// Node is the one beside the upstream, and Start the upstream's start.
	Node    string `json:"node"`
	StartID string `json:"start"`
	// Source says from where the node that answers knows it.
	Source string `json:"source"`
	// Limited is whether it names a limit, and Limit its requests a second.
	Limited bool    `json:"limited"`
	Limit   float64 `json:"limit"`
	// Leaving is whether it has said in its answers that it leaves.
	Leaving bool `json:"leaving"`
	// Since is when the last of these was heard first, or told last for SourceAnswers.
	Since time.Time `json:"since"`
	// Used is the part of the limit that was used in the last seconds, and Refused counts the
	// requests refused for it since the node's start. Only the node beside the upstream knows.
	UsedFraction float64 `json:"used"`
	Refused      uint64  `json:"refused"`
}
