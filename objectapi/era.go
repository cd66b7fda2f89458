// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// EraChange says that the platform has named another era than before.
type EraChange struct {
	// Old and New are the eras.
	Old, New uint64
	// Restored is whether the platform had answered before, so that what was known of
	// it is of an earlier era. Otherwise this is the first era that is known.
	Restored bool
}

// eras is what a Caller knows of the eras of its API.
type eras struct {
	mu        sync.Mutex
	highest   uint64
	named     bool // whether an era was ever named
	responded bool // whether an answer has told of what the platform holds
}

// Era returns the highest era that is known, or 0 if there is none.
func (c *JSONClient) Era() uint64 {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.highest
}

// Raise takes in that there is an era, as others have seen. Answers of earlier ones are
// not used from now on.
func (c *JSONClient) AdvanceEra(era uint64) {
	c.eras.mu.Lock()
	change, advanced := c.eras.advance(era)
	c.eras.mu.Unlock()
	if advanced && c.OnEraChange != nil {
		c.OnEraChange(change)
	}
}

// raise takes in an era, and returns what has changed if it is a later one.
func (e *eras) advance(era uint64) (change EraChange, advanced bool) {
	if e.named && era <= e.highest || era < e.highest {
		return EraChange{}, false
	}
	change = EraChange{
		Old:      e.highest,
		New:      era,
		Restored: e.responded && era > e.highest,
	}
	e.named = true
	e.highest = era
	return change, true
}

// check takes in the era of an answer, or returns why the answer can't be used: it was
// sent before the platform came back from a copy, or tells no era.
func (c *JSONClient) checkEra(r *http.Response) error {
	if c.ParseEra == nil {
		return nil
	}
	c.eras.mu.Lock()
	era, named, err := c.ParseEra(r.Header)
	change, advanced, err := c.eras.record(era, named, err)
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

// take takes in the era of an answer, if it names one, or why it can't be read. It returns
// what has changed if the era has risen, or why the answer is not used.
func (e *eras) record(era uint64, named bool, err error) (change EraChange, advanced bool, rejected error) {
	switch {
	case err != nil:
		return change, false, eris.Wrap(err, "answer not used")
	case !named && e.named:
		return change, false, eris.Errorf("answer not used: it names no era, after the era %d", e.highest)
	case named && era < e.highest:
		return change, false, eris.Errorf("answer not used: it is of the era %d, after the era %d", era, e.highest)
	}
	if named {
		change, advanced = e.advance(era)
	}
	return change, advanced, nil
}

// EraIn returns the era of an answer that was checked.
func (c *JSONClient) ResponseEra(r *http.Response) uint64 {
	if c.ParseEra == nil {
		return 0
	}
	era, _, _ := c.ParseEra(r.Header)
	return era
}

// saysNothing returns whether an answer with a status says nothing of what the platform
// holds, so that its era does not matter.
func isStateless(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}
