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

// Report is a node's message about some requests: either upstreams have crashed with them in
// flight, or a suspected request has completed. It is an immutable value.
type Report struct {
	// Name identifies the report.
	Name string `msgpack:"n"`
	// At is the time at which it was written, in milliseconds since 1970. Clocks of nodes may
	// differ by seconds, but the durations here are minutes. The wall clock is used because
	// it continues while an instance is suspended, and the monotonic clock does not.
	At int64 `msgpack:"at"`
	// Upstreams are the start IDs of upstreams that have crashed. None means that the
	// requests have completed.
	Upstreams []string `msgpack:"u,omitempty"`
	// Fingerprints identify the requests.
	Fingerprints []Fingerprint `msgpack:"p"`
	// Isolated is the one of them that was isolated, or zero if there was none.
	Isolated Fingerprint `msgpack:"a"`
}

const (
	// ReportLifetime is how long a report counts. Blocks that have been doubled twice, to 40
	// minutes, end within it.
	ReportLifetime = 2 * time.Hour
	// MaxReports bounds the number of reports that are kept, the newest ones. If the 850 upstreams
	// of a zone crash at once, each has 18 requests in flight, few of which arrive again. With
	// MaxSuspects requests each, the reports take 0.7 MB.
	MaxReports = 512
	// MaxUpstreams and maxNameBytes bound the number and the length of the names in one report.
	// Blocks reach ReportLifetime, and are no longer doubled, after five crashes.
	MaxUpstreams = 16
	maxNameBytes = 300
	// maxClockSkew is how far the clock of another node may be ahead.
	maxClockSkew = time.Minute
)

// NewCrashReport returns the report that an upstream has crashed with some requests in flight,
// of which one, or none, was isolated. The start ID identifies the run of the upstream.
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

// NewCompletionReport returns the report that a request has completed.
func NewCompletionReport(p Fingerprint) Report {
	return Report{
		Name:         "ran/" + p.String(),
		At:           time.Now().UnixMilli(),
		Fingerprints: []Fingerprint{p},
	}
}

// Key implements gossip.Record.
func (r Report) Key() string { return r.Name }

// GossipVersion implements gossip.Record.
func (r Report) GossipVersion() gossip.Version {
	return gossip.Version{
		Major: uint64(max(0, r.At)),
	}
}

// Expired returns whether the report no longer counts.
func (r Report) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.At)) > ReportLifetime
}

// Check returns an error if a report of another node is not valid, or nil.
func (r Report) Check(now time.Time) error {
	switch {
	case r.Name == "" || len(r.Name) > maxNameBytes:
		return eris.Errorf("report name has an invalid length of %d bytes", len(r.Name))
	case time.UnixMilli(r.At).Sub(now) > maxClockSkew:
		return eris.Errorf("report time is %v ahead of this node's clock", time.UnixMilli(r.At).Sub(now))
	case len(r.Fingerprints) == 0 || len(r.Fingerprints) > MaxSuspects:
		return eris.Errorf("report lists %d requests, must list 1 to %d", len(r.Fingerprints), MaxSuspects)
	case len(r.Upstreams) > MaxUpstreams:
		return eris.Errorf("report lists %d upstreams, the limit is %d", len(r.Upstreams), MaxUpstreams)
	case slices.ContainsFunc(r.Upstreams, func(s string) bool { return s == "" || len(s) > maxNameBytes }):
		return eris.New("report lists an upstream whose name is empty or too long")
	case slices.ContainsFunc(r.Fingerprints, func(p Fingerprint) bool { return !p.Complete() }):
		return eris.New("report lists an incomplete fingerprint")
	case r.Isolated != Fingerprint{} && (len(r.Upstreams) == 0 || !slices.Contains(r.Fingerprints, r.Isolated)):
		return eris.New("isolated request is not among the requests in flight at a crash")
	}
	return nil
}

// olderThan returns whether r is removed before o if there are too many reports.
func (r Report) olderThan(o Report) bool {
	return r.At < o.At || r.At == o.At && r.Name < o.Name
}
