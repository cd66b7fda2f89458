// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/chunk"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/tablefetch"
)

const (
	// chunkReplyBytes is the size of the chunks in one reply, unless a single one is larger.
	chunkReplyBytes = 16 << 10
	// keptTables is the number of tables, the active one included, whose chunks are kept: other nodes may
	// still be fetching the ones before it.
	keptTables = 3
)

// errUnknownTable is the error of requests for chunks of a table that a node does not have.
var errUnknownTable = eris.New("no part of this table")

// keptTable is a version of the table in chunks.
type keptTable struct {
	version uint64
	*chunk.Object
}

// keepTable makes the chunks of a table that is in force available to other nodes.
func (c *Control) keepTable(version uint64, o *chunk.Object) {
	c.kept = append([]keptTable{{
		version: version,
		Object:  o,
	}}, c.kept[:min(len(c.kept), keptTables-1)]...)
	c.fetch.SetActive(version, c.keptObjects()...)
}

// keptObjects returns the chunks of the kept tables.
func (c *Control) keptObjects() (list []*chunk.Object) {
	for _, k := range c.kept {
		list = append(list, k.Object)
	}
	return list
}

// latestOffer returns the offer of the latest version of which this node has the index, and that index.
func (c *Control) latestOffer() (tableOffer, chunk.Index) {
	if a := c.fetch.Assembly(); a != nil {
		version, _ := c.fetch.Fetching()
		return tableOffer{
			Version: version,
			Root:    a.Root().Raw(),
		}, a.Index()
	}
	if len(c.kept) == 0 {
		return tableOffer{}, nil
	}
	active := c.kept[0]
	return tableOffer{
		Version:  active.version,
		Root:     active.Root().Raw(),
		Complete: true,
	}, active.Index()
}

// handleTable handles the requests about parts of tables. The second result is false for other topics.
func (c *Control) handleTable(from peer.Hello, topic string, payload []byte) (reply any, ok bool, err error) {
	switch topic {
	case topicTableOffer:
		o, err := peer.Unpack[tableOffer](payload)
		if err == nil {
			err = c.receiveOffer(from.Node, o)
		}
		return nil, true, err
	case topicTableIndex:
		q, err := peer.Unpack[indexQuery](payload)
		if err != nil {
			return nil, true, err
		}
		return c.replyIndex(q), true, nil
	case topicTableChunks:
		q, err := peer.Unpack[chunksQuery](payload)
		if err != nil {
			return nil, true, err
		}
		reply, err := c.replyChunks(q)
		return reply, true, err
	}
	return nil, false, nil
}

// replyIndex handles an indexQuery.
func (c *Control) replyIndex(q indexQuery) indexReply {
	offer, index := c.latestOffer()
	reply := indexReply{
		Offer:   offer,
		Records: c.configs.Get(append(c.rolloutNames(), c.zoneRecordNames()...)),
	}
	if offer.Version <= q.Version {
		return reply
	}
	base, err := c.indexOf(q.Base)
	reply.Based = err == nil
	reply.Patch = index.Diff(base)
	return reply
}

// replyChunks handles a chunksQuery.
func (c *Control) replyChunks(q chunksQuery) (chunksReply, error) {
	offer, _ := c.latestOffer()
	reply := chunksReply{Offer: offer}
	chunkAt, count := c.chunksOf(q.Root)
	if chunkAt == nil {
		return reply, errUnknownTable
	}
	if wait := c.linkBusy(); wait > 0 {
		reply.RetryAfter = wait
		return reply, nil
	}
	size := 0
	for _, i := range q.Want {
		if i < 0 || i >= count {
			return reply, eris.Errorf("chunk %d of %d", i, count)
		}
		data := chunkAt(i)
		if data == nil || size > 0 && size+len(data) > chunkReplyBytes {
			continue
		}
		size += len(data)
		reply.Parts = append(reply.Parts, tablefetch.Part{
			Position: i,
			Data:     data,
		})
	}
	c.takeLink(size)
	return reply, nil
}

// chunksOf returns a function that returns the chunks of a table by the digest of its index, and their number. The
// function is nil if there is no such table, and returns nil for a chunk that is missing.
func (c *Control) chunksOf(root string) (chunkAt func(int) []byte, count int) {
	if a := c.fetch.Assembly(); a != nil && a.Root().Raw() == root {
		return a.Chunk, len(a.Index())
	}
	for _, k := range c.kept {
		if k.Root().Raw() == root {
			return k.Chunk, len(k.Index())
		}
	}
	return nil, 0
}

// linkBusy returns the time until chunks may be sent again. What is sent of tables must leave most of the link to
// requests, so chunks for several nodes are sent one after the other.
func (c *Control) linkBusy() time.Duration { return time.Until(c.linkFreeAt) }

// slowLinkShare is the fraction of a slow link that is used to send chunks.
const slowLinkShare = 0.25

// takeLink records that chunks of the given size are sent. Over a slow link few are sent, so that the node's own requests for
// chunks do not wait behind them: other nodes have other sources.
func (c *Control) takeLink(size int) {
	bandwidth := c.TableBandwidth
	if rate := slowLinkShare * c.fetch.SlowRate(); rate > 0 && (bandwidth == 0 || rate < bandwidth) {
		bandwidth = rate
	}
	if bandwidth > 0 {
		c.linkFreeAt = time.Now().Add(time.Duration(float64(size) / bandwidth * float64(time.Second)))
	}
}
