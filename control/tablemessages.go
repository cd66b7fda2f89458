// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"time"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/chunk"
	"sassafrasfront.example/tablefetch"
)

// The topics by which nodes fetch tables of routes from each other.
const (
	// topicTableOffer offers a version of the table, unsolicited.
	topicTableOffer = "tableOffer"
	// topicTableIndex requests the index of a version of the table, and the records that belong to it.
	topicTableIndex = "tableIndex"
	// topicTableChunks requests chunks of a version of the table.
	topicTableChunks = "tableChunks"
)

// tableOffer offers a version of the table of routes.
type tableOffer struct {
	Version  uint64 `msgpack:"version"`
	Root     string `msgpack:"root,omitempty"`
	Complete bool   `msgpack:"complete,omitempty"`
}

// offer returns o in the form that tablefetch uses.
func (o tableOffer) offer() (tablefetch.Offer, error) {
	root, err := chunk.ParseDigest(o.Root)
	return tablefetch.Offer{
		Version:  o.Version,
		Root:     root,
		Complete: o.Complete,
	}, err
}

// indexQuery requests the index of the latest version of the table of which the receiver has a part.
type indexQuery struct {
	// Version is the sender's version.
	Version uint64 `msgpack:"version"`
	// Base is the digest of an index that the sender has, if any.
	Base string `msgpack:"base,omitempty"`
}

// indexReply is the reply to an indexQuery.
type indexReply struct {
	Offer tableOffer `msgpack:"offer"`
	// Patch makes the index from that of the sender's base, or from an empty one if Based is false. It is
	// empty if the receiver has no later version than the sender.
	Based bool        `msgpack:"based,omitempty"`
	Patch chunk.Patch `msgpack:"patch,omitempty"`
	// Records are the evacuated zones and the roll-outs.
	Records []acceptance.Config `msgpack:"records,omitempty"`
}

// chunksQuery requests chunks of the table whose index has the given digest.
type chunksQuery struct {
	Root string `msgpack:"root"`
	Want []int  `msgpack:"want"`
}

// chunksReply is the reply to a chunksQuery, with some of the wanted chunks.
type chunksReply struct {
	Parts []tablefetch.Part `msgpack:"parts,omitempty"`
	// Offer is the latest version of which the receiver has a part.
	Offer tableOffer `msgpack:"offer"`
	// RetryAfter is the time after which the link has room for the next chunks, if that is why there are none.
	RetryAfter time.Duration `msgpack:"retryAfter,omitempty"`
}
