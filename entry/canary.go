// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import "math/rand/v2"

// byTrial returns the members of a service by whether they are on trial.
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

// anyMember passes over none.
var excludeNone = []func(id string) bool{func(string) bool { return false }}

// trustedShare is the share from which members on trial take what the others can't.
const trustedCanaryShare = 0.5

// kinds returns which members a request may be sent to, in the order of preference, each as a
// function that tells those to pass over. The members on trial get their share of the first
// sendings. A request that one of them did not serve goes to the others, unless most requests
// go to those on trial.
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
