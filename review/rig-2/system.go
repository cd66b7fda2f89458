// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// service is the service that the backends belong to, and otherService another one of the manifest.
const (
	service      = "pledgebook"
	otherService = "estatedesk"
)

// startTimeout is how long the nodes may take to be ready.
const startTimeout = 20 * time.Second

// system is a store, some nodes and the backends beside them.
type system struct {
	record   *record
	store    *store
	network  *network // nil if the nodes reach each other directly
	nodes    []*node
	backends []*backend // the first starts, in the order of nodes
	clients  *clients

	clockSteppedAt time.Time // when a machine's time of day last jumped, or zero
}

// freePrefix returns the first three bytes of loopback addresses on which nothing listens at the nodes' ports.
func freePrefix(nodes int) (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 10+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		if isFree(prefix, nodes) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(prefix string, nodes int) bool {
	for host := 1; host <= nodes; host++ {
		for port := portInbound; port <= portProxy; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// options are the properties of a system.
type options struct {
	nodes int
	// born is whether backends tell when they started.
	born bool
	// proxied is whether nodes reach each other through proxies. They then know no seeds, and find each other in the
	// store.
	proxied bool
}

// newSystem starts a system.
func newSystem(dir string, o options, r *record) (*system, error) {
	prefix, err := freePrefix(o.nodes)
	if err != nil {
		return nil, err
	}
	s := &system{record: r}
	if s.store, err = startStore(prefix+".250", r); err != nil {
		return nil, err
	}
	s.store.put("config", "main", manifest())
	hosts := make([]string, o.nodes)
	var seeds []string
	for i := range hosts {
		hosts[i] = fmt.Sprintf("%s.%d", prefix, i+1)
		if !o.proxied && i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", hosts[i], portControl))
		}
	}
	if o.proxied {
		s.network = newNetwork(r)
	}
	for i, host := range hosts {
		name := fmt.Sprintf("sidecar-%d", i+1)
		advertised := ""
		if s.network != nil {
			advertised = fmt.Sprintf("%s:%d", host, portProxy)
			if err := s.network.add(name, advertised, fmt.Sprintf("%s:%d", host, portInbound)); err != nil {
				return nil, err
			}
		}
		zone := []string{"hob-a", "hob-b", "kingston"}[min(i, 2)]
		n, err := newNode(dir, name, host, zone, seeds, s.store.addr, advertised, r)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(true); err != nil {
			return nil, err
		}
	}
	for i, n := range s.nodes {
		b := s.newBackend(n, fmt.Sprintf("i-%04x%d", os.Getpid()&0xffff, i+1), o.born)
		if err := b.start(); err != nil {
			return nil, err
		}
		s.backends = append(s.backends, b)
	}
	return s, s.awaitReady()
}

// newBackend returns a start of the backend beside a node.
func (s *system) newBackend(n *node, id string, born bool) *backend {
	b := &backend{
		record:  s.record,
		id:      id,
		service: service,
		zone:    "hob-a",
		address: n.addr(portBackend),
		control: n.addr(portControl),
	}
	if born {
		b.born = time.Now().UnixMilli()
	}
	return b
}

// manifest is the operator's manifest.
func manifest() any {
	path := func(name, prefix, kind string) any {
		return map[string]any{"name": name, "pathPrefix": prefix, "kind": kind, "timeoutS": 1.2, "targetLatencyS": 0.3, "priority": 1, "service": service, "maxAttempts": 2}
	}
	return map[string]any{
		"version": "r7",
		"services": []any{
			map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false},
			map[string]any{"name": otherService, "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []any{map[string]any{"host": "pledges.example", "paths": []any{
			path("r-lookup", "/lookup/", "idempotent"),
			path("r-record", "/record/", "non_idempotent"),
		}}},
	}
}

// awaitReady waits until all nodes are ready.
func (s *system) awaitReady() error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(s.nodes) {
			s.record.printf("all nodes are ready")
			return nil
		}
	}
	return errors.New("the nodes are not ready in time")
}

// close ends everything that the system has started.
func (s *system) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, b := range s.backends {
		_ = b.server.Close()
	}
	_ = s.store.server.Close()
}

// inTouchSince returns the time from which all nodes are in touch, if nothing else happens: stableWindow after
// the last start of a process, the end of the last outage and the last jump of a clock.
func (s *system) inTouchSince() time.Time {
	latest := s.store.stableSince()
	if s.clockSteppedAt.After(latest) {
		latest = s.clockSteppedAt
	}
	for _, n := range s.nodes {
		if t := n.startedAt(); t.After(latest) {
			latest = t
		}
	}
	return latest.Add(stableWindow)
}
