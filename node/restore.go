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

// rewriteSpread is the time over which the nodes spread the writing again of what the
// platform has lost. All hear of it at about the same time.
const rewriteSpread = 300 * time.Millisecond

// era returns the platform's latest era that is known, or 0 if it has none.
func (n *Node) era() uint64 {
	if n.store == nil {
		return 0
	}
	return n.store.Era()
}

// eraChanged takes in that the platform has named a later era, here or to another node. If
// it has come back from a copy, this node's entries are written again.
func (n *Node) eraChanged(e objectapi.EraChange) {
	n.control.ObserveEra(e.New, e.Restored)
	if !e.Restored {
		n.Log.Info().Uint64("era", e.New).Msg("era of the platform")
		return
	}
	n.Log.Warn().Uint64("oldEra", e.Old).Uint64("era", e.New).Uint64("version", n.version()).Msg("platform has come back from a copy")
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// keepWritten writes what this node keeps on the platform again whenever that may have been
// lost, until ctx ends.
func (n *Node) keepWritten(ctx context.Context) {
	var writing sync.WaitGroup
	defer writing.Wait()
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case <-n.restored:
		}
		stop() // what is still being tried begins anew
		var again context.Context
		again, stop = context.WithCancel(ctx)
		writing.Go(func() { n.writeAgain(again) })
	}
}

// writeAgain writes what this node keeps on the platform.
func (n *Node) writeAgain(ctx context.Context) {
	sleep.For(ctx, rand.N(rewriteSpread))
	n.contacts.Restore(ctx)
	if n.control.IsFirstInZone() {
		n.saveBlocks(ctx)
	}
}

// saveBlocks writes the requests that are blocked as far as this node knows.
func (n *Node) saveBlocks(ctx context.Context) {
	for _, j := range n.suspects.All() {
		if j.State == quarantine.Blocked {
			n.blocked.Save(ctx, j)
		}
	}
}
