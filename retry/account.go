// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry

// sharedFraction is the fraction of a budget that is open to an organisation which has used
// up what its own requests added. The rest is kept for organisations that have not.
const sharedFraction = 0.5

// account counts the requests of one organisation in the window.
type account struct {
	buckets [windowBuckets]bucket
}

// overdrawn returns whether the organisation has used up what its requests added to the
// budget at the given share. It may always use one extra request.
func (a *account) overdrawn(share float64) bool {
	sum := sumOf(&a.buckets)
	return float64(sum.extra) >= 1+share*float64(sum.ordinary)
}

// sumOf returns the sum of the buckets of a window.
func sumOf(buckets *[windowBuckets]bucket) (sum bucket) {
	for _, b := range buckets {
		sum.ordinary += b.ordinary
		sum.extra += b.extra
	}
	return sum
}

// accounts holds the accounts of all organisations with requests in the window.
type accounts map[string]*account

// get returns the account of an organisation, which it creates if there is none.
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

// clearBucket clears the given bucket of all accounts, and removes accounts that are empty
// then.
func (a accounts) clearBucket(current int) {
	for name, entry := range a {
		entry.buckets[current] = bucket{}
		if entry.buckets == ([windowBuckets]bucket{}) {
			delete(a, name)
		}
	}
}
