// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"net/http"
	"sync"
	"time"

	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/operator"
)

// evacuationTimes records since when zones have been evacuated, as observed by this node.
type evacuationTimes struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// update applies the set of evacuated zones.
func (e *evacuationTimes) update(s evacuation.Set) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.since
	e.since = make(map[string]time.Time, len(s.Zones))
	for _, zone := range s.Zones {
		at, ok := old[zone]
		if !ok {
			at = time.Now()
		}
		e.since[zone] = at
	}
}

// startOf returns since when a zone has been evacuated.
func (e *evacuationTimes) startOf(zone string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since[zone]
}

// listZones responds with the evacuated zones and the progress of their evacuation.
func (n *Node) listZones(w http.ResponseWriter, _ *http.Request) {
	set := n.control.Snapshot().Evacuated
	remaining := n.control.RemainingUpstreams()
	list := []operator.EvacuatedZone{}
	for _, name := range set.Zones {
		zone := operator.EvacuatedZone{
			Zone:      name,
			Era:       set.At.Era,
			Revision:  set.At.Revision,
			Since:     n.evacuated.startOf(name).UTC(),
			Upstreams: remaining[name],
		}
		if name == n.Settings.Zone {
			running := n.gate.Load().Running
			zone.InFlight = &running
		}
		list = append(list, zone)
	}
	writeJSON(w, list)
}
