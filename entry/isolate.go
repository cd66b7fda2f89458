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

// pickIsolated picks the upstream for an isolated request: the first one of an order that
// is the same at all nodes, so that all copies of the request meet at one gate, which
// runs one of them. Three copies that come at once end one upstream in place of three
// then, and no node has to agree with another.
func (s *service) pickIsolated(p quarantine.Fingerprint, unavailable func(id string) bool) (*route.Assignment[string], bool) {
	ids := make([]string, len(s.Members))
	for i, m := range s.Members {
		ids[i] = m.ID
	}
	for _, picked := range member.RendezvousOrder(p.String(), ids) {
		if unavailable(picked) {
			continue
		}
		if use, ok := s.pool.Pick(func(id string) bool { return id != picked }); ok {
			return use, true
		}
	}
	return nil, false
}

// mayGoOn returns whether a request may be sent again after a failure, by what is thought
// of it. An isolated one has its place at one upstream, and goes to the next only if that
// one is not there.
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
