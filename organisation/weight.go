// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package organisation

// Weight returns the weight of an organisation in the division of scarce capacity: its rate limit, as operators
// set the limits according to the usual demand. An organisation without a limit, or an unknown one, has the mean
// weight of those with a limit.
func (s *Set) Weight(name string) float64 {
	if o := s.ByName(name); o != nil && o.Rate > 0 {
		return o.Rate
	}
	return s.meanRate
}

// meanRate returns the mean of the rate limits of those that have one, or 1 if none has.
func meanRate(list []Organisation) float64 {
	var sum float64
	var n int
	for i := range list {
		if list[i].Rate > 0 {
			sum += list[i].Rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
