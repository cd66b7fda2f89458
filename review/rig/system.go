// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// system is a small deployment: machines with nodes and backends, and the store.
type system struct {
	dir      string
	log      *record
	store    *store
	server   *http.Server
	machines []*machine
	clients  *clients

	stopBeats map[*machine]context.CancelFunc
}

// route is a route of the manifest.
type route struct {
	Name           string  `json:"name"`
	PathPrefix     string  `json:"pathPrefix"`
	Kind           string  `json:"kind"`
	TimeoutS       float64 `json:"timeoutS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	MaxAttempts    int     `json:"maxAttempts"`
}

// service is the name of the service of all backends.
const service = "huvo11a"

// newSystem prepares a system of n machines in three zones. Nothing runs yet.
func newSystem(n int, work time.Duration, root, dir string, log *record) (*system, error) {
	list, err := hosts(n + 1)
	if err != nil {
		return nil, err
	}
	s := &system{
		dir:       dir,
		log:       log,
		store:     new(store),
		clients:   &clients{log: log},
		stopBeats: make(map[*machine]context.CancelFunc),
	}
	s.server = &http.Server{
		Addr:    fmt.Sprintf("%s:%d", list[n], portStore),
		Handler: s.store,
	}
	for i, ip := range list[:n] {
		zone := []string{"hob-a", "hob-b", "kingston"}[i%3]
		m := &machine{
			name:   fmt.Sprintf("sidecar-%s-%d", zone, 1+i/3),
			ip:     ip,
			zone:   zone,
			root:   root,
			config: filepath.Join(dir, fmt.Sprintf("node%d.conf", i+1)),
			log:    log,
		}
		m.backend = &backend{
			id:      fmt.Sprintf("i-7f3a91c%d", i+1),
			service: service,
			zone:    zone,
			addr:    m.addr(portApp),
			control: m.addr(portControl),
			work:    work,
			slots:   defaultSlots,
			log:     log,
		}
		s.machines = append(s.machines, m)
	}
	var seeds []string
	for _, m := range s.machines[:min(3, n)] {
		seeds = append(seeds, m.addr(portControl))
	}
	for _, m := range s.machines {
		if m.command, err = deployCommand(root, m.config); err != nil {
			return nil, err
		}
		text, err := renderSettings(root, m.settings(s.server.Addr, seeds))
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(m.config, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// startTimeout bounds the start of a system.
const startTimeout = 15 * time.Second

// start writes the manifest, starts everything and waits until all nodes are ready and every backend
// gets requests.
func (s *system) start(routes ...route) error {
	manifest := map[string]any{
		"version":      "r7",
		"services":     []map[string]any{{"name": service, "healthPath": healthPath, "maxConnections": 260, "protocol": "h1", "tls": false}},
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []map[string]any{{"host": host, "paths": routes}},
	}
	if err := s.store.put("config", "main", manifest); err != nil {
		return err
	}
	go func() { _ = s.server.ListenAndServe() }()
	for _, m := range s.machines {
		if err := m.backend.start(); err != nil {
			return err
		}
		if err := m.startNode(); err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.stopBeats[m] = cancel
		go m.backend.beat(ctx)
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range s.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(s.machines) {
			return s.warm()
		}
	}
	return errors.New("the nodes did not become ready")
}

// warm sends requests until each backend has run one.
func (s *system) warm() error {
	for n := range 200 {
		m := s.machines[n%len(s.machines)]
		s.clients.send(m, http.MethodGet, "/lohu930/2f", time.Second, nil)
		idle := 0
		for _, m := range s.machines {
			if len(m.backend.snapshot()) == 0 {
				idle++
			}
		}
		if idle == 0 {
			s.awaitInTouch()
			return nil
		}
	}
	return errors.New("a backend got no request")
}

// touchMargin is how much longer than necessary the cases wait until all machines are in touch.
const touchMargin = 500 * time.Millisecond

// awaitInTouch waits until all machines are in touch.
func (s *system) awaitInTouch() {
	for _, m := range s.machines {
		time.Sleep(time.Until(m.started.Add(stableWindow + touchMargin)))
	}
	s.log.add("all machines are in touch")
}

// stop ends everything that the system has started.
func (s *system) stop() {
	for _, m := range s.machines {
		if cancel := s.stopBeats[m]; cancel != nil {
			cancel()
		}
		m.kill()
		if m.backend.server != nil {
			m.backend.exit()
		}
	}
	_ = s.server.Close()
}
