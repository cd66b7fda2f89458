// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"time"

	"sassafrasfront.example/configsync"
	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/internal/boottime"
	"sassafrasfront.example/objectapi"
)

// configReader reads the parts of the configuration.
type configReader struct {
	table *objectapi.Reader
	zones *objectapi.Lister // nil where zones are not evacuated
	// orders, if not nil, reads the orders to roll versions out.
	orders *objectapi.Lister
	// clock, if not nil, is read before each read of the table, and answered called with
	// that if the platform answers it.
	clock       boottime.Clock
	confirmRead func(sent time.Duration)
	// leads returns whether this node reads for all. Others, which hear nobody, read the orders
	// at a tenth of the price: one that is seconds old is late for nobody else.
	isLeader func() bool
	// overdue returns whether it has been long since the platform answered any node.
	proofOverdue func() bool
}

// reader reads the table of routes and the evacuated zones.
func (n *Node) newConfigReader(api objectapi.PollingAPI) *configReader {
	r := &configReader{
		table: &objectapi.Reader{
			API:      api,
			Kind:     n.Platform.TableKind,
			OnObject: n.applyTable,
		},
		clock:        n.control.Clock,
		confirmRead:  n.control.ConfirmRead,
		proofOverdue: n.control.ProofOverdue,
		isLeader:     n.control.IsLeader,
	}
	if n.Settings.EvacuateWithin > 0 {
		r.zones = &objectapi.Lister{
			API:  api,
			Kind: n.Platform.ZoneKind,
			OnList: func(items []*objectapi.Object, at objectapi.ResourceVersion, _ bool) {
				n.control.ApplyEvacuation(evacuation.FromObjects(items, at))
			},
		}
	}
	r.orders = n.rolloutOrders
	return r
}

// First makes the first read, which may find what was seconds ago. The zones and the orders
// come first, so that a node that has a table knows of them.
func (r *configReader) ReadInitial(ctx context.Context) error {
	if r.orders != nil {
		if err := r.orders.ReadInitial(ctx); err != nil {
			return err
		}
	}
	if r.zones != nil {
		if err := r.zones.ReadInitial(ctx); err != nil {
			return err
		}
	}
	if err := r.table.ReadInitial(ctx); err != nil || r.clock == nil {
		return err
	}
	return r.readTable(ctx, 0) // the first read does not tell how old the table is
}

// readTable finds what has changed in the table. Where watches are not answered, and how
// fresh the table is becomes pressing, it reads the whole table: the platform may still
// answer that.
func (r *configReader) readTable(ctx context.Context, wait time.Duration) error {
	if r.clock == nil {
		return r.table.Read(ctx, wait)
	}
	sent := r.clock()
	err := r.table.Read(ctx, wait)
	if objectapi.IsOutcomeUnknown(err) && ctx.Err() == nil && r.proofOverdue() {
		sent = r.clock()
		err = r.table.ReadAll(ctx)
	}
	if err == nil {
		r.confirmRead(sent)
	}
	return err
}

// Read finds what has changed in the table, as soon as something does or after the given
// time, and then the orders and the zones as they are.
func (r *configReader) Read(ctx context.Context, wait time.Duration) error {
	if err := r.readTable(ctx, wait); err != nil {
		return err
	}
	if err := r.readOrders(ctx); err != nil {
		return err
	}
	if r.zones == nil {
		return nil
	}
	return r.zones.Read(ctx)
}

// readOrders reads the orders, where there are any.
func (r *configReader) readOrders(ctx context.Context) error {
	switch {
	case r.orders == nil:
		return nil
	case r.isLeader():
		return r.orders.Read(ctx)
	}
	return r.orders.ReadInitial(ctx)
}

// readsInRevoke is how many times a change must be able to come within RevokeWithin: a node
// that has just missed one still knows of the next in time.
const readsPerRevokeDelay = 2

// configWithin returns the time within which a change of either part has to be in force.
func (n *Node) maxConfigDelay() time.Duration {
	within := n.Settings.ConfigWithin
	if e := n.Settings.EvacuateWithin; e > 0 {
		within = min(within, e)
	}
	if r := n.Settings.RevokeWithin; r > 0 {
		within = min(within, r/readsPerRevokeDelay)
	}
	return within
}

// follow keeps up with the table of routes until ctx ends: it reads the platform when
// it is this node's turn. The first read is a cheap one, so that a node that starts has
// a table at once; what has changed since comes with the next.
func (n *Node) syncConfig(ctx context.Context, r *configReader) {
	if err := r.ReadInitial(ctx); err != nil {
		n.Log.Warn().Err(err).Msg("configuration not read")
	}
	for ctx.Err() == nil {
		action, after, watchFor := n.control.NextAction()
		switch action {
		case configsync.Wait:
			n.waitForAction(ctx, after)
		case configsync.Ask:
			n.control.QueryNeighbours(ctx)
		case configsync.Read:
			n.readConfig(ctx, r, 0)
		case configsync.Watch:
			n.readConfig(ctx, r, watchFor)
		}
	}
}

// longestRest is the longest time until a node looks anew whether it is its turn: it
// may have become the leader.
const maxActionWait = 300 * time.Millisecond

// rest waits until there is news, or for the given time.
func (n *Node) waitForAction(ctx context.Context, d time.Duration) {
	t := time.NewTimer(min(d, maxActionWait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.control.NextChanged():
	case <-t.C:
	}
}

// read makes one read. What the platform says at the end of a wait without a change
// held until then, but for the time that the answer took.
func (n *Node) readConfig(ctx context.Context, r *configReader, wait time.Duration) {
	began := time.Now()
	err := r.Read(ctx, wait)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.Log.Warn().Err(err).Msg("configuration not read")
	}
	n.control.RecordRead(err == nil, max(0, time.Since(began)-wait))
}
