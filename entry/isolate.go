// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"sassafrasfront.example/member"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/route"
	"sassafrasfront.example/verdict"
)

// pickIsolated picks the upstream for an isolated request. All nodes try the members in the same
// order, so that all copies of the request arrive at one gate, which runs one of them at a time.
// Three simultaneous copies thus crash one upstream instead of three, without any coordination
// between nodes.
func (s *service) pickIsolated(p quarantine.Fingerprint, unavailable func(id string) bool) (*route.Assignment[string], bool) {
	ids := make([]string, len(s.Members))
	for i, m := range s.Members {
		ids[i] = m.ID
	}
	for _, picked := range member.RendezvousOrder(p.String(), ids) {
		if unavailable(picked) {
			continue
		}
		if assignment, ok := s.pool.Pick(func(id string) bool { return id != picked }); ok {
			return assignment, true
		}
	}
	return nil, false
}

// mayRetry returns whether the quarantine allows a request to be sent again after a failure. An
// isolated request is bound to one upstream, and is sent to the next only if that one can't be
// reached or no longer accepts requests.
func (o *operation) mayRetry(failure *verdict.Error) bool {
	switch o.dispatcher.Quarantine.Assess(o.request.Fingerprint).State {
	case quarantine.Blocked:
		return false
	case quarantine.Isolated:
		switch failure.Cause {
		case verdict.DialFailed, verdict.NotWritten, verdict.Misrouted, verdict.Draining, verdict.UpstreamDialFailed, verdict.WrongUpstream:
			return true
		}
		return false
	}
	return true
}
