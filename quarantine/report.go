// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/gossip"
)

// Report is what a node says of some requests: that upstreams have ended under them, or
// that a suspected one has run to its end. It is an immutable value.
type Report struct {
	// Name tells reports apart.
	Name string `msgpack:"n"`
	// At is when it was written, in milliseconds since 1970. Clocks of nodes may differ
	// by seconds, against the minutes that count here; the calendar clock goes on while an
	// instance is suspended, and the steady one does not.
	At int64 `msgpack:"at"`
	// Upstreams are the starts of upstreams that have ended. None means that the
	// requests have run to their end.
	Upstreams []string `msgpack:"u,omitempty"`
	// Prints are the requests.
	Fingerprints []Fingerprint `msgpack:"p"`
	// Alone is the one of them that was isolated, or zero if there was none.
	Isolated Fingerprint `msgpack:"a"`
}

const (
	// Keep is how long a report counts. Blocks that have grown twice, to 40 minutes, end
	// within it.
	ReportLifetime = 2 * time.Hour
	// MaxReports bounds the reports that are kept, the newest ones: 850 upstreams of a
	// zone that end at once have 18 requests each at hand, few of which come again. With
	// MaxSuspects requests each they take 0.7 MB.
	MaxReports = 512
	// MaxUpstreams and maxName bound what one report may name. Blocks reach Keep, and
	// grow no more, after five.
	MaxUpstreams = 16
	maxNameBytes = 300
	// ahead is how far the clock of another node may be ahead.
	maxClockSkew = time.Minute
)

// Ended returns the report that an upstream has ended with some requests at hand, of
// which one, or none, was isolated. Start tells its start from all others.
func NewCrashReport(startID string, fingerprints []Fingerprint, isolated Fingerprint) Report {
	now := time.Now()
	return Report{
		Name:         "end/" + startID + "/" + now.UTC().Format(time.RFC3339Nano),
		At:           now.UnixMilli(),
		Upstreams:    []string{startID},
		Fingerprints: fingerprints,
		Isolated:     isolated,
	}
}

// Ran returns the report that a request has run to its end.
func NewCompletionReport(p Fingerprint) Report {
	return Report{
		Name:         "ran/" + p.String(),
		At:           time.Now().UnixMilli(),
		Fingerprints: []Fingerprint{p},
	}
}

// Key implements gossip.Record.
func (r Report) Key() string { return r.Name }

// Rank implements gossip.Record.
func (r Report) GossipVersion() gossip.Version {
	return gossip.Version{
		Major: uint64(max(0, r.At)),
	}
}

// Expired returns whether the report counts no more.
func (r Report) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.At)) > ReportLifetime
}

// Check returns why a report of another node can't be used, or nil.
func (r Report) Check(now time.Time) error {
	switch {
	case r.Name == "" || len(r.Name) > maxNameBytes:
		return eris.Errorf("a name of %d bytes", len(r.Name))
	case time.UnixMilli(r.At).Sub(now) > maxClockSkew:
		return eris.Errorf("written %v ahead of this node's clock", time.UnixMilli(r.At).Sub(now))
	case len(r.Fingerprints) == 0 || len(r.Fingerprints) > MaxSuspects:
		return eris.Errorf("%d requests are not within 1 and %d", len(r.Fingerprints), MaxSuspects)
	case len(r.Upstreams) > MaxUpstreams:
		return eris.Errorf("%d upstreams are over %d", len(r.Upstreams), MaxUpstreams)
	case slices.ContainsFunc(r.Upstreams, func(s string) bool { return s == "" || len(s) > maxNameBytes }):
		return eris.New("an upstream without a name, or with too long a one")
	case slices.ContainsFunc(r.Fingerprints, func(p Fingerprint) bool { return !p.Complete() }):
		return eris.New("a request that is not known whole")
	case r.Isolated != Fingerprint{} && (len(r.Upstreams) == 0 || !slices.Contains(r.Fingerprints, r.Isolated)):
		return eris.New("an isolated request that was not at hand")
	}
	return nil
}

// older returns whether r comes before o in the order in which reports are dropped.
func (r Report) olderThan(o Report) bool {
	return r.At < o.At || r.At == o.At && r.Name < o.Name
}
