// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

// fault is something that is done to the system and undone after a while.
type fault struct {
	name     string
	start    time.Duration
	duration time.Duration
	node     int
	// planned is whether it is planned work, during which no request may be cut.
	planned bool
	// limit is that of an upstream, in requests a second.
	limit float64
	// hangup and again are how long after the SIGTERM of a stop a SIGHUP and a second SIGTERM come,
	// 0 for none.
	hangupAfter, termAfter time.Duration
}

// kinds are the faults, with whether they are planned work.
var plannedKinds = map[string]bool{
	"stop":          true,  // SIGTERM, and a start
	"kill":          false, // SIGKILL, and a start
	"pause":         false, // SIGSTOP and SIGCONT
	"hangup":        true,  // SIGHUP
	"linkDelayed":   false,
	"linkSilent":    false,
	"linkOneWay":    false,
	"linkReset":     false,
	"storeDown":     false,
	"storeSilent":   false,
	"storeLost":     false,
	"storeForgets":  false,
	"configure":     true,
	"drain":         true,
	faultRestore:    false, // only where it is asked for
	faultLimit:      false, // the same
	faultLeave:      false, // the same
	faultStopSeries: true,  // the same
	faultBurst:      true,  // the same
	faultPacketLoss: false, // the same
}

// restored has the store come back from a copy, twice in a row.
const faultRestore = "storeRestored"

// names lists the kinds in a fixed order, so that a seed always draws the same.
var defaultKinds = []string{"stop", "kill", "pause", "hangup", "linkDelayed", "linkSilent", "linkOneWay", "linkReset", "storeDown", "storeSilent", "storeLost", "storeForgets", "configure", "drain"}

// draw returns the faults of a seed. Some come together, and some on one node.
func drawFaults(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	pool := defaultKinds
	plannedOnly := seed%4 == 0
	if plannedOnly {
		pool = []string{"stop", "hangup", "configure", "drain"}
	}
	var list []fault
	drained := false
	for range 3 + random.IntN(4) {
		f := fault{
			name:     pool[random.IntN(len(pool))],
			start:    time.Duration(random.Int64N(int64(duration * 6 / 10))),
			duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))),
			node:     random.IntN(2 * nodesPerService),
		}
		f.planned = plannedKinds[f.name]
		if f.name == "drain" {
			if drained {
				continue // one upstream of each service is to be left at least
			}
			drained = true
		}
		list = append(list, f)
	}
	return list
}

// drawRestore returns the restore of a seed, which is drawn apart: the seed's other faults
// stay what they are without it.
func drawRestore(seed uint64, duration time.Duration) fault {
	random := rand.New(rand.NewPCG(seed, 1))
	return fault{
		name:     faultRestore,
		start:    time.Duration(random.Int64N(int64(duration * 3 / 10))),
		duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(time.Second))),
	}
}

func (f fault) String() string {
	text := fmt.Sprintf("%s node %d at %v for %v", f.name, f.node, f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond))
	if f.hangupAfter > 0 {
		text += fmt.Sprintf(", SIGHUP after %v", f.hangupAfter.Round(time.Millisecond))
	}
	if f.termAfter > 0 {
		text += fmt.Sprintf(", SIGTERM after %v", f.termAfter.Round(time.Millisecond))
	}
	return text
}

// inject does the faults, each at its time, and returns when all are undone.
func (c *cluster) inject(list []fault) {
	var all sync.WaitGroup
	var storeMu sync.Mutex
	perNode := make([]sync.Mutex, len(c.nodes))
	for _, f := range list {
		all.Go(func() {
			time.Sleep(f.start)
			n := c.nodes[f.node]
			switch f.name {
			case "stop", "kill", "pause", "hangup", faultStopSeries:
				perNode[f.node].Lock() // one process has one signal at a time
				defer perNode[f.node].Unlock()
			case "storeDown", "storeSilent", "storeLost", "storeForgets", faultRestore:
				storeMu.Lock()
				defer storeMu.Unlock()
			}
			c.apply(f, n)
		})
	}
	all.Wait()
}

// do does one fault and undoes it.
func (c *cluster) apply(f fault, n *node) {
	setMode := func(m mode) {
		n.link.set(m)
		time.Sleep(f.duration)
		n.link.set(modeOpen)
	}
	failStore := func(s platformtest.Faults) {
		c.store.SetFaults(s)
		time.Sleep(f.duration)
		c.store.SetFaults(platformtest.Faults{})
	}
	switch f.name {
	case "stop", faultStopSeries:
		c.stopNode(f, n)
	case "kill":
		c.beginAction(actionKill, n)
		n.signal(syscall.SIGKILL)
		n.waitOrKill(gracePeriod)
		_ = c.start(n)
	case "pause":
		a := c.beginAction(actionPause, n)
		n.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		n.signal(syscall.SIGCONT)
		c.endAction(a)
	case "hangup":
		n.awaitOutput()
		n.signal(syscall.SIGHUP)
	case "linkDelayed":
		setMode(modeDelayed)
	case "linkSilent":
		setMode(modeSilent)
	case "linkOneWay":
		setMode(modeOneWay)
	case "linkReset":
		a := c.beginAction(actionReset, n)
		setMode(modeReset)
		c.endAction(a)
	case faultPacketLoss:
		n.link.losePacket()
	case faultBurst:
		c.bursts.Add(1)
		time.Sleep(f.duration)
		c.bursts.Add(-1)
	case "storeDown":
		failStore(platformtest.Faults{Status: http.StatusServiceUnavailable})
	case "storeSilent":
		failStore(platformtest.Faults{Hang: true})
	case "storeLost":
		failStore(platformtest.Faults{LoseWriteResponses: true})
	case "storeForgets":
		c.store.SetFaults(platformtest.Faults{SilentWatches: true})
		time.Sleep(f.duration / 4)
		c.store.DropHistory()
		c.store.SetFaults(platformtest.Faults{})
	case "configure":
		c.addRoute()
	case faultRestore:
		c.restore(f.duration)
		c.restore(f.duration)
	case faultLimit:
		n.advertiseLimit(f.limit, f.duration)
	case faultLeave:
		n.upstream.Load().AdvertiseLeaving()
	case "drain":
		n.upstream.Load().Drain()
	}
}

// addRoute has the operator add a route.
func (c *cluster) addRoute() {
	c.configure(func() { c.routes = append(c.routes, fmt.Sprintf("c%d", len(c.routes))) })
}

// restore has the store be away for a moment and come back from a copy that is older than the
// operator's last word, which the operator writes again a moment later.
func (c *cluster) restore(duration time.Duration) {
	backup := c.store.Snapshot()
	c.addRoute()
	time.Sleep(duration)
	c.store.SetFaults(platformtest.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(duration / 4)
	c.store.Restore(backup)
	c.store.SetFaults(platformtest.Faults{})
	time.Sleep(duration / 2)
	c.configMu.Lock()
	defer c.configMu.Unlock()
	c.writeConfiguration()
}
