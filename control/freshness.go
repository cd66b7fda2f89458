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
type newsAndProof struct {
	configsync.ReadStatus
	Proof freshness.Message `msgpack:"proof"`
}

// The ages of a node's proof from which it looks for a younger one, as parts of
// FreshWithin.
const (
	// freshAskPart is from when it asks others, and freshReadPart from when it reads the
	// platform though it has heard of a read: it hears others, but they don't hear it.
	freshAskPart  = 0.45
	freshReadPart = 0.6
	// freshRetryPart is the least time between two such questions or reads, as a part of it.
	freshRetryPart = 0.1
)

// tableFreshness is what a node knows of how fresh its table is. The goroutine that owns the
// rest of the control state owns it. Times are readings of the clock.
type tableFreshness struct {
	*freshness.State
	started time.Duration   // when the node started
	tried   time.Duration   // when others were asked, or the platform, for an old proof last
	asking  map[string]bool // the nodes that are being asked for their clock
}

// initFresh makes c.fresh if there is a clock.
func (c *Control) initFresh() {
	c.proofs.Store(new(freshness.Proofs))
	if c.Clock == nil {
		return
	}
	now := c.Clock()
	c.fresh = &tableFreshness{
		State:   freshness.New(),
		started: now,
		tried:   now,
		asking:  make(map[string]bool),
	}
}

// reading returns what the clock shows, or 0 if there is none.
func (c *Control) reading() time.Duration {
	if c.Clock == nil {
		return 0
	}
	return c.Clock()
}

// TableAge returns for how long a table with the version may have been out of date.
func (c *Control) TableAge(version uint64) freshness.Age {
	c.init()
	return c.proofs.Load().Age(version, c.reading())
}

// Overdue returns whether the proof is so old that something is to be done about it.
func (c *Control) ProofOverdue() bool {
	age := c.TableAge(c.snapshotVersion())
	return !age.Known || age.Time >= c.freshPart(freshAskPart)
}

// freshPart returns a part of the time within which a change has to be known.
func (c *Control) freshPart(p float64) time.Duration {
	return time.Duration(p * float64(c.MaxStaleness))
}

// Confirm takes in that the platform answered a read of the table which was sent at the
// given reading of the clock. What it found has been given to Configure. It confirms nothing
// where the platform has come back from a copy that may lack the latest table.
func (c *Control) ConfirmRead(sent time.Duration) {
	c.init()
	c.do(func() {
		if c.fresh == nil || !c.reads.RewriteWindowElapsed(time.Now()) {
			return
		}
		c.fresh.ObserveRead(sent)
		c.publishProofs()
	})
}

// publishProofs lets traffic see the proofs.
func (c *Control) publishProofs() {
	p := c.fresh.Proofs()
	c.proofs.Store(&p)
}

// tableInForce takes in the table that traffic sees.
func (c *Control) tableInForce(t *routes.Table) {
	if c.fresh == nil || t == nil {
		return
	}
	c.fresh.SetVersion(t.Version)
	c.publishProofs()
}

// tell returns news together with this node's proof.
func (c *Control) tell(news configsync.ReadStatus) newsAndProof {
	if c.fresh == nil {
		return newsAndProof{ReadStatus: news}
	}
	return newsAndProof{
		ReadStatus: news,
		Proof:      c.fresh.Message(c.Clock()),
	}
}

// hearProof takes in another node's proof, and asks that node if its clock is not known.
func (c *Control) hearProof(from string, p freshness.Message) {
	if c.fresh == nil {
		return
	}
	known := c.fresh.Receive(p, c.Clock())
	c.publishProofs()
	r, ok := c.members.Set.Get(from)
	if known || !ok || c.fresh.asking[from] {
		return
	}
	client := c.client(r.Addr)
	c.fresh.asking[from] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
		defer cancel()
		asked := c.Clock()
		reply, err := peer.Ask[struct{}, newsAndProof](ctx, client, topicAskNews, struct{}{})
		if err != nil {
			c.Log.Debug().Err(err).Str("peer", from).Msg("clock not told")
		}
		c.do(func() {
			delete(c.fresh.asking, from)
			c.proofReplied(asked, reply.Proof)
		})
	}()
}

// proofReplied takes in a proof from the reply to a question that was asked at the given
// reading of the clock.
func (c *Control) proofReplied(asked time.Duration, p freshness.Message) {
	if c.fresh == nil {
		return
	}
	c.fresh.ReceiveReply(asked, p, c.Clock())
	c.publishProofs()
}

// freshen returns what to do in place of waiting if the proof gets old. A node that has not
// heard of a read reads when it is its turn, as where the proof is young.
func (c *Control) freshen(action configsync.Action, now time.Time) configsync.Action {
	if c.fresh == nil || action != configsync.Wait {
		return action
	}
	reading := c.Clock()
	age := c.fresh.Proofs().Age(c.snapshotVersion(), reading)
	if !age.Known {
		age.Time = reading - c.fresh.started
	}
	if age.Known && age.Time < c.freshPart(freshAskPart) || reading-c.fresh.tried < c.freshPart(freshRetryPart) {
		return action
	}
	c.fresh.tried = reading
	if age.Time > c.freshPart(freshReadPart) && c.reads.HasRecentRead(now) {
		return configsync.Read
	}
	return configsync.Ask
}

// freshWatchPart is the longest watch of the platform, as a part of the time within which a
// change has to be known. A watch that ends without a change proves no more than that there
// was none when it began, so that a node that hears nobody would know of nothing younger
// than two of its watches.
const freshWatchPart = 0.2

// freshWatch returns how long a watch is to stay open that would last for d.
func (c *Control) freshWatch(d time.Duration) time.Duration {
	if c.fresh == nil {
		return d
	}
	return min(d, c.freshPart(freshWatchPart))
}

// snapshotVersion returns the version of the table that traffic sees, or 0.
func (c *Control) snapshotVersion() uint64 {
	if t := c.snapshot.Load().Table; t != nil {
		return t.Version
	}
	return 0
}
