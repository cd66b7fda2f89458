// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"time"

	"sassafrasfront.example/follow"
	"sassafrasfront.example/objectapi"
)

// reader reads the table of routes.
func (n *Node) reader(api objectapi.Polled) *objectapi.Reader {
	return &objectapi.Reader{
		API:   api,
		Kind:  n.Platform.Kind,
		Found: n.tableFound,
	}
}

// follow keeps up with the table of routes until ctx ends: it reads the platform when
// it is this node's turn. The first read is a cheap one, so that a node that starts has
// a table at once; what has changed since comes with the next.
func (n *Node) follow(ctx context.Context, r *objectapi.Reader) {
	if err := r.First(ctx); err != nil {
		n.Log.Warn().Err(err).Msg("configuration not read")
	}
	for ctx.Err() == nil {
		action, after, watchFor := n.control.Next()
		switch action {
		case follow.Wait:
			n.rest(ctx, after)
		case follow.Ask:
			n.control.AskNews(ctx)
		case follow.Read:
			n.read(ctx, r, 0)
		case follow.Watch:
			n.read(ctx, r, watchFor)
		}
	}
}

// longestRest is the longest time until a node looks anew whether it is its turn: it
// may have become the leader.
const longestRest = 300 * time.Millisecond

// rest waits until there is news, or for the given time.
func (n *Node) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(min(d, longestRest))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.control.Heard():
	case <-t.C:
	}
}

// read makes one read. What the platform says at the end of a wait without a change
// held until then, but for the time that the answer took.
func (n *Node) read(ctx context.Context, r *objectapi.Reader, wait time.Duration) {
	began := time.Now()
	err := r.Read(ctx, wait)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.Log.Warn().Err(err).Msg("configuration not read")
	}
	n.control.Read(err == nil, max(0, time.Since(began)-wait))
}
