// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/chunk"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/reconcile"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/tablefetch"
)

const (
	// tableRequestTimeout is the time without received bytes after which a request for a table, or a part of it, ends.
	tableRequestTimeout = time.Second
	// searchAfter is the time without progress after which a node that fetches a table asks neighbours that
	// have not offered it.
	searchAfter = 200 * time.Millisecond
)

// receiveOffer handles an offer of another node.
func (c *Control) receiveOffer(from string, t tableOffer) error {
	offer, err := t.offer()
	if err != nil {
		return err
	}
	if c.fetch.AddOffer(from, offer, time.Now()) {
		c.hearTable(offer.Version, from)
		c.continueFetch()
	}
	return nil
}

// sendOffer offers the latest version of which this node has a part to a few neighbours.
func (c *Control) sendOffer() {
	offer, _ := c.latestOffer()
	c.notify(topicTableOffer, offer)
}

// continueFetch sends the next requests for a table, and schedules the ones after them.
func (c *Control) continueFetch() {
	now := time.Now()
	c.recordHeard(now)
	requests, again := c.fetch.Next(now)
	for _, r := range requests {
		c.sendFetch(r)
	}
	if c.fetchTimer != nil {
		c.fetchTimer.Stop()
	}
	if again.IsZero() {
		return
	}
	if now.Sub(c.fetch.Progress()) >= searchAfter && now.Sub(c.lastSearch) >= searchAfter {
		c.lastSearch = now
		c.queryNeighbours(context.Background())
	}
	c.fetchTimer = time.AfterFunc(again.Sub(now), func() { c.do(c.continueFetch) })
}

// recordHeard records from which of the nodes that have been asked for parts of a table bytes have been received.
func (c *Control) recordHeard(now time.Time) {
	received := make(map[string]uint64)
	for _, id := range c.fetch.Asked() {
		record, ok := c.members.Set.Get(id)
		if !ok {
			continue
		}
		n := c.client(record.Addr).ReceivedBytes()
		if before, ok := c.fetchReceived[id]; ok && n != before {
			c.fetch.Heard(id, now)
		}
		received[id] = n
	}
	c.fetchReceived = received
	if version, began := c.fetch.Fetching(); version > 0 {
		c.reads.TransferProgress(began, c.fetch.Progress())
	}
}

// sendFetch sends a request for a part of a table.
func (c *Control) sendFetch(r tablefetch.Request) {
	record, ok := c.members.Set.Get(r.Source)
	if !ok {
		c.fetch.Remove(r.Source)
		return
	}
	p := c.client(record.Addr)
	began, before := time.Now(), p.ReceivedBytes()
	c.fetchReceived[r.Source] = before
	end := func(err error) {
		c.recordFetch(TableFetch{
			Source:  SourcePeer,
			From:    r.Source,
			Version: r.Version,
			Bytes:   p.ReceivedBytes() - before,
			Took:    time.Since(began),
			Err:     err,
		})
	}
	switch r.Kind {
	case tablefetch.Whole:
		go c.fetchWhole(r, p, end)
	case tablefetch.Index:
		q := indexQuery{Version: c.snapshotVersion()}
		if len(c.kept) > 0 {
			q.Base = c.kept[0].Root().Raw()
		}
		go c.fetchIndex(r, p, q, end)
	default:
		go c.fetchChunks(r, p, end)
	}
}

// fetchIndex requests an index, and then continues the fetch.
func (c *Control) fetchIndex(r tablefetch.Request, p *peer.Client, q indexQuery, end func(error)) {
	ctx, cancel := p.WithProgressTimeout(context.Background(), tableRequestTimeout)
	defer cancel()
	reply, err := peer.SendRequest[indexQuery, indexReply](ctx, p, topicTableIndex, q)
	c.do(func() {
		if err == nil {
			err = c.applyIndex(r.Source, q, reply)
		}
		if err != nil {
			end(err)
			c.fetch.Failed(r.Source, time.Now())
		}
		c.continueFetch()
	})
}

// applyIndex handles the reply to an indexQuery.
func (c *Control) applyIndex(from string, q indexQuery, reply indexReply) error {
	c.configs.PutAll(reply.Records)
	c.publish()
	c.forwardStatus()
	offer, err := reply.Offer.offer()
	if err != nil {
		return err
	}
	var base chunk.Index
	if reply.Based {
		if base, err = c.indexOf(q.Base); err != nil {
			return err
		}
	}
	index, err := base.Patched(reply.Patch)
	if err != nil {
		return err
	}
	if offer.Version > c.snapshotVersion() && index.Root() != offer.Root {
		return eris.New("index has another digest")
	}
	before := c.fetch.Assembly()
	c.fetch.IndexReceived(from, offer, index, time.Now())
	if a := c.fetch.Assembly(); a != before && a != nil {
		c.sendOffer()
		c.completeFetch() // all chunks may be known
	}
	return nil
}

// indexOf returns the index of a kept table by its digest.
func (c *Control) indexOf(root string) (chunk.Index, error) {
	for _, k := range c.kept {
		if k.Root().Raw() == root {
			return k.Index(), nil
		}
	}
	return nil, errUnknownTable
}

