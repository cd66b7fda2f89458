// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/quarantine"
)

// rewriteSpread is the time over which the nodes spread the rewriting of what the platform has
// lost. All nodes notice the loss at about the same time.
const rewriteSpread = 300 * time.Millisecond

// era returns the latest known era of the platform, or 0 if it has none.
func (n *Node) era() uint64 {
	if n.platformClient == nil {
		return 0
	}
	return n.platformClient.Era()
}

// eraChanged records that the platform has named a later era, to this node or to another. If the
// platform was restored from a backup, this node's entries are written again.
func (n *Node) eraChanged(e objectapi.EraChange) {
	n.control.ObserveEra(e.New, e.Restored)
	if !e.Restored {
		n.Log.Info().Uint64("era", e.New).Msg("platform era changed")
		return
	}
	n.Log.Warn().Uint64("oldEra", e.Old).Uint64("era", e.New).Uint64("version", n.version()).Msg("platform restored from a backup")
	select {
	case n.platformRestored <- struct{}{}:
	default:
	}
}

// rewriteAfterRestore writes this node's entries on the platform again whenever they may have
// been lost, until ctx ends.
func (n *Node) rewriteAfterRestore(ctx context.Context) {
	var writes sync.WaitGroup
	defer writes.Wait()
	cancel := func() {}
	for {
		select {
		case <-ctx.Done():
			cancel()
			return
		case <-n.platformRestored:
		}
		cancel() // a rewrite in progress starts over
		var writeCtx context.Context
		writeCtx, cancel = context.WithCancel(ctx)
		writes.Go(func() { n.rewriteEntries(writeCtx) })
	}
}

// rewriteEntries writes what this node keeps on the platform.
func (n *Node) rewriteEntries(ctx context.Context) {
	sleep.For(ctx, rand.N(rewriteSpread))
	n.contactRegistry.Restore(ctx)
	n.departures.Rewrite()
	if n.control.IsFirstInZone() {
		n.saveBlocks(ctx)
	}
}

// saveBlocks writes the requests that this node knows to be blocked.
func (n *Node) saveBlocks(ctx context.Context) {
	for _, assessment := range n.suspects.All() {
		if assessment.State == quarantine.Blocked {
			n.blocklist.Save(ctx, assessment)
		}
	}
}
