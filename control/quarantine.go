// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"time"

	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/reconcile"
)

// Report sends a report about some requests to all nodes, this one included. It
// does not block.
func (c *Control) Report(r quarantine.Report) {
	c.init()
	c.Quarantine.Add(r)
	go c.do(func() {
		c.reports.Put(r)
		c.push(context.Background())
	})
}

// newReports returns the exchange of reports about requests.
func (c *Control) newReports() reconcile.Exchange[quarantine.Report] {
	return reconcile.Exchange[quarantine.Report]{
		Topic:   "quarantine",
		Accept:  c.acceptReport,
		Changed: c.reportChanged,
		Do:      c.do,
	}
}

// acceptReport returns whether a report is valid and may be stored.
func (c *Control) acceptReport(r quarantine.Report) bool {
	now := time.Now()
	if err := r.Check(now); err != nil {
		c.Log.Warn().Err(err).Msg("rejected an invalid report of requests")
		return false
	}
	return !r.Expired(now) && !c.Quarantine.Full(r)
}

// reportChanged stores a report, and removes the oldest ones if there are too many.
func (c *Control) reportChanged(_, r quarantine.Report) {
	c.Quarantine.Add(r)
	for range c.Quarantine.Excess() {
		oldest, _ := c.Quarantine.Oldest()
		c.dropReport(oldest)
	}
}

// dropReport removes a report.
func (c *Control) dropReport(r quarantine.Report) {
	c.reports.Set.Remove(r.Name)
	delete(c.reports.Outbox, r.Name)
	c.Quarantine.Remove(r.Name)
}

// expireReports removes the expired reports.
func (c *Control) expireReports(now time.Time) {
	for r := range c.reports.Set.All {
		if r.Expired(now) {
			c.dropReport(r)
		}
	}
}
