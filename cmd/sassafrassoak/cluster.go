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
	// heartbeatInterval is the time between two announcements of an upstream.
	heartbeatInterval = 300 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 6 * time.Second
	// nodesPerService is the default number of nodes of each of the two services.
	nodesPerService = 3
)

// cluster is the system of one run.
type cluster struct {
	nodeProgram string
	dir         string
	store       *platformtest.Store
	server      *httptest.Server
	storeProxy  *proxy // in front of the store
	nodes       []*node
	usedHosts   int // number of addresses whose ports are used up
	lastPort    int // last port given to a node
	// configMu is held while the configuration is written. It guards version, routes, unused and currentKeys.
	configMu    sync.Mutex
	version     int
	routes      []string
	unused      int      // routes in the table that no request is for
	keys        *keyring // nil if no route requires a key
	currentKeys []string // keys in the latest configuration
	done        chan struct{}
	stops       bool
	departures  bool
	perChange   int          // unused routes that each change adds
	bursts      atomic.Int32 // number of bursts in progress
	actionsMu   sync.Mutex   // guards actions and departed
	actions     []*action
	departed    []departed
}

// node is a node and the upstream beside it.
type node struct {
	name, service            string
	callerAddr, announceAddr string
	operatorAddr, peerAddr   string
	link                     *proxy // from peers to the node
	upstreamAddr             string
	configFile               string
	upstream                 atomic.Pointer[platformtest.Upstream]
	drainAcknowledged        atomic.Int64 // in Unix nanoseconds, or 0
	heartbeatsStopped        atomic.Bool  // whether the upstream sends no regular heartbeats

	limitMu    sync.Mutex  // held while the upstream advertises a limit
	limitSpans []limitSpan // when it did

	mu            sync.Mutex
	process       *exec.Cmd
	exited        chan struct{}
	out           bytes.Buffer
	outputAtStart int // length of out when the process was started
}

// newCluster starts the store and the upstreams, and prepares the nodes.
func newCluster(o *options, seed uint64) (*cluster, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		nodeProgram: o.nodeProgram,
		stops:       o.stops,
		departures:  o.departures,
		perChange:   o.routes,
		dir:         dir,
		store:       &platformtest.Store{Era: 1},
		done:        make(chan struct{}),
		routes:      []string{"a", "b"},
	}
	c.lastPort = firstPort + int(seed%portBlocks)*portsPerSeed
	c.server = httptest.NewServer(c.store)
	if c.storeProxy, err = newProxy(c.server.Listener.Addr().String(), 0); err != nil {
		return nil, err
	}
	if o.keys {
		c.keys = &keyring{revoked: make(map[string]time.Time)}
		c.currentKeys = c.keys.add()
		c.routes = append(c.routes, keyedRoute)
	}
	c.configure(func() {})
	for i := range o.nodes {
		service := []string{"a", "b"}[i%2]
		n := &node{name: fmt.Sprintf("n%d", i), service: service}
		c.nodes = append(c.nodes, n)
		if err := c.prepare(n, seed); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// prepare starts the upstream of a node and writes the node's settings.
func (c *cluster) prepare(n *node, seed uint64) error {
	u := &platformtest.Upstream{ID: fmt.Sprintf("i-%s-%d", n.name, seed), Service: n.service, Slots: 8, ServiceTime: 15 * time.Millisecond}
	if c.stops {
		u.ServiceTimeFunc = serviceTimeOf
	}
	var err error
	if n.upstreamAddr, err = u.Start(); err != nil {
		return err
	}
	n.upstream.Store(u)
	for _, addr := range []*string{&n.callerAddr, &n.announceAddr, &n.operatorAddr, &n.peerAddr} {
		if *addr, err = c.freeAddr(); err != nil {
			return err
		}
	}
	var linkMbps float64 // 0 for no limit
	if c.stops {
		linkMbps = linkRate(seed)
	}
	const bytesPerMbit = 1e6 / 8
	if n.link, err = newProxy(n.peerAddr, linkMbps*bytesPerMbit); err != nil {
		return err
	}
	n.configFile = filepath.Join(c.dir, n.name+".yaml")
	content := fmt.Sprintf("dialect: managed\nnode: %s\nregion: r\nzone: z%s\ncallerAddress: %s\npeerAddress: %s\nadvertisedPeerAddress: %s\nannounceAddress: %s\noperatorAddress: %s\nplatformURL: http://%s\nservice: %s\nupstreamAddress: %s\nretryRatio: 0.2\nretrySlack: 60\nreportBytes: 20000\ncontrolBytes: 100000\nplatformCalls: 100\nprocessors: 1\n",
		n.name, n.service, n.callerAddr, n.peerAddr, n.link.addr(), n.announceAddr, n.operatorAddr, c.storeProxy.addr(), n.service, n.upstreamAddr)
	if c.stops {
		content += fmt.Sprintf("leaveDelay: 2500ms\nadmitDelay: 1500ms\ngracePeriod: %v\ndrainTimeout: 2500ms\nlinkMbps: %g\n", gracePeriod, linkMbps)
	} else {
		content += "leaveDelay: 500ms\ndrainTimeout: 4s\n"
	}
	if c.keys != nil {
		content += fmt.Sprintf("revokeWithin: %v\n", maxRevokeDelay)
	}
	if err := os.WriteFile(n.configFile, []byte(content), 0o600); err != nil {
		return err
	}
	go c.announce(n)
	return nil
}

const (
	// firstPort, portsPerSeed and portBlocks determine the ports of a seed's nodes. They are
	// below the kernel's ephemeral range: an outgoing connection could otherwise take a port
	// after it was chosen and before the node listens on it.
	firstPort    = 11000
	portsPerSeed = 40
	portBlocks   = 500
)

// hostPrefix is the prefix of loopback addresses that only this process uses, so that
// concurrent runs of the same seed do not take each other's ports.
var hostPrefix = fmt.Sprintf("127.%d.%d", 1+os.Getpid()/256%250, os.Getpid()%256)

// maxHosts is the number of addresses with hostPrefix that may be used.
const maxHosts = 250

// freeAddr returns the next address of the run that has no listener.
func (c *cluster) freeAddr() (string, error) {
	for ; c.usedHosts < maxHosts; c.usedHosts++ {
		for c.lastPort++; c.lastPort%portsPerSeed != 0; c.lastPort++ {
			addr := fmt.Sprintf("%s.%d:%d", hostPrefix, 1+c.usedHosts, c.lastPort)
			if l, err := net.Listen("tcp", addr); err == nil {
				_ = l.Close()
				return addr, nil
			}
		}
		c.lastPort -= portsPerSeed
	}
	return "", errors.New("no free port for a node")
}

// announce announces the upstream of a node periodically until the run ends.
func (c *cluster) announce(n *node) {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(heartbeatInterval):
		}
		if n.heartbeatsStopped.Load() {
			continue
		}
		u := n.upstream.Load()
		if u.SendHeartbeat(n.announceAddr) && u.Draining() && n.drainAcknowledged.Load() == 0 {
			n.drainAcknowledged.Store(time.Now().UnixNano())
		}
	}
}

