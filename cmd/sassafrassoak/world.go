// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

const (
	// heartbeat is the time between two announcements of an upstream.
	heartbeat = 300 * time.Millisecond
	// graceTime is what a node has between SIGTERM and SIGKILL.
	graceTime = 6 * time.Second
	// pairs is the number of nodes of each of the two services.
	pairs = 3
)

// world is the system of one run.
type world struct {
	program string
	dir     string
	store   *platformtest.Store
	server  *httptest.Server
	front   *proxy // of the store
	nodes   []*node
	hosts   int // how many addresses' ports have been given to nodes
	port    int // the last one given to a node
	// configuring is held while the configuration is written. It guards what follows.
	configuring sync.Mutex
	version     int
	routes      []string
	keys        *keyring // nil if no request needs a key
	valid       []string // the keys that the configuration has now
	done        chan struct{}
	stops       bool
	bursts      atomic.Int32 // how many there are now
	doing       sync.Mutex   // held while deeds change
	deeds       []*deed
}

// node is a node with its upstream.
type node struct {
	name, service     string
	caller, control   string
	ready, peer       string
	link              *proxy // of peers to the node
	upstreamAt        string
	config            string
	upstream          atomic.Pointer[platformtest.Upstream]
	drainAcknowledged atomic.Int64 // when, in nanoseconds since 1970, or 0

	limiting sync.Mutex // held while the upstream names a limit
	spans    []span     // in which it did

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	out     bytes.Buffer
	before  int // length of out when the process was started
}

// newWorld starts the system.
func newWorld(o *options, seed uint64) (*world, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	w := &world{
		program: o.program,
		stops:   o.stops,
		dir:     dir,
		store:   &platformtest.Store{Era: 1},
		done:    make(chan struct{}),
		routes:  []string{"a", "b"},
	}
	w.port = firstPort + int(seed%portBlocks)*portsPerSeed
	w.server = httptest.NewServer(w.store)
	if w.front, err = newProxy(w.server.Listener.Addr().String(), 0); err != nil {
		return nil, err
	}
	if o.keys {
		w.keys = &keyring{revoked: make(map[string]time.Time)}
		w.valid = w.keys.add()
		w.routes = append(w.routes, keyedRoute)
	}
	w.configure(func() {})
	for i := range o.nodes {
		service := []string{"a", "b"}[i%2]
		n := &node{name: fmt.Sprintf("n%d", i), service: service}
		w.nodes = append(w.nodes, n)
		if err := w.build(n, seed); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// build starts a node with its upstream.
func (w *world) build(n *node, seed uint64) error {
	u := &platformtest.Upstream{ID: fmt.Sprintf("i-%s-%d", n.name, seed), Service: n.service, Slots: 8, ServiceTime: 15 * time.Millisecond}
	if w.stops {
		u.ServiceTimeFunc = lasts
	}
	var err error
	if n.upstreamAt, err = u.Start(); err != nil {
		return err
	}
	n.upstream.Store(u)
	for _, to := range []*string{&n.caller, &n.control, &n.ready, &n.peer} {
		if *to, err = w.freeAddr(); err != nil {
			return err
		}
	}
	var rate float64 // in Mbit/s
	if w.stops {
		rate = linkRate(seed)
	}
	const bytes = 1e6 / 8 // of a Mbit
	if n.link, err = newProxy(n.peer, rate*bytes); err != nil {
		return err
	}
	n.config = filepath.Join(w.dir, n.name+".yaml")
	text := fmt.Sprintf("dialect: managed\nnode: %s\nregion: r\nzone: z%s\ncallerAddress: %s\npeerAddress: %s\nadvertisedPeerAddress: %s\nannounceAddress: %s\noperatorAddress: %s\nplatformURL: http://%s\nservice: %s\nupstreamAddress: %s\nretryRatio: 0.2\nretrySlack: 60\nreportBytes: 20000\ncontrolBytes: 100000\nplatformCalls: 100\nprocessors: 1\n",
		n.name, n.service, n.caller, n.peer, n.link.addr(), n.control, n.ready, w.front.addr(), n.service, n.upstreamAt)
	if w.stops {
		text += fmt.Sprintf("leaveDelay: 2500ms\nadmitDelay: 1500ms\ngracePeriod: %v\ndrainTimeout: 2500ms\nlinkMbps: %g\n", graceTime, rate)
	} else {
		text += "leaveDelay: 500ms\ndrainTimeout: 4s\n"
	}
	if w.keys != nil {
		text += fmt.Sprintf("revokeWithin: %v\n", revokeWithin)
	}
	if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
		return err
	}
	go w.beat(n)
	return nil
}

const (
	// firstPort and portsPerSeed say which ports the nodes of a seed get. They are
	// below those that the kernel gives to outgoing connections, which may take a
	// port between its choice and the start of the node.
	firstPort    = 11000
	portsPerSeed = 40
	portBlocks   = 500
)

// hosts are the loopback addresses of this process's own, so that runs of one seed at
// the same time don't take each other's ports.
var hosts = fmt.Sprintf("127.%d.%d", 1+os.Getpid()/256%250, os.Getpid()%256)

// mostHosts is the number of hosts.
const mostHosts = 250

// freeAddr returns the next address of the run that nobody listens at.
func (w *world) freeAddr() (string, error) {
	for ; w.hosts < mostHosts; w.hosts++ {
		for w.port++; w.port%portsPerSeed != 0; w.port++ {
			addr := fmt.Sprintf("%s.%d:%d", hosts, 1+w.hosts, w.port)
			if l, err := net.Listen("tcp", addr); err == nil {
				_ = l.Close()
				return addr, nil
			}
		}
		w.port -= portsPerSeed
	}
	return "", errors.New("no free port for a node")
}

// beat announces the upstream until the run ends.
func (w *world) beat(n *node) {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(heartbeat):
		}
		u := n.upstream.Load()
		if u.SendHeartbeat(n.control) && u.Draining() && n.drainAcknowledged.Load() == 0 {
			n.drainAcknowledged.Store(time.Now().UnixNano())
		}
	}
}

