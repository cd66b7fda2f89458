// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"time"

	"sassafrasfront.example/configsync"
	"sassafrasfront.example/freshness"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/routes"
)

// statusAndProof is the status of a read with the sender's proof of how fresh its table is. The
// proof is independent of the status: it may come from another read.
type statusAndProof struct {
	configsync.ReadStatus
	Proof freshness.Message `msgpack:"proof"`
	// Table is the latest version of the table of which the sender has a part. It is empty if the sender's software
	// has no indexes of tables.
	Table tableOffer `msgpack:"table,omitempty"`
}

// The ages of a node's proof at which it requests a younger one, as fractions of
// MaxStaleness.
const (
	// At proofRequestFraction a node requests the proofs of others. At proofReadFraction it reads the
	// platform even if it has received read statuses: its connection to the others may work in one
	// direction only.
	proofRequestFraction = 0.45
	proofReadFraction    = 0.6
	// proofRetryFraction is the minimum time between two such attempts.
	proofRetryFraction = 0.1
)

// tableFreshness is the state of the freshness of the node's table. It is owned by the goroutine
// that owns the rest of the control state. Times are readings of Clock.
type tableFreshness struct {
	*freshness.State
	started     time.Duration   // when the node started
	lastAttempt time.Duration   // when others or the platform were last queried because the proof was old
	requesting  map[string]bool // nodes with a request for their proof in progress
}

// initFreshness sets c.freshness if there is a clock.
func (c *Control) initFreshness() {
	c.proofs.Store(new(freshness.Proofs))
	if c.Clock == nil {
		return
	}
	now := c.Clock()
	c.freshness = &tableFreshness{
		State:       freshness.New(),
		started:     now,
		lastAttempt: now,
		requesting:  make(map[string]bool),
	}
}

// clockReading returns the reading of the clock, or 0 if there is none.
func (c *Control) clockReading() time.Duration {
	if c.Clock == nil {
		return 0
	}
	return c.Clock()
}

// TableAge returns the time for which a table of the given version may have been out of date.
func (c *Control) TableAge(version uint64) freshness.Age {
	c.init()
	return c.proofs.Load().Age(version, c.clockReading())
}

// ProofOverdue returns whether the freshness proof is so old that a younger one is needed.
func (c *Control) ProofOverdue() bool {
	age := c.TableAge(c.snapshotVersion())
	return !age.Known || age.Time >= c.stalenessFraction(proofRequestFraction)
}

// stalenessFraction returns a fraction of MaxStaleness.
func (c *Control) stalenessFraction(p float64) time.Duration {
	return time.Duration(p * float64(c.MaxStaleness))
}

// ConfirmRead records that the platform responded to a read of the table that was sent at the given
// reading of the clock. The result must have been passed to ApplyTable before. The read confirms
// nothing if the platform was restored from a backup that may lack the latest table.
func (c *Control) ConfirmRead(sent time.Duration) {
	c.init()
	c.do(func() {
		if c.freshness == nil || !c.reads.RewriteWindowElapsed(time.Now()) {
			return
		}
		c.freshness.ObserveRead(sent)
		c.publishProofs()
	})
}

// publishProofs makes the proofs available to TableAge.
func (c *Control) publishProofs() {
	p := c.freshness.Proofs()
	c.proofs.Store(&p)
}

// tableApplied records the version of the table in the current snapshot.
func (c *Control) tableApplied(t *routes.Table) {
	if c.freshness == nil || t == nil {
		return
	}
	c.freshness.SetVersion(t.Version)
	c.publishProofs()
}

// withProof returns a read status together with this node's proof.
func (c *Control) withProof(status configsync.ReadStatus) statusAndProof {
	s := statusAndProof{ReadStatus: status}
	s.Table, _ = c.latestOffer()
	if c.freshness != nil {
		s.Proof = c.freshness.Message(c.Clock())
	}
	return s
}

// receiveProof records another node's proof. If the offset of that node's clock is not known, it
// sends a request to the node.
func (c *Control) receiveProof(from string, p freshness.Message) {
	if c.freshness == nil {
		return
	}
	known := c.freshness.Receive(p, c.Clock())
	c.publishProofs()
	r, ok := c.members.Set.Get(from)
	if known || !ok || c.freshness.requesting[from] {
		return
	}
	client := c.client(r.Addr)
	c.freshness.requesting[from] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), readStatusTimeout)
		defer cancel()
		sent := c.Clock()
		reply, err := peer.SendRequest[struct{}, statusAndProof](ctx, client, topicAskReadStatus, struct{}{})
		if err != nil {
			c.Log.Debug().Err(err).Str("peer", from).Msg("failed to request a freshness proof")
		}
		c.do(func() {
			delete(c.freshness.requesting, from)
			c.applyProofReply(sent, reply.Proof)
		})
	}()
}

// applyProofReply records a proof from the reply to a request that was sent at the given
// reading of the clock.
func (c *Control) applyProofReply(sent time.Duration, p freshness.Message) {
	if c.freshness == nil {
		return
	}
	c.freshness.ReceiveReply(sent, p, c.Clock())
	c.publishProofs()
}

// refreshAction returns the action to take in place of waiting if the proof is getting old. A node
// that has received no read status reads at its regular time, as if the proof were young.
func (c *Control) refreshAction(action configsync.Action, now time.Time) configsync.Action {
	if c.freshness == nil || action != configsync.Wait {
		return action
	}
	reading := c.Clock()
	age := c.freshness.Proofs().Age(c.snapshotVersion(), reading)
	if !age.Known {
		age.Time = reading - c.freshness.started
	}
	if age.Known && age.Time < c.stalenessFraction(proofRequestFraction) || reading-c.freshness.lastAttempt < c.stalenessFraction(proofRetryFraction) {
		return action
	}
	c.freshness.lastAttempt = reading
	if age.Time > c.stalenessFraction(proofReadFraction) && c.reads.HasRecentRead(now) {
		return configsync.Read
	}
	return configsync.Query
}

// proofWatchFraction is the maximum duration of a watch of the platform, as a fraction of
// MaxStaleness. A watch that ends without a change only proves that there was none when it
// began. A node that receives nothing from others therefore has no proof younger than two of
// its watches.
const proofWatchFraction = 0.2

// limitWatch returns how long a watch of duration d may stay open.
func (c *Control) limitWatch(d time.Duration) time.Duration {
	if c.freshness == nil {
		return d
	}
	return min(d, c.stalenessFraction(proofWatchFraction))
}

// snapshotVersion returns the version of the table in the current snapshot, or 0.
func (c *Control) snapshotVersion() uint64 {
	if t := c.snapshot.Load().Table; t != nil {
		return t.Version
	}
	return 0
}
