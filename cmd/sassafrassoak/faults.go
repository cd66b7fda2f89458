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
	name string
	at   time.Duration
	last time.Duration
	node int
	// planned is whether it is planned work, during which no request may be cut.
	planned bool
	// limit is that of an upstream, in requests a second.
	limit float64
	// hangup and again are how long after the SIGTERM of a stop a SIGHUP and a second SIGTERM come,
	// 0 for none.
	hangup, again time.Duration
}

// kinds are the faults, with whether they are planned work.
var kinds = map[string]bool{
	"stop":         true,  // SIGTERM, and a start
	"kill":         false, // SIGKILL, and a start
	"pause":        false, // SIGSTOP and SIGCONT
	"hangup":       true,  // SIGHUP
	"linkDelayed":  false,
	"linkSilent":   false,
	"linkOneWay":   false,
	"linkReset":    false,
	"storeDown":    false,
	"storeSilent":  false,
	"storeLost":    false,
	"storeForgets": false,
	"configure":    true,
	"drain":        true,
	restored:       false, // only where it is asked for
	limited:        false, // the same
	leavingTold:    false, // the same
	stopped:        true,  // the same
	burst:          true,  // the same
	linkLoses:      false, // the same
}

// restored has the store come back from a copy, twice in a row.
const restored = "storeRestored"

// names lists the kinds in a fixed order, so that a seed always draws the same.
var names = []string{"stop", "kill", "pause", "hangup", "linkDelayed", "linkSilent", "linkOneWay", "linkReset", "storeDown", "storeSilent", "storeLost", "storeForgets", "configure", "drain"}

// draw returns the faults of a seed. Some come together, and some on one node.
func draw(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	pool := names
	plannedOnly := seed%4 == 0
	if plannedOnly {
		pool = []string{"stop", "hangup", "configure", "drain"}
	}
	var list []fault
	drained := false
	for range 3 + random.IntN(4) {
		f := fault{
			name: pool[random.IntN(len(pool))],
			at:   time.Duration(random.Int64N(int64(duration * 6 / 10))),
			last: 300*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))),
			node: random.IntN(2 * pairs),
		}
		f.planned = kinds[f.name]
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
		name: restored,
		at:   time.Duration(random.Int64N(int64(duration * 3 / 10))),
		last: 300*time.Millisecond + time.Duration(random.Int64N(int64(time.Second))),
	}
}

func (f fault) String() string {
	text := fmt.Sprintf("%s node %d at %v for %v", f.name, f.node, f.at.Round(time.Millisecond), f.last.Round(time.Millisecond))
	if f.hangup > 0 {
		text += fmt.Sprintf(", SIGHUP after %v", f.hangup.Round(time.Millisecond))
	}
	if f.again > 0 {
		text += fmt.Sprintf(", SIGTERM after %v", f.again.Round(time.Millisecond))
	}
	return text
}

// inject does the faults, each at its time, and returns when all are undone.
func (w *world) inject(list []fault) {
	var all sync.WaitGroup
	var storing sync.Mutex
	perNode := make([]sync.Mutex, len(w.nodes))
	for _, f := range list {
		all.Go(func() {
			time.Sleep(f.at)
			n := w.nodes[f.node]
			switch f.name {
			case "stop", "kill", "pause", "hangup", stopped:
				perNode[f.node].Lock() // one process has one signal at a time
				defer perNode[f.node].Unlock()
			case "storeDown", "storeSilent", "storeLost", "storeForgets", restored:
				storing.Lock()
				defer storing.Unlock()
			}
			w.do(f, n)
		})
	}
	all.Wait()
}

// do does one fault and undoes it.
func (w *world) do(f fault, n *node) {
	during := func(m mode) {
		n.link.set(m)
		time.Sleep(f.last)
		n.link.set(open)
	}
	store := func(s platformtest.Faults) {
		w.store.SetFaults(s)
		time.Sleep(f.last)
		w.store.SetFaults(platformtest.Faults{})
	}
	switch f.name {
	case "stop", stopped:
		w.stop(f, n)
	case "kill":
		w.begin(killed, n)
		n.signal(syscall.SIGKILL)
		n.wait(graceTime)
		_ = w.start(n)
	case "pause":
		d := w.begin(paused, n)
		n.signal(syscall.SIGSTOP)
		time.Sleep(f.last)
		n.signal(syscall.SIGCONT)
		w.end(d)
	case "hangup":
		n.awaitStart()
		n.signal(syscall.SIGHUP)
	case "linkDelayed":
		during(delayed)
	case "linkSilent":
		during(silent)
	case "linkOneWay":
		during(oneWay)
	case "linkReset":
		d := w.begin(broken, n)
		during(reset)
		w.end(d)
	case linkLoses:
		n.link.lose()
	case burst:
		w.bursts.Add(1)
		time.Sleep(f.last)
		w.bursts.Add(-1)
	case "storeDown":
		store(platformtest.Faults{Status: http.StatusServiceUnavailable})
	case "storeSilent":
		store(platformtest.Faults{Hang: true})
	case "storeLost":
		store(platformtest.Faults{LoseWriteResponses: true})
	case "storeForgets":
		w.store.SetFaults(platformtest.Faults{SilentWatches: true})
		time.Sleep(f.last / 4)
		w.store.DropHistory()
		w.store.SetFaults(platformtest.Faults{})
	case "configure":
		w.addRoute()
	case restored:
		w.restore(f.last)
		w.restore(f.last)
	case limited:
		n.nameLimit(f.limit, f.last)
	case leavingTold:
		n.upstream.Load().AdvertiseLeaving()
	case "drain":
		n.upstream.Load().Drain()
	}
}

// addRoute has the operator add a route.
func (w *world) addRoute() {
	w.configure(func() { w.routes = append(w.routes, fmt.Sprintf("c%d", len(w.routes))) })
}

// restore has the store be away for a moment and come back from a copy that is older than the
// operator's last word, which the operator writes again a moment later.
func (w *world) restore(last time.Duration) {
	copied := w.store.Snapshot()
	w.addRoute()
	time.Sleep(last)
	w.store.SetFaults(platformtest.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(last / 4)
	w.store.Restore(copied)
	w.store.SetFaults(platformtest.Faults{})
	time.Sleep(last / 2)
	w.configuring.Lock()
	defer w.configuring.Unlock()
	w.writeConfiguration()
}