// start starts the node's process.
func (c *cluster) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(c.nodeProgram, "run", "-config", n.configFile)
	n.outputAtStart = n.out.Len()
	cmd.Stdout = &outputWriter{n: n}
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

// outputWriter appends to a node's output.
type outputWriter struct{ n *node }

func (w *outputWriter) Write(p []byte) (int, error) {
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	return w.n.out.Write(p)
}

// signal sends a signal to the node's process, if there is one.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// awaitOutput waits up to 2 s for the process to write output: before its runtime has started,
// no program can catch a signal.
func (n *node) awaitOutput() {
	const timeout, step = 2 * time.Second, 5 * time.Millisecond
	for range timeout / step {
		n.mu.Lock()
		hasOutput := n.out.Len() > n.outputAtStart
		n.mu.Unlock()
		if hasOutput {
			return
		}
		time.Sleep(step)
	}
}

// waitFor waits up to timeout for the process to exit, and returns whether it has.
func (n *node) waitFor(timeout time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// waitOrKill waits for the process to exit, and kills it after timeout.
func (n *node) waitOrKill(timeout time.Duration) {
	for !n.waitFor(timeout) {
		n.signal(syscall.SIGKILL)
	}
}

// scale returns the ratio of the number of nodes to the default number.
func (c *cluster) scale() float64 { return float64(len(c.nodes)) / (2 * nodesPerService) }

// configure applies a change and writes the configuration as a new version. All routes are
// public except keyedRoute.
func (c *cluster) configure(change func()) {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	change()
	c.unused += c.perChange
	c.version++
	c.writeConfiguration()
}

// writeConfiguration writes the manifest with all routes. The caller holds configMu.
func (c *cluster) writeConfiguration() {
	const defaultTimeout = time.Second
	timeout, target := defaultTimeout, 0.3*defaultTimeout.Seconds()
	if c.stops || c.departures {
		timeout, target = stopTimeout, defaultTimeout.Seconds()
	}
	var list []json.RawMessage
	for _, name := range c.routes {
		kind, service := "idempotent", "b"
		if name == "a" {
			kind, service = "non_idempotent", "a"
		}
		list = append(list, json.RawMessage(fmt.Sprintf(`{"name":%q,"pathPrefix":"/%s/","kind":%q,"timeoutS":%g,"targetLatencyS":%g,"priority":1,"service":%q,"maxAttempts":2,"public":%v}`, name, name, kind, timeout.Seconds(), target, service, name != keyedRoute)))
	}
	for i := range c.unused {
		list = append(list, json.RawMessage(fmt.Sprintf(`{"name":"unused-%d","pathPrefix":"/unused/%x/","kind":"idempotent","timeoutS":1,"priority":1,"service":"b","maxAttempts":2,"public":true}`, i, i*i)))
	}
	manifest := map[string]any{
		"version":      fmt.Sprintf("r%d", c.version),
		"services":     []map[string]any{{"name": "a", "healthPath": "/healthz"}, {"name": "b", "healthPath": "/healthz"}},
		"virtualHosts": []map[string]any{{"host": "h.example", "paths": list}},
	}
	if c.keys != nil {
		manifest["tenants"] = []map[string]any{{"name": keyHolder, "apiKeys": c.currentKeys}}
	}
	c.store.Put("config", "main", manifest)
}

// readyNodes returns the number of nodes that report that they are ready.
func (c *cluster) readyNodes() int {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	var count int
	for _, n := range c.nodes {
		r, err := client.Get("http://" + n.operatorAddr + "/readyz")
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

// close stops everything that the run has started.
func (c *cluster) close() {
	close(c.done)
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.waitOrKill(gracePeriod)
		n.link.close()
		n.upstream.Load().Close()
	}
	c.storeProxy.close()
	c.server.CloseClientConnections()
	c.server.Close()
	_ = os.RemoveAll(c.dir)
}
