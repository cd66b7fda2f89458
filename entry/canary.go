// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import "math/rand/v2"

// splitCanaries splits the members of a service into ordinary ones and canaries.
func splitCanaries(members []Member) (ordinary, canaries []Member) {
	for _, m := range members {
		if m.Canary {
			canaries = append(canaries, m)
		} else {
			ordinary = append(ordinary, m)
		}
	}
	return ordinary, canaries
}

// excludeNone excludes no member.
var excludeNone = []func(id string) bool{func(string) bool { return false }}

// trustedCanaryShare is the canary share from which the canaries are trusted: they then also serve
// requests that the other members could not serve.
const trustedCanaryShare = 0.5

// exclusions returns the groups of members to which a request may be sent, in the order of
// preference, each as a function that reports the members outside of the group. The canaries
// receive their share of the first attempts. A request that a canary did not serve is sent to
// ordinary members, unless most requests go to canaries.
func (s *service) exclusions(retrying bool) []func(id string) bool {
	if len(s.canaries) == 0 {
		return excludeNone
	}
	ordinary := func(id string) bool { return s.canaries[id] }
	canaries := func(id string) bool { return !s.canaries[id] }
	trusted := s.CanaryShare >= trustedCanaryShare
	switch {
	case (!retrying || trusted) && rand.Float64() < s.CanaryShare:
		return []func(id string) bool{canaries, ordinary}
	case trusted:
		return []func(id string) bool{ordinary, canaries}
	}
	return []func(id string) bool{ordinary}
}
