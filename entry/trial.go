// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import "math/rand/v2"

// byTrial returns the members of a service by whether they are on trial.
func byTrial(members []Member) (ordinary, onTrial []Member) {
	for _, m := range members {
		if m.Canary {
			onTrial = append(onTrial, m)
		} else {
			ordinary = append(ordinary, m)
		}
	}
	return ordinary, onTrial
}

// anyMember passes over none.
var anyMember = []func(id string) bool{func(string) bool { return false }}

// trustedShare is the share from which members on trial take what the others can't.
const trustedShare = 0.5

// kinds returns which members a request may be sent to, in the order of preference, each as a
// function that tells those to pass over. The members on trial get their share of the first
// sendings. A request that one of them did not serve goes to the others, unless most requests
// go to those on trial.
func (s *service) kinds(again bool) []func(id string) bool {
	if len(s.trial) == 0 {
		return anyMember
	}
	ordinary := func(id string) bool { return s.trial[id] }
	onTrial := func(id string) bool { return !s.trial[id] }
	trusted := s.CanaryShare >= trustedShare
	switch {
	case (!again || trusted) && rand.Float64() < s.CanaryShare:
		return []func(id string) bool{onTrial, ordinary}
	case trusted:
		return []func(id string) bool{ordinary, onTrial}
	}
	return []func(id string) bool{ordinary}
}
