// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of histogram buckets for run times. Each covers a range bucketRatio times
	// as long as the one before; the first ends at firstBucketEnd.
	bucketCount    = 24
	bucketRatio    = 1.5
	firstBucketEnd = time.Millisecond
)

// Tally counts the requests that an upstream has run. It is an immutable value; the zero value counts
// none.
type Tally struct {
	// Requests is the number of requests, and Failed the number of those that failed.
	Requests uint64 `msgpack:"requests"`
	Failed   uint64 `msgpack:"failed,omitempty"`
	// DurationCounts is a histogram of the run times, without the empty buckets at its end.
	DurationCounts []uint64 `msgpack:"took,omitempty"`
}

// bucketOf returns the histogram bucket of a run time.
func bucketOf(took time.Duration) int {
	if took <= firstBucketEnd {
		return 0
	}
	i := int(math.Log(float64(took)/float64(firstBucketEnd)) / math.Log(bucketRatio))
	return min(i, bucketCount-1)
}

// WithRequest returns t with one more request.
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

// since returns the difference between t and an earlier tally of the same requests.
func (t Tally) since(before Tally) Tally {
	if t.Requests < before.Requests || t.Failed < before.Failed || len(t.DurationCounts) < len(before.DurationCounts) {
		return t // the counts were reset
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

// Report is sent to a judge by the node beside an upstream.
type Report struct {
	// Service and Version are those of the upstream.
	Service string `msgpack:"service"`
	Version string `msgpack:"version"`
	// StartID identifies a period of counting. It changes when the upstream or the node restarts.
	StartID uint64 `msgpack:"start"`
	// Running is the number of requests in flight at the upstream.
	Running int `msgpack:"running"`
	// Classes are the counts since the start of the period, by class of request.
	Classes map[string]Tally `msgpack:"classes"`
}
