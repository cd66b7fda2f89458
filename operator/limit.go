// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// The sources from which a node has an upstream's advertised limit or leaving notice.
const (
	// SourceUpstream means the upstream beside the node.
	SourceUpstream = "upstream"
	// SourceCalls means the calls of other nodes, which had received it from the node's previous
	// process.
	SourceCalls = "calls"
	// SourceResponses means the responses of the node beside the upstream.
	SourceResponses = "answers"
)

// UpstreamLimit is a node's report on an upstream that advertises a limit or is leaving.
type UpstreamLimit struct {
	// Node is the node beside the upstream. StartID identifies the upstream's start.
	Node    string `json:"node"`
	StartID string `json:"start"`
	// Source is where the reporting node has this from.
	Source string `json:"source"`
	// Limited is whether the upstream advertises a limit. Limit is in requests per second.
	Limited bool    `json:"limited"`
	Limit   float64 `json:"limit"`
	// Leaving is whether the upstream's responses say that it is leaving.
	Leaving bool `json:"leaving"`
	// Since is when the later of limit and leaving notice was first received. For SourceResponses it
	// is when they were last received.
	Since time.Time `json:"since"`
	// UsedFraction is the fraction of the limit used in the last seconds. Refused is the number of
	// requests refused because of it since the node's start. Only the node beside the upstream sets them.
	UsedFraction float64 `json:"used"`
	Refused      uint64  `json:"refused"`
}
