// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package contact

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/rs/zerolog"

	"sassafrasfront.example/objectapi"
)

// Kind is the kind of the objects.
const Kind = "contact"

// Entry is the spec of an object, which has the node's name.
type Entry struct {
	// Address is where the node takes peer connections.
	Address string `json:"address"`
	// Zone is the node's availability zone.
	Zone string `json:"zone"`
}

// Book is the nodes' addresses as the platform holds them. The exported fields
// are set before the first call.
type Book struct {
	// API is the platform.
	API objectapi.API
	// Node and Entry are what this node registers.
	Node  string
	Entry Entry
	// Log takes the failures.
	Log zerolog.Logger

	mu   sync.Mutex
	done bool // whether this node's object is as it should be
}

// Addresses registers this node, if that has not been done yet, and returns the
// addresses of other nodes in random order, those of the node's own zone first.
// It returns none if the platform does not answer.
func (b *Book) Addresses(ctx context.Context) []string {
	list, err := b.list(ctx)
	if err != nil {
		b.Log.Warn().Err(err).Msg("contacts not read")
		return nil
	}
	var near, far []string
	var present *objectapi.Object
	for _, o := range list.Items {
		e, err := objectapi.SpecOf[Entry](o)
		switch {
		case err != nil:
			b.Log.Warn().Err(err).Msg("contact can't be read")
		case o.Metadata.Name == b.Node:
			present = o
		case e.Zone == b.Entry.Zone:
			near = append(near, e.Address)
		default:
			far = append(far, e.Address)
		}
	}
	b.register(ctx, present)
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

// list reads the book. Once this node stands in it, nodes that came since may be
// found a little later, which costs less.
func (b *Book) list(ctx context.Context) (*objectapi.List, error) {
	b.mu.Lock()
	done := b.done
	b.mu.Unlock()
	if done {
		return b.API.ListStale(ctx, Kind)
	}
	return b.API.List(ctx, Kind)
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// register writes this node's object unless it is as it should be.
func (b *Book) register(ctx context.Context, present *objectapi.Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	o := objectapi.NewObject(Kind, b.Node, b.Entry)
	var err error
	if present == nil {
		_, err = b.API.Create(ctx, o)
	} else if e, _ := objectapi.SpecOf[Entry](present); e != b.Entry {
		_, err = b.API.Update(ctx, o.WithVersion(present.Metadata.ResourceVersion))
	}
	if err != nil && !objectapi.IsConflict(err) {
		b.Log.Warn().Err(err).Msg("contact not written")
		return
	}
	b.done = err == nil
}
