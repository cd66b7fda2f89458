// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry

// commonPart is the part of a budget that an organisation may spend beyond what its own
// requests have earned. The rest is left to those that have something of their own.
const sharedFraction = 0.5

// account is what the requests of one organisation have earned and spent in the window.
type account struct {
	buckets [windowBuckets]bucket
}

// overdrawn returns whether the organisation has spent what its requests have earned at
// the given share. One extra request is always its own.
func (a *account) overdrawn(share float64) bool {
	sum := sumOf(&a.buckets)
	return float64(sum.extra) >= 1+share*float64(sum.ordinary)
}

// sumOf returns the sum of the parts of a window.
func sumOf(buckets *[windowBuckets]bucket) (sum bucket) {
	for _, p := range buckets {
		sum.ordinary += p.ordinary
		sum.extra += p.extra
	}
	return sum
}

// accounts are those of all organisations with requests in the window.
type accounts map[string]*account

// of returns the account of an organisation.
func (a *accounts) get(organisation string) *account {
	if *a == nil {
		*a = make(accounts)
	}
	found := (*a)[organisation]
	if found == nil {
		found = new(account)
		(*a)[organisation] = found
	}
	return found
}

// forget clears the given part of all accounts, and drops those that are empty then.
func (a accounts) clearBucket(current int) {
	for name, entry := range a {
		entry.buckets[current] = bucket{}
		if entry.buckets == ([windowBuckets]bucket{}) {
			delete(a, name)
		}
	}
}