// start starts the node's process.
func (w *world) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(w.program, "run", "-config", n.config)
	n.before = n.out.Len()
	cmd.Stdout = &locked{n: n}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process = cmd
	exited := make(chan struct{})
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// locked writes a node's output.
type locked struct{ n *node }

func (l *locked) Write(p []byte) (int, error) {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	return l.n.out.Write(p)
}

// signal sends a signal to the node's process, if it runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// awaitStart waits until the process has told something, for a while: no program catches a signal
// that comes before its runtime has started.
func (n *node) awaitStart() {
	const most, step = 2 * time.Second, 5 * time.Millisecond
	for range most / step {
		n.mu.Lock()
		told := n.out.Len() > n.before
		n.mu.Unlock()
		if told {
			return
		}
		time.Sleep(step)
	}
}

// waitFor waits for the end of the process, for the given time, and returns whether it has ended.
func (n *node) waitFor(most time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(most):
		return false
	}
}

// wait waits for the end of the process, and kills it after the given time.
func (n *node) wait(most time.Duration) {
	for !n.waitFor(most) {
		n.signal(syscall.SIGKILL)
	}
}

// scale returns how many times as many nodes there are as usual.
func (w *world) scale() float64 { return float64(len(w.nodes)) / (2 * pairs) }

// configure makes a change and writes the manifest with all routes, under a new version. All
// but one are public where keys are asked for.
func (w *world) configure(change func()) {
	w.configuring.Lock()
	defer w.configuring.Unlock()
	change()
	w.version++
	w.writeConfiguration()
}

// writeConfiguration writes the manifest with all routes. The lock is held.
func (w *world) writeConfiguration() {
	const usual = time.Second
	timeout, target := usual, 0.3*usual.Seconds()
	if w.stops {
		timeout, target = stopTimeout, usual.Seconds()
	}
	var list []json.RawMessage
	for _, name := range w.routes {
		kind, service := "idempotent", "b"
		if name == "a" {
			kind, service = "non_idempotent", "a"
		}
		list = append(list, json.RawMessage(fmt.Sprintf(`{"name":%q,"pathPrefix":"/%s/","kind":%q,"timeoutS":%g,"targetLatencyS":%g,"priority":1,"service":%q,"maxAttempts":2,"public":%v}`, name, name, kind, timeout.Seconds(), target, service, name != keyedRoute)))
	}
	manifest := map[string]any{
		"version":      fmt.Sprintf("r%d", w.version),
		"services":     []map[string]any{{"name": "a", "healthPath": "/healthz"}, {"name": "b", "healthPath": "/healthz"}},
		"virtualHosts": []map[string]any{{"host": "h.example", "paths": list}},
	}
	if w.keys != nil {
		manifest["tenants"] = []map[string]any{{"name": keyHolder, "apiKeys": w.valid}}
	}
	w.store.Put("config", "main", manifest)
}

// readyNodes returns how many nodes call themselves ready.
func (w *world) readyNodes() int {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	var count int
	for _, n := range w.nodes {
		r, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			count++
		}
	}
	return count
}

// close ends everything that the run has started.
func (w *world) close() {
	close(w.done)
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.wait(graceTime)
		n.link.close()
		n.upstream.Load().Close()
	}
	w.front.close()
	w.server.CloseClientConnections()
	w.server.Close()
	_ = os.RemoveAll(w.dir)
}
