// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"time"
)

const (
	// reuseDelay is the time from the end of a backend to the start of another one at its address.
	reuseDelay = 2500 * time.Millisecond
	// applyTime is how long a node may take until changed settings are in force.
	applyTime = 3 * time.Second
)

// addressOfOtherService has a backend leave, and its address assigned to a backend of another service. The settings of
// the node beside it change accordingly.
func addressOfOtherService(dir string, trouble bool, r *record) ([]string, error) {
	s, err := newSystem(dir, options{nodes: 6}, r)
	if err != nil {
		return nil, err
	}
	defer s.close()
	s.clients = startClients(s.nodes, r)
	time.Sleep(warmUp)
	n, first := s.nodes[0], s.backends[0]
	machineService := service
	if trouble {
		acknowledged := first.drain()
		r.printf("backend %s: its drain is acknowledged at %.3f", first.id, r.at(acknowledged))
		time.Sleep(reuseDelay)
		first.leave()
		first.end("exits")
		time.Sleep(reuseDelay)
		machineService = otherService
		next := s.newBackend(n, first.id+"b", false)
		next.service = otherService
		if err := next.start(); err != nil {
			return nil, err
		}
		s.backends = append(s.backends, next)
		if err := n.hangUp(service, otherService); err != nil {
			return nil, err
		}
	}
	changed := time.Now()
	time.Sleep(10 * time.Second)
	s.clients.end()
	s.recordRequests()
	var broken []string
	for _, b := range s.backends {
		for _, a := range b.seen() {
			q := s.clients.find(a.id)
			if q != nil && q.node == n.name && q.sentAt.After(changed.Add(applyTime)) && a.caller != machineService {
				broken = append(broken, fmt.Sprintf("UNASKED: %s %s began on the machine of %s, whose service is %s, and ran as a request of %s", q.method, q.id, n.name, machineService, a.caller))
			}
		}
	}
	return broken, nil
}