// fetchChunks requests chunks, and then continues the fetch.
func (c *Control) fetchChunks(r tablefetch.Request, p *peer.Client, end func(error)) {
	ctx, cancel := p.WithProgressTimeout(context.Background(), tableRequestTimeout)
	defer cancel()
	q := chunksQuery{
		Root: r.Root.Raw(),
		Want: r.Want,
	}
	reply, err := peer.SendRequestOnce[chunksQuery, chunksReply](ctx, p, topicTableChunks, q)
	c.do(func() {
		if err == nil {
			_, err = c.fetch.ChunksReceived(r.Source, r.Root, reply.Parts, reply.RetryAfter, time.Now())
		} else {
			c.fetch.Failed(r.Source, time.Now())
		}
		if err == nil {
			err = c.receiveOffer(r.Source, reply.Offer)
		}
		if err != nil {
			end(err)
		}
		c.completeFetch()
		c.continueFetch()
	})
}

// completeFetch applies the table that is being fetched if nothing is missing.
func (c *Control) completeFetch() {
	a := c.fetch.Assembly()
	if a == nil || a.Missing() > 0 || c.decoding {
		return
	}
	version, began := c.fetch.Fetching()
	c.decoding = true
	go func() {
		o, spec, err := a.Object()
		var t *routes.Table
		if err == nil {
			t, err = routes.Decode(spec)
		}
		if err == nil && t.Version != version {
			err = eris.Errorf("table of version %d was offered as version %d", t.Version, version)
		}
		c.do(func() {
			c.decoding = false
			c.recordFetch(TableFetch{
				Source:  SourcePeer,
				Version: version,
				Bytes:   c.fetch.ReceivedBytes(),
				Took:    time.Since(began),
				Err:     err,
			})
			if err != nil {
				c.fetch.Drop(version)
			} else {
				c.putTable(decodedTable{
					Table:  t,
					object: o,
				}, spec)
			}
			c.continueFetch()
		})
	}()
}

// decodedTable is a table together with its chunks.
type decodedTable struct {
	*routes.Table
	object *chunk.Object
}

// putTable stores and publishes a table, unless a later one is active.
func (c *Control) putTable(t decodedTable, spec []byte) {
	c.decoded = t
	c.configs.Put(acceptance.NewTable(t.Version, spec))
	c.decoded = decodedTable{}
	c.publish()
	c.forwardStatus()
}

// fetchWhole requests a whole table of a node whose software has no indexes.
func (c *Control) fetchWhole(r tablefetch.Request, p *peer.Client, end func(error)) {
	ctx, cancel := p.WithProgressTimeout(context.Background(), tableRequestTimeout)
	defer cancel()
	reply, err := peer.SendRequest[struct{}, reconcile.Records[acceptance.Config]](ctx, p, topicTable, struct{}{})
	c.do(func() {
		end(err)
		if err != nil {
			c.fetch.Failed(r.Source, time.Now())
		} else {
			c.fetch.Remove(r.Source)
		}
		c.configs.PutAll(reply.Records)
		c.publish()
		c.forwardStatus()
		c.continueFetch()
	})
}

// fetchRecords requests the evacuated zones and the roll-outs of another node.
func (c *Control) fetchRecords(from string) {
	record, ok := c.members.Set.Get(from)
	if !ok || c.fetchingRecords {
		return
	}
	c.fetchingRecords = true
	p := c.client(record.Addr)
	q := indexQuery{Version: c.snapshotVersion()}
	go func() {
		ctx, cancel := p.WithProgressTimeout(context.Background(), tableRequestTimeout)
		defer cancel()
		reply, err := peer.SendRequest[indexQuery, indexReply](ctx, p, topicTableIndex, q)
		if errors.Is(err, peer.ErrRefused) {
			var all reconcile.Records[acceptance.Config]
			all, err = peer.SendRequest[struct{}, reconcile.Records[acceptance.Config]](ctx, p, topicTable, struct{}{})
			reply.Records = all.Records
		}
		if err != nil {
			c.Log.Debug().Err(err).Str("peer", from).Msg("failed to fetch the evacuated zones")
		}
		c.do(func() {
			c.fetchingRecords = false
			c.configs.PutAll(reply.Records)
			c.publish()
			c.forwardStatus()
		})
	}()
}

const (
	// firstOfferWait is how long a node that starts waits for an offer of a table, and pollInterval the interval at
	// which it checks.
	firstOfferWait = 150 * time.Millisecond
	pollInterval   = 10 * time.Millisecond
	// fetchPatience is the time without progress after which a node that starts no longer waits for other nodes.
	fetchPatience = 500 * time.Millisecond
)

// AwaitTable waits until a table is in force, and returns whether it is. It returns early if no other node offers a
// table soon, or if a fetch of one makes no progress.
func (c *Control) AwaitTable(ctx context.Context) bool {
	c.init()
	began := time.Now()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		var fetching uint64
		var progress time.Time
		if !c.do(func() {
			fetching, _ = c.fetch.Fetching()
			progress = c.fetch.Progress()
		}) {
			return false
		}
		switch {
		case c.snapshotVersion() > 0:
			return true
		case fetching == 0 && time.Since(began) >= firstOfferWait:
			return false
		case fetching > 0 && time.Since(progress) >= fetchPatience:
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
}
