// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import "math/rand/v2"

// byTrial returns the members of a service by whether they are on trial.
func byTrial(members []Member) (ordinary, onTrial []Member) {
	for _, m := range members {
		if m.Trial {
			onTrial = append(onTrial, m)
		} else {
			ordinary = append(ordinary, m)
		}
	}
	return ordinary, onTrial
}

// anyMember passes over none.
var anyMember = []func(id string) bool{func(string) bool { return false }}

// kinds returns which members a request may be sent to, in the order of preference, each as a
// function that tells those to pass over. The members on trial get their share of the first
// sendings. A request that one of them did not serve goes to the others, unless all requests
// go to those on trial first; it then counts as one of their share no more.
func (s *service) kinds(again bool) []func(id string) bool {
	if len(s.trial) == 0 {
		return anyMember
	}
	ordinary := func(id string) bool { return s.trial[id] }
	onTrial := func(id string) bool { return !s.trial[id] }
	if s.TrialShare >= 1 || !again && rand.Float64() < s.TrialShare {
		return []func(id string) bool{onTrial, ordinary}
	}
	return []func(id string) bool{ordinary}
}
