// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/node"
)

// Node is a node with the upstream beside it.
type Node struct {
	Name, Zone, Service, IP string
	Spec                    Spec

	rig      *Rig
	flags    []string
	node     *process
	upstream *process
}

// process is a child process.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (n *Node) addr(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// CallerOf returns the address for callers of the node beside the upstream with
// the given address.
func CallerAddress(upstream string) string {
	host, _, _ := net.SplitHostPort(upstream)
	return fmt.Sprintf("%s:%d", host, callerPort)
}

// CallerURL is where callers reach the node.
func (n *Node) CallerURL() string { return "http://" + n.addr(callerPort) }

// BackendURL is where the upstream beside the node is.
func (n *Node) BackendURL() string { return "http://" + n.addr(backendPort) }

// OperatorURL is where the node serves metrics.
func (n *Node) OperatorURL() string { return "http://" + n.addr(operatorPort) }

// StartNode starts the node's process.
func (n *Node) StartNode() error {
	args := []string{
		"run", "-node", n.Name, "-region", "r1", "-zone", n.Zone,
		"-callerAddress", n.addr(callerPort), "-peerAddress", n.addr(peerPort),
		"-announceAddress", n.addr(announcePort), "-operatorAddress", n.addr(operatorPort),
		"-platformURL", n.rig.API.URL, "-lease", "3s",
	}
	p, err := n.rig.spawn(n.Name, "sassafrasnode", slices.Concat(args, n.rig.options.Flags, n.flags)...)
	n.node = p
	return err
}

// StartUpstream starts the upstream's process, which announces itself.
func (n *Node) StartUpstream() error {
	knobs, err := json.Marshal(n.Spec.Knobs)
	if err != nil {
		return err
	}
	p, err := n.rig.spawn(n.Name+"-upstream", "sassafrasbench", "upstream", n.addr(backendPort), n.addr(announcePort), n.Service, fmt.Sprint(n.Spec.Slots), string(knobs), n.requestLog())
	n.upstream = p
	return err
}

// SignalNode sends a signal to the node's process.
func (n *Node) SignalNode(s syscall.Signal) { n.node.signal(s) }

// PauseNode stops the node's process, and returns when all of its threads stand still.
// The signal itself is only noted: on a busy machine one thread or another runs on for
// some milliseconds, and may answer a request.
func (n *Node) PauseNode() {
	n.SignalNode(syscall.SIGSTOP)
	for !n.paused() {
		time.Sleep(time.Millisecond)
	}
}

// paused returns whether all threads of the node's process are stopped.
func (n *Node) paused() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", n.NodePID()))
	if err != nil || len(threads) == 0 {
		return true // the process has ended
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		// The state follows the name, which is in parentheses.
		if i := strings.LastIndexByte(string(stat), ')'); i < 0 || !strings.HasPrefix(string(stat[i+1:]), " T") {
			return false
		}
	}
	return true
}

// SignalUpstream sends a signal to the upstream's process.
func (n *Node) SignalUpstream(s syscall.Signal) { n.upstream.signal(s) }

// NodePID returns the id of the node's process.
func (n *Node) NodePID() int { return n.node.cmd.Process.Pid }

// WaitNode waits for the node's process to end.
func (n *Node) WaitNode() { <-n.node.exited }

// WaitUpstream waits for the upstream's process to end.
func (n *Node) WaitUpstream() { <-n.upstream.exited }

func (p *process) signal(s syscall.Signal) {
	if p != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Running returns whether both processes run.
func (n *Node) Running() bool {
	for _, p := range []*process{n.node, n.upstream} {
		if p == nil {
			return false
		}
		select {
		case <-p.exited:
			return false
		default:
		}
	}
	return true
}

// Turn sets the knobs of the upstream.
func (n *Node) SetKnobs(k backend.Parameters) error { return put(n.BackendURL()+"/stand/knobs", k) }

// Record returns what the upstream has run.
func (n *Node) Record() (backend.Record, error) {
	var rec backend.Record
	err := get(n.BackendURL()+"/stand/record", &rec)
	return rec, err
}

// journal is the file with the ids of the requests that the upstream has run,
// over all its starts.
func (n *Node) requestLog() string { return filepath.Join(n.rig.options.Dir, n.Name+".journal") }

// Runs adds the number of runs of each request at the upstream to the given
// counts.
func (n *Node) AddRunCounts(counts map[string]int) {
	data, _ := os.ReadFile(n.requestLog())
	for id := range strings.FieldsSeq(string(data)) {
		counts[id]++
	}
}

// Runs returns the number of runs of each request over all upstreams.
func (r *Rig) RunCounts() map[string]int {
	counts := make(map[string]int)
	for _, n := range r.Nodes {
		n.AddRunCounts(counts)
	}
	return counts
}

// Drain has the upstream announce that it drains, or that it no longer does.
func (n *Node) Drain(draining bool) error {
	var a map[string]any
	url := "http://" + n.addr(announcePort) + "/v1/upstream"
	if err := get(url, &a); err != nil {
		return err
	}
	a["draining"] = draining
	return put(url, a)
}

// View returns what the node knows.
func (n *Node) View() (node.View, error) {
	var p node.View
	err := get(n.OperatorURL()+"/v1/view", &p)
	return p, err
}
