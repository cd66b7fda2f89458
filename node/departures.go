// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"

	"sassafrasfront.example/departure"
)

// newDepartures returns the recorder of the upstream's departures.
func (n *Node) newDepartures() *departure.Recorder {
	d := &departure.Recorder{
		Node:          n.Settings.Node,
		Peers:         n.control,
		FirstStart:    n.Settings.FirstStart,
		DiscoveryDone: n.noOthers,
		Log:           n.Log,
	}
	if n.objects != nil {
		d.Registry = &departure.Registry{
			API:  n.objects,
			Node: n.Settings.Node,
			Log:  n.Log,
		}
	}
	return d
}

// recoverDepartures lets announcements take effect once it is known which starts of the upstream left
// before this process started.
func (n *Node) recoverDepartures(ctx context.Context) {
	for _, r := range n.departures.Recover(ctx) {
		n.announcements.Leave(r.StartID, r.StartMillis)
	}
	if ctx.Err() == nil {
		n.announcements.Recover()
	}
}

// departureReceived handles a departure that another node knows of.
func (n *Node) departureReceived(r departure.Record) {
	n.announcements.Departed(context.Background(), r.StartID, r.StartMillis)
}

// upstreamLeaving handles a start of the upstream that has said in its responses that it leaves.
func (n *Node) upstreamLeaving(startID string, startMillis int64) {
	startMillis = n.announcements.Leave(startID, startMillis)
	go func() {
		_ = n.departures.Record(context.Background(), startID, startMillis) // it logs a failure, and nobody waits
	}()
}
