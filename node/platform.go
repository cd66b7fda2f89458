// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sassafrasfront.example/contact"
	"sassafrasfront.example/internal/tcp"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/upstream"
)

// Platform is what a node has to know of a platform whose configuration is one
// table of routes. The exported fields are set before Run.
type Platform struct {
	// Names are the header fields that callers and upstreams use.
	Names upstream.Names
	// API returns the object API, given what makes its calls, what says how long
	// the next watch is to be, and what says how long to wait after a change before
	// that watch.
	API func(c *objectapi.Caller, watchFor, gather func() time.Duration) objectapi.API
	// Kind and Name are those of the object that holds the table.
	Kind, Name string
	// Table decodes that object.
	Table func(o *objectapi.Object) (*routes.Table, error)
	// Announce returns the handler of the calls by which the upstream announces
	// itself.
	Announce func(to *upstream.Announcements) http.Handler
}

const (
	// peerSilence is how long a node that owes an answer may be silent, pings
	// included, and peerHandshake bounds the opening of a connection to it. A node
	// whose instance has died is silent; callers have 400 ms and more. A node whose
	// processor is allotted by the tenth of a second answers well within that, and
	// so does one behind a link that loses a packet, whose first repetition comes
	// after 200 ms.
	peerSilence   = 600 * time.Millisecond
	peerHandshake = 400 * time.Millisecond
	// scoutWatch is the length of the watches of a zone's scout, and idleWatch
	// that of the other nodes'. A store that has dropped its history may leave a
	// watch open that hears nothing more; a change has to be in force two seconds
	// after it was made, so a scout asks anew well within that.
	scoutWatch = 800 * time.Millisecond
	idleWatch  = 28 * time.Second
	// gatherChanges is how long a node that is no scout waits after a change before
	// it watches again, so that changes in quick succession cost it few calls. Scouts
	// push them to it meanwhile; one that no other node reaches still has a change in
	// force well within the two seconds that it has.
	gatherChanges = 1200 * time.Millisecond
	// storeTimeout bounds a call to the platform other than a watch. A store that
	// is slowed down sixtyfold answers in a quarter of that.
	storeTimeout = time.Second
	// storeBackoff is the longest wait before the platform is asked again after a
	// failure: a change has to be in force within two seconds of its return.
	storeBackoff = 500 * time.Millisecond
	// keepAliveIdle and keepAliveEvery find a connection to the platform that a
	// partition has silenced, within keepAliveCount tries.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
)

// storeClient returns what makes the calls to the platform.
func (n *Node) storeClient() *objectapi.Caller {
	dialer := tcp.Dialer(storeTimeout, storeTimeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveEvery,
		Count:    keepAliveCount,
	}
	return &objectapi.Caller{
		URL:     n.Settings.PlatformURL,
		Timeout: storeTimeout,
		Skipped: n.objectSkipped,
		Budget:  rate.NewLimiter(rate.Limit(n.Settings.PlatformCalls), int(n.Settings.PlatformCalls)),
		HTTP: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableCompression: true,
				MaxIdleConns:       2,
			},
		},
	}
}

// skippedLines is the most log lines of objects that can't be read, per second.
const skippedLines = 5

// objectSkipped logs why an object of the platform is left out.
func (n *Node) objectSkipped(reason error) {
	if n.lines.Allow("object", skippedLines, 1) {
		n.Log.Warn().Err(reason).Msg("object left out")
	}
}

// follow keeps up with the table of routes until ctx ends.
func (n *Node) follow(ctx context.Context, api objectapi.API) {
	f := &objectapi.Follower{
		API:        api,
		Kind:       n.Platform.Kind,
		MaxBackoff: storeBackoff,
		Listed: func(l *objectapi.List) {
			n.control.Sighted(true)
			for _, o := range l.Items {
				n.tableFound(o)
			}
		},
		Changed: func(e objectapi.Event) {
			if e.Type != objectapi.Deleted {
				n.tableFound(e.Object)
			}
		},
		Failed: func(err error) {
			n.Log.Warn().Err(err).Msg("configuration not read")
			n.control.Sighted(false)
		},
	}
	for ctx.Err() == nil {
		n.followOnce(ctx, f)
	}
}

// scoutCheck is how often a node looks whether it has become the scout.
const scoutCheck = 200 * time.Millisecond

// followOnce follows until the node becomes its zone's scout, or ctx ends. A node
// that becomes the scout asks anew: its watch, meant to last for long, may be one
// that hears nothing more.
func (n *Node) followOnce(ctx context.Context, f *objectapi.Follower) {
	ctx, cancel := context.WithCancel(ctx)
	var ran sync.WaitGroup
	ran.Go(func() { f.Run(ctx) })
	defer ran.Wait()
	defer cancel()
	tick := time.NewTicker(scoutCheck)
	defer tick.Stop()
	was := true // at the start the watch is new in any case
	for next(ctx, tick) {
		is := n.control.Scout()
		if is && !was {
			return
		}
		was = is
	}
}

// tableFound takes in an object of the table's kind.
func (n *Node) tableFound(o *objectapi.Object) {
	if o.Metadata.Name != n.Platform.Name {
		return
	}
	t, err := n.Platform.Table(o)
	if err != nil {
		n.Log.Error().Err(err).Str("revision", o.Metadata.ResourceVersion).Msg("configuration refused")
		return
	}
	n.control.Configure(t, n.control.Scout())
}

// gather returns how long to wait after a change before the next watch.
func (n *Node) gather() time.Duration {
	if n.control.Scout() {
		return 0
	}
	return gatherChanges
}

// watchFor returns how long the next watch is to be.
func (n *Node) watchFor() time.Duration {
	if n.control.Scout() {
		return scoutWatch
	}
	return idleWatch
}

// book returns the nodes' addresses as the platform holds them.
func (n *Node) book(api objectapi.API) *contact.Book {
	return &contact.Book{
		API:  api,
		Node: n.Settings.Node,
		Entry: contact.Entry{
			Address: n.Settings.PeerAt(),
			Zone:    n.Settings.Zone,
		},
		Log: n.Log,
	}
}
