// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

// faultDepart has the upstream of a node drain or leave for good.
const faultDepart = "depart"

// departure is how an upstream departs.
type departure struct {
	// leaves is whether it sends its leave and then nothing; otherwise it announces that it drains.
	leaves bool
	// repeats is whether it goes on to announce that it drains.
	repeats bool
	// healthy is whether its health check stays good.
	healthy bool
	// late are the times after the acknowledgement at which heartbeats of before arrive.
	late []time.Duration
}

// departed is an upstream whose departure was acknowledged.
type departed struct {
	node           string
	upstream       *platformtest.Upstream
	acknowledgedAt time.Time
}

const (
	// maxLateness bounds the delay of a late heartbeat, and acknowledgeAttempts how often an upstream
	// tries to announce its departure.
	maxLateness         = 4 * time.Second
	acknowledgeAttempts = 10
	// waitingUploadPause is the mean time between two uploads of a node whose bodies begin late.
	waitingUploadPause = 100 * time.Millisecond
)

// drawDepartures returns the departures of a seed, one upstream of each service, and what happens to
// the nodes meanwhile, from a random stream of their own.
func drawDepartures(seed uint64, duration time.Duration, nodes int) []fault {
	random := rand.New(rand.NewPCG(seed, 7))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var list []fault
	for service := range 2 {
		f := fault{
			name:      faultDepart,
			start:     between(0, duration/4),
			node:      service + 2*random.IntN(nodes/2),
			departure: new(departure),
			planned:   true,
		}
		f.departure.leaves = random.IntN(2) == 0
		f.departure.repeats = random.IntN(2) == 0
		f.departure.healthy = random.IntN(3) > 0
		for range 1 + random.IntN(3) {
			f.departure.late = append(f.departure.late, between(0, maxLateness))
		}
		list = append(list, f)
		affected := []int{f.node}
		if random.IntN(6) == 0 {
			affected = random.Perm(nodes) // all nodes at once
		}
		at := f.start + between(0, 1500*time.Millisecond)
		for range 1 + random.IntN(2) {
			kind := []string{"kill", "kill", "stop", "pause"}[random.IntN(4)]
			length := between(300*time.Millisecond, 3*time.Second)
			for _, node := range affected {
				list = append(list, fault{
					name:     kind,
					start:    at,
					duration: length,
					node:     node,
					planned:  plannedKinds[kind],
				})
			}
			at += between(100*time.Millisecond, 2*time.Second)
		}
		if random.IntN(4) == 0 {
			list = append(list, fault{
				name:     []string{"storeDown", "storeSilent"}[random.IntN(2)],
				start:    max(0, f.start-between(0, 500*time.Millisecond)),
				duration: between(500*time.Millisecond, 3*time.Second),
			})
		}
	}
	return list
}

// depart has the upstream of a node depart, and sends late heartbeats of before.
func (c *cluster) depart(d *departure, n *node) {
	u := n.upstream.Load()
	var late []func(address string) bool
	for range d.late {
		late = append(late, u.PrepareHeartbeat("ready"))
	}
	n.heartbeatsStopped.Store(true)
	if !d.healthy {
		u.Drain()
	}
	announce := func() bool {
		if d.leaves {
			return u.SendLeave(n.announceAddr)
		}
		return u.PrepareHeartbeat("draining")(n.announceAddr)
	}
	acknowledged := false
	for range acknowledgeAttempts {
		if acknowledged = announce(); acknowledged {
			break
		}
		time.Sleep(heartbeatInterval)
	}
	if !acknowledged {
		return
	}
	at := time.Now()
	c.actionsMu.Lock()
	c.departed = append(c.departed, departed{
		node:           n.name,
		upstream:       u,
		acknowledgedAt: at,
	})
	c.actionsMu.Unlock()
	for i, after := range d.late {
		time.AfterFunc(after, func() { late[i](n.announceAddr) })
	}
	for d.repeats && !d.leaves && time.Since(at) < maxLateness {
		time.Sleep(heartbeatInterval)
		_ = announce() // its node may be down
	}
	time.Sleep(time.Until(at.Add(maxLateness)))
}

// checkDepartures finds requests that reached an upstream more than drainBound after its departure was
// acknowledged. If safetyOnly is set, only those count that were sent after that, which holds however
// slow the machine is.
func (c *cluster) checkDepartures(list []outcome, safetyOnly bool) []string {
	c.actionsMu.Lock()
	defer c.actionsMu.Unlock()
	sentAt := make(map[string]time.Time)
	for _, o := range list {
		sentAt[o.id] = o.sentAt
	}
	var violations []string
	for _, d := range c.departed {
		bound := d.acknowledgedAt.Add(drainBound)
		for _, a := range d.upstream.Arrivals() {
			at := a.At
			if safetyOnly {
				at = sentAt[a.ID]
			}
			if a.ID != "" && at.After(bound) {
				violations = append(violations, fmt.Sprintf("departed upstream of %s got request %s, %v after the bound", d.node, a.ID, at.Sub(bound)))
			}
		}
	}
	return violations
}

// runWaitingUploads sends uploads to a node whose bodies begin late, until stop is closed, and waits for
// their responses.
func (c *cluster) runWaitingUploads(n *node, results *recorder, stop chan struct{}, name string, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(waitingUploadPause) * c.scale() * random.ExpFloat64())):
		}
		o := outcome{
			id:        fmt.Sprintf("%s-%d", name, i),
			route:     []string{"a", "b"}[random.IntN(2)],
			deadline:  stopTimeout,
			bodyAfter: time.Duration(random.Int64N(int64(3 * time.Second))),
			chunked:   true,
		}
		all.Go(func() { results.add(send(client, n, o)) })
	}
}
