// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"errors"
	"time"

	"sassafrasfront.example/configsync"
	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/internal/boottime"
	"sassafrasfront.example/objectapi"
)

// configReader reads the configuration from the platform.
type configReader struct {
	table *objectapi.Reader
	zones *objectapi.Lister // nil if zones are not evacuated
	// orders, if not nil, reads the rollout orders.
	orders *objectapi.Lister
	// clock, if not nil, is read before each read of the table. If the platform responds,
	// confirmRead is called with that time.
	clock       boottime.Clock
	confirmRead func(sent time.Duration)
	// isLeader returns whether this node reads on behalf of all. A node that is not the leader
	// reads only while it receives nothing from other nodes. It reads the orders at a tenth of
	// the cost: no other node depends on its orders, which may therefore be seconds old.
	isLeader func() bool
	// awaitTable, if not nil, returns whether other nodes have provided a table, or provide one now.
	awaitTable func(ctx context.Context) bool
	// readPosition returns the resource version from which the table has to be read, and setReadPosition sets the
	// one up to which it has been read. Both are nil in a node that knows no others.
	readPosition    func() objectapi.ResourceVersion
	setReadPosition func(at objectapi.ResourceVersion)
	// queryNeighbours requests the proofs of other nodes of how fresh their tables are.
	queryNeighbours func(ctx context.Context)
	// proofOverdue returns whether the platform has responded to no node for too long.
	proofOverdue func() bool
}

