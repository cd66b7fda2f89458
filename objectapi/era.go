// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// EraChange is a change of the platform's era.
type EraChange struct {
	// Old and New are the eras.
	Old, New uint64
	// Restored is whether the platform has responded in an earlier era, so that all that
	// was read is from that era. Otherwise this is the first known era.
	Restored bool
}

// eras is a JSONClient's state of the eras of its API.
type eras struct {
	mu        sync.Mutex
	highest   uint64
	known     bool // whether any era is known
	responded bool // whether a response has ever depended on the stored state
}

// Era returns the highest known era, or 0 if there is none.
func (c *JSONClient) Era() uint64 {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.highest
}

// AdvanceEra records an era that others have seen. From now on, responses of earlier eras
// are rejected.
func (c *JSONClient) AdvanceEra(era uint64) {
	c.eras.mu.Lock()
	change, advanced := c.eras.advance(era)
	c.eras.mu.Unlock()
	if advanced && c.OnEraChange != nil {
		c.OnEraChange(change)
	}
}

// advance records an era. If it is later than the highest one it returns the change.
func (e *eras) advance(era uint64) (change EraChange, advanced bool) {
	if e.known && era <= e.highest || era < e.highest {
		return EraChange{}, false
	}
	change = EraChange{
		Old:      e.highest,
		New:      era,
		Restored: e.responded && era > e.highest,
	}
	e.known = true
	e.highest = era
	return change, true
}

// checkEra records the era of a response. It returns an error if the response can't be used, as it
// was sent before the platform was restored from a backup, or has no era.
func (c *JSONClient) checkEra(r *http.Response) error {
	if c.ParseEra == nil {
		return nil
	}
	c.eras.mu.Lock()
	era, present, err := c.ParseEra(r.Header)
	change, advanced, err := c.eras.record(era, present, err)
	c.eras.responded = c.eras.responded || err == nil && !isStateless(r.StatusCode)
	c.eras.mu.Unlock()
	if advanced && c.OnEraChange != nil {
		c.OnEraChange(change)
	}
	if err == nil {
		return nil
	}
	if c.OnRejected != nil {
		c.OnRejected(err)
	}
	if isStateless(r.StatusCode) {
		return nil
	}
	return err
}

// record records the era of a response, or the error of parsing it. It returns the change if the
// era has advanced, and an error if the response is rejected.
func (e *eras) record(era uint64, present bool, err error) (change EraChange, advanced bool, rejected error) {
	switch {
	case err != nil:
		return change, false, eris.Wrap(err, "response rejected")
	case !present && e.known:
		return change, false, eris.Errorf("response rejected: it has no era, but era %d was seen", e.highest)
	case present && era < e.highest:
		return change, false, eris.Errorf("response rejected: it is of era %d, but era %d was seen", era, e.highest)
	}
	if present {
		change, advanced = e.advance(era)
	}
	return change, advanced, nil
}

// ResponseEra returns the era of a response that Call has returned.
func (c *JSONClient) ResponseEra(r *http.Response) uint64 {
	if c.ParseEra == nil {
		return 0
	}
	era, _, _ := c.ParseEra(r.Header)
	return era
}

// isStateless returns whether responses with a status are independent of what the platform
// stores, so that their era does not matter.
func isStateless(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}
