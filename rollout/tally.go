// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"math"
	"time"
)

const (
	// buckets is the number of ranges of run times that are told apart, each bucketRatio
	// times as long as the one before, from leastBucket on.
	bucketCount    = 24
	bucketRatio    = 1.5
	firstBucketEnd = time.Millisecond
)

// Tally counts requests that an upstream has run. It is an immutable value; the zero value
// counts none.
type Tally struct {
	// Requests is the number of requests, and Failed of those that the upstream failed.
	Requests uint64 `msgpack:"requests"`
	Failed   uint64 `msgpack:"failed,omitempty"`
	// Took are the numbers of requests by run time, up to the last that is not 0.
	DurationCounts []uint64 `msgpack:"took,omitempty"`
}

// bucketOf returns the range that a run time is in.
func bucketOf(took time.Duration) int {
	if took <= firstBucketEnd {
		return 0
	}
	i := int(math.Log(float64(took)/float64(firstBucketEnd)) / math.Log(bucketRatio))
	return min(i, bucketCount-1)
}

// With returns t with one more request.
func (t Tally) WithRequest(failed bool, took time.Duration) Tally {
	t.Requests++
	if failed {
		t.Failed++
	}
	b := bucketOf(took)
	t.DurationCounts = append(make([]uint64, 0, max(len(t.DurationCounts), b+1)), t.DurationCounts...)
	for len(t.DurationCounts) <= b {
		t.DurationCounts = append(t.DurationCounts, 0)
	}
	t.DurationCounts[b]++
	return t
}

// since returns what t counts beyond an earlier tally of the same requests.
func (t Tally) since(before Tally) Tally {
	if t.Requests < before.Requests || t.Failed < before.Failed || len(t.DurationCounts) < len(before.DurationCounts) {
		return t // the counts began anew
	}
	d := Tally{
		Requests:       t.Requests - before.Requests,
		Failed:         t.Failed - before.Failed,
		DurationCounts: make([]uint64, len(t.DurationCounts)),
	}
	for i, n := range t.DurationCounts {
		if i < len(before.DurationCounts) {
			n -= min(n, before.DurationCounts[i])
		}
		d.DurationCounts[i] = n
	}
	return d
}

// Report is what the node beside an upstream tells a judge.
type Report struct {
	// Service and Version are the upstream's.
	Service string `msgpack:"service"`
	Version string `msgpack:"version"`
	// Start tells the counts of one start of the upstream or the node from another's.
	StartID uint64 `msgpack:"start"`
	// Running is the number of requests at the upstream now.
	Running int `msgpack:"running"`
	// Classes are the counts since Start, by class of request.
	Classes map[string]Tally `msgpack:"classes"`
}
