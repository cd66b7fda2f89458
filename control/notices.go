// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"maps"
	"time"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/routes"
)

// Source is where a node fetches a table of routes from.
type Source string

// The sources.
const (
	SourcePeer     Source = "peer"
	SourcePlatform Source = "platform"
)

// TableFetch is an attempt to fetch a table of routes that has ended.
type TableFetch struct {
	// Source is where the table was fetched from, and From the node if that was one.
	Source Source
	From   string
	// Version is the version that was fetched, or 0 if it is not known.
	Version uint64
	// Bytes is the number of bytes received in the attempt.
	Bytes uint64
	// Took is the duration of the attempt.
	Took time.Duration
	// Err is why the attempt failed, or nil.
	Err error
}

// Outcome returns a word for the result of the attempt, for metrics.
func (f *TableFetch) Outcome() string {
	if f.Err != nil {
		return "failed"
	}
	return "complete"
}

// recordFetch logs and counts an attempt to fetch a table.
func (c *Control) recordFetch(f TableFetch) {
	e := c.Log.Info()
	if f.Err != nil {
		e = c.Log.Warn().AnErr("reason", f.Err)
	}
	e.Str("source", string(f.Source)).Str("peer", f.From).Uint64("version", f.Version).Uint64("bytes", f.Bytes).Dur("tookMs", f.Took).Str("outcome", f.Outcome()).Msg("configuration fetched")
	if c.TableFetched != nil {
		c.TableFetched(f)
	}
}

// notices holds when the node first received a notice of each version of the table that is not
// in force yet.
type notices map[uint64]time.Time

// maxNotices bounds the number of versions in notices.
const maxNotices = 64

// hearTable records the first notice of a version of the table.
func (c *Control) hearTable(version uint64, from string) {
	if _, ok := c.heard[version]; ok || c.table != nil && version <= c.table.Version || version == 0 || len(c.heard) >= maxNotices {
		return
	}
	if c.heard == nil {
		c.heard = make(notices)
	}
	c.heard[version] = time.Now()
	c.Log.Info().Uint64("version", version).Str("peer", from).Msg("configuration announced")
}

// TableStatus returns the state of the node's table, for operators.
func (c *Control) TableStatus() (s operator.TableStatus) {
	c.init()
	c.do(func() {
		if c.table != nil {
			s.Version = c.table.Version
			s.Since = c.inForceSince.UTC()
		}
		for version, at := range c.heard {
			if version > s.Announced {
				s.Announced = version
				s.AnnouncedAt = at.UTC()
			}
		}
		if a := c.fetch.Assembly(); a != nil {
			s.Missing = a.Missing()
			s.Chunks = len(a.Index())
		}
	})
	return s
}

// logInForce logs that a table is in force, with the time since the first notice of it.
func (c *Control) logInForce(t *routes.Table) {
	e := c.Log.Info().Uint64("version", t.Version).Int("routes", len(t.Routes)).Int("services", len(t.Services))
	if at, ok := c.heard[t.Version]; ok {
		delay := time.Since(at)
		e = e.Dur("sinceNoticeMs", delay)
		if c.TableInForce != nil {
			c.TableInForce(delay)
		}
	}
	c.inForceSince = time.Now()
	maps.DeleteFunc(c.heard, func(v uint64, _ time.Time) bool { return v <= t.Version })
	e.Msg("configuration in force")
}
