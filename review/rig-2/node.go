// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a node, which are the same on all hosts.
const (
	portInbound = 18146 + iota
	portOutbound
	portReadiness
	portControl
	portBackend
	portProxy // of the proxy in front of portInbound, where there is one
)

// node is a process of the project on its own loopback address.
type node struct {
	record     *record
	name, host string
	configFile string
	settings   string // without firstStart

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	started time.Time
	log     *os.File
}

// newNode prepares a node. Other nodes reach it at the advertised address. The settings are those of deploy/node.yaml, with the bounds of a small site.
func newNode(dir, name, host, zone string, seeds []string, platform, advertised string, r *record) (*node, error) {
	n := &node{
		record:     r,
		name:       name,
		host:       host,
		configFile: filepath.Join(dir, name+".conf"),
	}
	var err error
	if n.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	n.settings = strings.Join([]string{
		"dialect: managed",
		"node: " + name,
		"region: tas-south",
		"zone: " + zone,
		"callerAddress: " + n.addr(portOutbound),
		"peerAddress: " + n.addr(portInbound),
		fmt.Sprintf("advertisedPeerAddress: %q", advertised),
		"announceAddress: " + n.addr(portControl),
		"operatorAddress: " + n.addr(portReadiness),
		"platformURL: http://" + platform,
		fmt.Sprintf("seeds: %q", strings.Join(seeds, ",")),
		fmt.Sprintf("service: %q", service),
		fmt.Sprintf("upstreamAddress: %q", n.addr(portBackend)),
		"heartbeat: 1.5s",
		"configWithin: 2s",
		"retryRatio: 0.2",
		"retrySlack: 64",
		"retryWindow: 10s",
		"linkMbps: 1000.0",
		"memoryMB: 284",
		"processors: 1",
		"maxHeaderBytes: 262144",
		"reportBytes: 20000",
		"controlBytes: 100000",
		"leaveDelay: 2500ms",
		"admitDelay: 1500ms",
		"gracePeriod: 6s",
		"drainTimeout: 2500ms",
		"",
	}, "\n")
	return n, nil
}

// addr returns the node's address with the given port.
func (n *node) addr(port int) string { return net.JoinHostPort(n.host, fmt.Sprint(port)) }

// processes are the processes that run.
var processes sync.Map

// killAll kills all processes that run.
func killAll() {
	processes.Range(func(process, _ any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

// start starts the process. FirstStart is whether the whole system starts for the first time.
func (n *node) start(firstStart bool) error {
	settings := n.settings
	if firstStart {
		settings += "firstStart: true\n"
	}
	if err := os.WriteFile(n.configFile, []byte(settings), 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/sassafrasnode", "run", "-config", n.configFile)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	processes.Store(cmd.Process, nil)
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		processes.Delete(cmd.Process)
		close(exited)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.exited, n.started = cmd, exited, time.Now()
	n.record.printf("node %s: started, process %d", n.name, cmd.Process.Pid)
	return nil
}

// hangUp writes the settings with another service and sends SIGHUP to the process.
func (n *node) hangUp(from, to string) error {
	n.settings = strings.Replace(n.settings, fmt.Sprintf("service: %q", from), fmt.Sprintf("service: %q", to), 1)
	next := n.configFile + ".next"
	if err := os.WriteFile(next, []byte(n.settings), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, n.configFile); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.printf("node %s: its settings name the service %s, SIGHUP", n.name, to)
	return n.process.Process.Signal(syscall.SIGHUP)
}

// kill sends SIGKILL to the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	<-exited
	n.record.printf("node %s: killed", n.name)
}

// startedAt returns when the present process was started.
func (n *node) startedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// ready returns whether the node says that it is ready.
func (n *node) ready() bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	r, err := client.Get("http://" + n.addr(portReadiness) + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
