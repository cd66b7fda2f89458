// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import "time"

// Progress is the message in which nodes tell each other that a read of the platform makes progress. A response with
// a large table takes long on a slow link, and if all nodes read it by themselves meanwhile, it takes longer.
type Progress struct {
	// Number numbers the reports: a node that reports uses the number after the highest that it knows.
	Number uint64 `msgpack:"number"`
	// Age is the time since the read began to receive its response.
	Age time.Duration `msgpack:"age"`
}

// The waits for reads and fetches in progress, as fractions of the time within which a change has to be active.
const (
	// progressFraction is how long a report of progress postpones a node's own read.
	progressFraction = 0.3
	// reportFraction is the time between two reports of the same read.
	reportFraction = 0.08
	// maxReadingFraction is how long one read may postpone those of other nodes: it may be the only one that is
	// slow.
	maxReadingFraction = 0.5
	// minWindowFraction is the least time in which the nodes read by themselves, one after the other.
	minWindowFraction = 0.05
	// maxFetchFraction is how long a fetch from other nodes that makes progress may postpone a node's own read, which moves ten
	// times as many bytes over the same link.
	maxFetchFraction = 8.0
)

// ReportInterval returns the time between two reports of the same read.
func (s *State) ReportInterval() time.Duration { return s.fraction(reportFraction) }

// ReadProgress returns the report to send to other nodes when the node's own read, which has received a part of its
// response since the given time, makes progress. The second result is false if it has taken too long to be waited for.
func (s *State) ReadProgress(began, now time.Time) (Progress, bool) {
	age := now.Sub(began)
	if age >= s.fraction(maxReadingFraction) {
		return Progress{}, false
	}
	s.reading++
	return Progress{
		Number: s.reading,
		Age:    age,
	}, true
}

// ReceiveProgress merges a report of another node, and returns whether it is new and has to be forwarded.
func (s *State) ReceiveProgress(p Progress, now time.Time) bool {
	if p.Number <= s.reading {
		return false
	}
	s.reading = p.Number
	end := now.Add(s.fraction(maxReadingFraction) - max(0, p.Age))
	s.readingHold = later(s.readingHold, earlier(end, now.Add(s.fraction(progressFraction))))
	return true
}

// TransferProgress records that a fetch of the table from other nodes, which began at the given time, has made
// progress.
func (s *State) TransferProgress(began, at time.Time) {
	end := began.Add(s.fraction(maxFetchFraction))
	s.fetchHold = later(s.fetchHold, earlier(end, at.Add(s.fraction(progressFraction))))
}

// FetchInProgress returns whether a fetch from other nodes has made progress lately.
func (s *State) FetchInProgress(now time.Time) bool { return now.Before(s.fetchHold) }

// afterHolds returns the time of the node's own read, which is after the given fraction of the window from least to most. What
// postpones it shortens the window, and moves its end if need be: nodes that are postponed until the same time read one
// after the other from then on.
func (s *State) afterHolds(least, most time.Time, fraction float64) time.Time {
	least = later(least, later(s.readingHold, s.fetchHold))
	most = later(most, least.Add(s.fraction(minWindowFraction)))
	return least.Add(time.Duration(fraction * float64(most.Sub(least))))
}

// later returns the later time.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier time.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