// newConfigReader returns a reader of the table of routes, the rollout orders and the evacuated
// zones.
func (n *Node) newConfigReader(api objectapi.PollingAPI) *configReader {
	r := &configReader{
		table: &objectapi.Reader{
			API:      api,
			Kind:     n.Platform.TableKind,
			OnObject: n.applyTable,
		},
		clock:           n.control.Clock,
		confirmRead:     n.control.ConfirmRead,
		proofOverdue:    n.control.ProofOverdue,
		isLeader:        n.control.IsLeader,
		awaitTable:      n.control.AwaitTable,
		queryNeighbours: n.control.QueryNeighbours,
		readPosition:    n.control.ReadPosition,
		setReadPosition: n.control.SetReadPosition,
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

// ReadInitial makes the first read, which may return a state that is seconds old. It reads the
// zones and the orders first, so that a node that has a table has these too. The table is not read
// if other nodes provide it: where many nodes start, each would read a large table from the platform
// over its own link, beside the copies from other nodes.
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
	if r.awaitTable != nil && r.awaitTable(ctx) {
		if r.clock != nil {
			r.queryNeighbours(ctx)
		}
		return nil
	}
	if err := r.table.ReadInitial(ctx); err != nil || r.clock == nil {
		return err
	}
	return r.readTable(ctx, 0) // the first read does not tell how old the table is
}

// readTable reads the changes to the table. If the platform does not respond to a watch and the
// freshness proof is overdue, it reads the whole table: the platform may still respond to that.
func (r *configReader) readTable(ctx context.Context, wait time.Duration) error {
	if r.clock == nil {
		return r.readChanges(ctx, wait)
	}
	sent := r.clock()
	err := r.readChanges(ctx, wait)
	if objectapi.IsOutcomeUnknown(err) && ctx.Err() == nil && r.proofOverdue() {
		sent = r.clock()
		err = r.table.ReadAll(ctx)
	}
	if err == nil {
		r.confirmRead(sent)
	}
	return err
}

// readChanges reads the changes to the table. A read whose response stalls is repeated at once: its connection may have fallen
// silent.
func (r *configReader) readChanges(ctx context.Context, wait time.Duration) error {
	err := r.table.Read(ctx, wait)
	if errors.Is(err, objectapi.ErrStalled) && ctx.Err() == nil {
		err = r.table.Read(ctx, 0)
	}
	return err
}

// Read reads the changes to the table, as soon as there is one or after the given time, and then
// the current orders and zones.
func (r *configReader) Read(ctx context.Context, wait time.Duration) error {
	if r.readPosition != nil {
		r.table.Advance(r.readPosition())
	}
	if err := r.readTable(ctx, wait); err != nil {
		return err
	}
	if r.setReadPosition != nil {
		r.setReadPosition(r.table.Position())
	}
	if err := r.readOrders(ctx); err != nil {
		return err
	}
	if r.zones == nil {
		return nil
	}
	return r.zones.Read(ctx)
}

// readOrders reads the rollout orders, if rollouts are enabled.
func (r *configReader) readOrders(ctx context.Context) error {
	switch {
	case r.orders == nil:
		return nil
	case r.isLeader():
		return r.orders.Read(ctx)
	}
	return r.orders.ReadInitial(ctx)
}

// readsPerRevokeDelay is how many times a change must be able to arrive within RevokeWithin: a
// node that has just missed it once receives it the next time, still within the bound.
const readsPerRevokeDelay = 2

// maxConfigDelay returns the time within which a change of any part of the configuration has to
// be active.
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

// syncConfig keeps the configuration up to date until ctx ends: it reads the platform when
// control selects this node to do so. The first read is a cheap one, so that a node that starts
// has a table at once; the next one returns what has changed since.
func (n *Node) syncConfig(ctx context.Context, r *configReader) {
	if err := r.ReadInitial(ctx); err != nil {
		n.Log.Warn().Err(err).Msg("configuration not read")
	}
	for ctx.Err() == nil {
		action, after, watchFor := n.control.NextAction()
		switch action {
		case configsync.Wait:
			n.waitForAction(ctx, after)
		case configsync.Query:
			n.control.QueryNeighbours(ctx)
		case configsync.Read:
			n.readConfig(ctx, r, 0)
		case configsync.Watch:
			n.readConfig(ctx, r, watchFor)
		}
	}
}

// maxActionWait is the longest time until a node checks again whether it has to read: it may
// have become the leader.
const maxActionWait = 300 * time.Millisecond

// waitForAction waits until the next action may have changed, or for the given time.
func (n *Node) waitForAction(ctx context.Context, d time.Duration) {
	t := time.NewTimer(min(d, maxActionWait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.control.NextChanged():
	case <-t.C:
	}
}

// readConfig makes one read and records its result. A response without a change, sent at the end
// of the wait, was valid until it was sent: its age is the time that the read took beyond the
// wait.
func (n *Node) readConfig(ctx context.Context, r *configReader, wait time.Duration) {
	began, before := time.Now(), n.platformClient.ReceivedBytes()
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	reporter := readReporter{
		report:     n.control.ReportRead,
		interval:   n.control.ReportInterval(),
		isFetching: n.control.IsFetching,
		abandon:    cancel,
	}
	err := r.Read(objectapi.WithProgress(reading, reporter.progress), wait)
	if ctx.Err() != nil {
		return
	}
	if err != nil && reading.Err() != nil {
		n.Log.Info().Dur("tookMs", time.Since(began)).Uint64("bytes", n.platformClient.ReceivedBytes()-before).Msg("read abandoned: other nodes send the configuration")
		n.control.RecordAbandonedRead()
		return
	}
	if err != nil {
		n.Log.Warn().Err(err).Dur("tookMs", time.Since(began)).Uint64("bytes", n.platformClient.ReceivedBytes()-before).Msg("configuration not read")
	}
	n.control.RecordRead(err == nil, max(0, time.Since(began)-wait))
}

// largeReadBytes is the size from which a response of the platform is reported to other nodes while it is being
// received.
const largeReadBytes = 32 << 10

// fetchCheckInterval is the least time between two checks, during a read with a large response, of whether the node fetches
// the table from other nodes.
const fetchCheckInterval = 25 * time.Millisecond

// readReporter reports the progress of a read with a large response, and abandons it if the node fetches the table
// from other nodes: both would take the same link.
type readReporter struct {
	report     func(began time.Time)
	interval   time.Duration
	isFetching func() bool
	abandon    func()

	began    time.Time // when the present response began
	received int       // bytes of the present response
	reported time.Time // when progress was last reported
	checked  time.Time // when the node was last found not to fetch the table
}

// progress records the number of bytes of a response that have been received.
func (r *readReporter) progress(received int) {
	now := time.Now()
	if r.began.IsZero() || received < r.received {
		r.began = now
	}
	r.received = received
	if received < largeReadBytes {
		return
	}
	if now.Sub(r.checked) >= fetchCheckInterval {
		if r.isFetching() {
			r.abandon()
			return
		}
		r.checked = now
	}
	if now.Sub(r.reported) < r.interval {
		return
	}
	r.reported = now
	r.report(r.began)
}
