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

// Node is a node and the upstream beside it.
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

// CallerAddress returns the caller address of the node beside the upstream with
// the given address.
func CallerAddress(upstream string) string {
	host, _, _ := net.SplitHostPort(upstream)
	return fmt.Sprintf("%s:%d", host, callerPort)
}

// CallerURL returns the URL of the node for callers.
func (n *Node) CallerURL() string { return "http://" + n.addr(callerPort) }

// BackendURL returns the URL of the upstream beside the node.
func (n *Node) BackendURL() string { return "http://" + n.addr(backendPort) }

// OperatorURL returns the URL of the node for operators, which serves metrics.
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

// StartUpstream starts the upstream's process, which announces itself to the node.
func (n *Node) StartUpstream() error {
	parameters, err := json.Marshal(n.Spec.Parameters)
	if err != nil {
		return err
	}
	p, err := n.rig.spawn(n.Name+"-upstream", "sassafrasbench", "upstream", n.addr(backendPort), n.addr(announcePort), n.Service, fmt.Sprint(n.Spec.Slots), string(parameters), n.requestLog())
	n.upstream = p
	return err
}

// SignalNode sends a signal to the node's process.
func (n *Node) SignalNode(s syscall.Signal) { n.node.signal(s) }

// PauseNode stops the node's process with SIGSTOP, and returns once all of its threads are
// stopped. The signal takes effect asynchronously: on a busy machine a thread may run on for
// some milliseconds and may even respond to a request.
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
		return true // the process has exited
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has exited
		}
		// The state follows the command name, which is in parentheses.
		if i := strings.LastIndexByte(string(stat), ')'); i < 0 || !strings.HasPrefix(string(stat[i+1:]), " T") {
			return false
		}
	}
	return true
}

// SignalUpstream sends a signal to the upstream's process.
func (n *Node) SignalUpstream(s syscall.Signal) { n.upstream.signal(s) }

// NodePID returns the process ID of the node.
func (n *Node) NodePID() int { return n.node.cmd.Process.Pid }

// WaitNode waits for the node's process to exit.
func (n *Node) WaitNode() { <-n.node.exited }

// WaitUpstream waits for the upstream's process to exit.
func (n *Node) WaitUpstream() { <-n.upstream.exited }

func (p *process) signal(s syscall.Signal) {
	if p != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Running returns whether both processes are running.
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

// SetParameters sets the behaviour of the upstream.
func (n *Node) SetParameters(p backend.Parameters) error {
	return put(n.BackendURL()+"/stand/knobs", p)
}

// Record returns the requests that the upstream has run.
func (n *Node) Record() (backend.Record, error) {
	var rec backend.Record
	err := get(n.BackendURL()+"/stand/record", &rec)
	return rec, err
}

// requestLog returns the name of the file with the IDs of the requests that the upstream has run,
// over all its starts.
func (n *Node) requestLog() string { return filepath.Join(n.rig.options.Dir, n.Name+".journal") }

// AddRunCounts adds the number of runs of each request at the upstream to
// counts.
func (n *Node) AddRunCounts(counts map[string]int) {
	data, _ := os.ReadFile(n.requestLog())
	for id := range strings.FieldsSeq(string(data)) {
		counts[id]++
	}
}

// RunCounts returns the number of runs of each request at all upstreams.
func (r *Rig) RunCounts() map[string]int {
	counts := make(map[string]int)
	for _, n := range r.Nodes {
		n.AddRunCounts(counts)
	}
	return counts
}

// Drain makes the upstream announce whether it is draining.
func (n *Node) Drain(draining bool) error {
	var a map[string]any
	url := "http://" + n.addr(announcePort) + "/v1/upstream"
	if err := get(url, &a); err != nil {
		return err
	}
	a["draining"] = draining
	return put(url, a)
}

// View returns the node's view of the system.
func (n *Node) View() (node.View, error) {
	var view node.View
	err := get(n.OperatorURL()+"/v1/view", &view)
	return view, err
}
