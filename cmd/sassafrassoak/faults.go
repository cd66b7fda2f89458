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

// fault is a fault that is injected at some time and reverted after a duration.
type fault struct {
	name     string
	start    time.Duration
	duration time.Duration
	node     int
	// planned is whether the fault is planned work, which must not interrupt any request.
	planned bool
	// limit is the limit that an upstream advertises, in requests per second.
	limit float64
	// hangupAfter and termAfter are the delays of a SIGHUP and a second SIGTERM after the
	// SIGTERM of a stop, 0 for none.
	hangupAfter, termAfter time.Duration
	// departure is how an upstream departs, or nil.
	departure *departure
}

// plannedKinds holds for each kind of fault whether it is planned work.
var plannedKinds = map[string]bool{
	"stop":          true,  // SIGTERM, then restart
	"kill":          false, // SIGKILL, then restart
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
	faultRestore:    false, // drawn only with -restore
	faultLimit:      false, // drawn only with -limits
	faultLeave:      false, // drawn only with -limits
	faultStopSeries: true,  // drawn only with -stops
	faultBurst:      true,  // drawn only with -stops
	faultPacketLoss: false, // drawn only with -stops

	faultDepart: true, // drawn only with -departures

	faultConnsSilent:      false, // drawn only with -silences
	faultStoreConnsSilent: false, // drawn only with -silences
}

// faultRestore restores the store from a backup, twice in a row.
const faultRestore = "storeRestored"

// defaultKinds lists the kinds that are drawn without further flags. Their order is fixed, so that a
// seed always draws the same faults.
var defaultKinds = []string{"stop", "kill", "pause", "hangup", "linkDelayed", "linkSilent", "linkOneWay", "linkReset", "storeDown", "storeSilent", "storeLost", "storeForgets", "configure", "drain"}

// drawFaults returns the faults of a seed. Several may overlap or affect the same node.
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
				continue // each service must keep an upstream that is not draining
			}
			drained = true
		}
		list = append(list, f)
	}
	return list
}

// drawRestore returns the restore of a seed. It uses a random stream of its own, so that the
// seed's other faults are the same with and without it.
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
	if f.departure != nil {
		text += fmt.Sprintf(", %+v", *f.departure)
	}
	return text
}

// inject applies each fault at its time and returns when all are reverted.
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
				perNode[f.node].Lock() // at most one of these faults per process at a time
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

// apply applies a fault and reverts it after its duration.
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
	case faultConnsSilent:
		n.link.silenceOpen()
	case faultStoreConnsSilent:
		c.storeProxy.silenceOpen()
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
	case faultDepart:
		c.depart(f.departure, n)
	case "drain":
		n.upstream.Load().Drain()
	}
}

// addRoute writes a configuration with one more route, as an operator does.
func (c *cluster) addRoute() {
	c.configure(func() { c.routes = append(c.routes, fmt.Sprintf("c%d", len(c.routes))) })
}

// restore makes the store unavailable for a moment and then restores it from a backup that
// lacks the operator's latest write, which the operator repeats a moment later.
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
