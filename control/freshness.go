// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"sassafrasfront.example/peer"
	"time"

	"sassafrasfront.example/configsync"
	"sassafrasfront.example/freshness"
	"sassafrasfront.example/routes"
)

// newsAndProof is the news of a read with the teller's proof of how fresh its table is. The proof
// stands by itself: it may be that of another read.
type statusAndProof struct {
	configsync.ReadStatus
	Proof freshness.Message `msgpack:"proof"`
}

// The ages of a node's proof from which it looks for a younger one, as parts of
// FreshWithin.
const (
	// freshAskPart is from when it asks others, and freshReadPart from when it reads the
	// platform though it has heard of a read: it hears others, but they don't hear it.
	proofAskFraction  = 0.45
	proofReadFraction = 0.6
	// freshRetryPart is the least time between two such questions or reads, as a part of it.
	proofRetryFraction = 0.1
)

// tableFreshness is what a node knows of how fresh its table is. The goroutine that owns the
// rest of the control state owns it. Times are readings of the clock.
type tableFreshness struct {
	*freshness.State
	started     time.Duration   // when the node started
	lastAttempt time.Duration   // when others were asked, or the platform, for an old proof last
	asking      map[string]bool // the nodes that are being asked for their clock
}

// initFresh makes c.fresh if there is a clock.
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
		asking:      make(map[string]bool),
	}
}

// reading returns what the clock shows, or 0 if there is none.
func (c *Control) clockReading() time.Duration {
	if c.Clock == nil {
		return 0
	}
	return c.Clock()
}

// TableAge returns for how long a table with the version may have been out of date.
func (c *Control) TableAge(version uint64) freshness.Age {
	c.init()
	return c.proofs.Load().Age(version, c.clockReading())
}

// Overdue returns whether the proof is so old that something is to be done about it.
func (c *Control) ProofOverdue() bool {
	age := c.TableAge(c.snapshotVersion())
	return !age.Known || age.Time >= c.stalenessFraction(proofAskFraction)
}

// freshPart returns a part of the time within which a change has to be known.
func (c *Control) stalenessFraction(p float64) time.Duration {
	return time.Duration(p * float64(c.MaxStaleness))
}

// Confirm takes in that the platform answered a read of the table which was sent at the
// given reading of the clock. What it found has been given to Configure. It confirms nothing
// where the platform has come back from a copy that may lack the latest table.
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

// publishProofs lets traffic see the proofs.
func (c *Control) publishProofs() {
	p := c.freshness.Proofs()
	c.proofs.Store(&p)
}

// tableInForce takes in the table that traffic sees.
func (c *Control) tableApplied(t *routes.Table) {
	if c.freshness == nil || t == nil {
		return
	}
	c.freshness.SetVersion(t.Version)
	c.publishProofs()
}

// tell returns news together with this node's proof.
func (c *Control) withProof(status configsync.ReadStatus) statusAndProof {
	if c.freshness == nil {
		return statusAndProof{ReadStatus: status}
	}
	return statusAndProof{
		ReadStatus: status,
		Proof:      c.freshness.Message(c.Clock()),
	}
}

// hearProof takes in another node's proof, and asks that node if its clock is not known.
func (c *Control) receiveProof(from string, p freshness.Message) {
	if c.freshness == nil {
		return
	}
	known := c.freshness.Receive(p, c.Clock())
	c.publishProofs()
	r, ok := c.members.Set.Get(from)
	if known || !ok || c.freshness.asking[from] {
		return
	}
	client := c.client(r.Addr)
	c.freshness.asking[from] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), readStatusTimeout)
		defer cancel()
		sent := c.Clock()
		reply, err := peer.Ask[struct{}, statusAndProof](ctx, client, topicAskReadStatus, struct{}{})
		if err != nil {
			c.Log.Debug().Err(err).Str("peer", from).Msg("clock not told")
		}
		c.do(func() {
			delete(c.freshness.asking, from)
			c.applyProofReply(sent, reply.Proof)
		})
	}()
}

// proofReplied takes in a proof from the reply to a question that was asked at the given
// reading of the clock.
func (c *Control) applyProofReply(sent time.Duration, p freshness.Message) {
	if c.freshness == nil {
		return
	}
	c.freshness.ReceiveReply(sent, p, c.Clock())
	c.publishProofs()
}

// freshen returns what to do in place of waiting if the proof gets old. A node that has not
// heard of a read reads when it is its turn, as where the proof is young.
func (c *Control) refreshAction(action configsync.Action, now time.Time) configsync.Action {
	if c.freshness == nil || action != configsync.Wait {
		return action
	}
	reading := c.Clock()
	age := c.freshness.Proofs().Age(c.snapshotVersion(), reading)
	if !age.Known {
		age.Time = reading - c.freshness.started
	}
	if age.Known && age.Time < c.stalenessFraction(proofAskFraction) || reading-c.freshness.lastAttempt < c.stalenessFraction(proofRetryFraction) {
		return action
	}
	c.freshness.lastAttempt = reading
	if age.Time > c.stalenessFraction(proofReadFraction) && c.reads.HasRecentRead(now) {
		return configsync.Read
	}
	return configsync.Ask
}

// freshWatchPart is the longest watch of the platform, as a part of the time within which a
// change has to be known. A watch that ends without a change proves no more than that there
// was none when it began, so that a node that hears nobody would know of nothing younger
// than two of its watches.
const proofWatchFraction = 0.2

// freshWatch returns how long a watch is to stay open that would last for d.
func (c *Control) limitWatch(d time.Duration) time.Duration {
	if c.freshness == nil {
		return d
	}
	return min(d, c.stalenessFraction(proofWatchFraction))
}

// snapshotVersion returns the version of the table that traffic sees, or 0.
func (c *Control) snapshotVersion() uint64 {
	if t := c.snapshot.Load().Table; t != nil {
		return t.Version
	}
	return 0
}
