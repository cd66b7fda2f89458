// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/internal/objectapi"
	"sassafrasfront.example/node"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/platform"
)

// The ports of each address.
const (
	callerPort   = 8080
	peerPort     = 8081
	announcePort = 8082
	operatorPort = 8083
	backendPort  = 8084
	platformPort = 8001
)

// Spec says what to start for one service.
type Spec struct {
	// Service is the name of the service, whose host is Service.example.
	Service string
	// Upstreams is their number, spread over the zones in turn.
	Upstreams int
	// Slots is the number of requests that each runs at once.
	Slots int
	// Knobs are how the upstreams behave.
	Knobs backend.Knobs
	// Config is the configuration of the service. Its hosts are filled in.
	Config operator.Service
}

// Options are how nodes run.
type Options struct {
	// Zones are the availability zones.
	Zones []string
	// Flags are more flags for every node.
	Flags []string
	// Dir is the directory for the nodes' logs and the upstreams' journals.
	Dir string
}

// Rig is a running system.
type Rig struct {
	// API is a client of the platform stand-in, for an operator's part.
	API *platform.Client
	// Nodes are all nodes ever started, by the order of starting.
	Nodes []*Node

	options  Options
	binaries string
	octet    int
	platform *process
	mu       sync.Mutex
}

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

// Build builds the programs into a directory.
func Build(dir string) error {
	root, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/sassafrasnode", "./cmd/sassafrasbench", "./cmd/sassafrasctl")
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(root)))
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// Start starts the platform stand-in, and the services with their nodes. The
// programs are in the directory binaries. The caller stops the rig in any case.
func Start(ctx context.Context, binaries string, o Options, specs ...Spec) (*Rig, error) {
	r := &Rig{
		options:  o,
		binaries: binaries,
	}
	if err := r.claimOctet(); err != nil {
		return r, err
	}
	addr := r.address(0, platformPort)
	p, err := r.spawn("platform", "sassafrasbench", "platform", addr)
	if err != nil {
		return r, err
	}
	r.platform = p
	r.API = &platform.Client{
		URL:       "http://" + addr,
		Namespace: "sassafrasfront",
	}
	if err := Poll(ctx, func() bool { _, err := r.API.List(ctx, operator.KindService); return err == nil }); err != nil {
		return r, err
	}
	for _, s := range specs {
		if err := r.Configure(ctx, s.Service, s.Config); err != nil {
			return r, err
		}
	}
	for _, s := range specs {
		for i := range s.Upstreams {
			zone := o.Zones[i%len(o.Zones)]
			if _, err := r.Add(s, zone); err != nil {
				return r, err
			}
		}
	}
	return r, r.Settle(ctx)
}

// claimOctet picks the second number of the rig's addresses, so that rigs of
// several processes don't meet.
func (r *Rig) claimOctet() error {
	for i := range 200 {
		r.octet = 20 + (os.Getpid()+i*7)%200
		l, err := net.Listen("tcp", r.address(0, platformPort))
		if err == nil {
			return l.Close()
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (r *Rig) address(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.octet, i/250, 1+i%250, port)
}

// Configure writes the configuration of a service as an operator does.
func (r *Rig) Configure(ctx context.Context, service string, s operator.Service) error {
	if len(s.Hosts) == 0 {
		s.Hosts = []string{service + ".example"}
	}
	for {
		o := platform.NewObject(operator.KindService, service, s)
		present, err := r.API.Get(ctx, operator.KindService, service)
		if err == nil {
			o = o.WithVersion(present.Metadata.ResourceVersion)
		}
		if _, err = platform.Put(ctx, r.API, o); !platform.IsConflict(err) {
			return err
		}
	}
}

// spawn starts a program.
func (r *Rig) spawn(name, program string, args ...string) (*process, error) {
	cmd := exec.Command(filepath.Join(r.binaries, program), args...)
	f, err := os.OpenFile(filepath.Join(r.options.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd.Stderr = f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{
		cmd:    cmd,
		exited: make(chan struct{}),
	}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Add starts one more upstream of a service with its node.
func (r *Rig) Add(s Spec, zone string) (*Node, error) { return r.AddWith(s, zone) }

// AddWith is Add with more flags for the node.
func (r *Rig) AddWith(s Spec, zone string, flags ...string) (*Node, error) {
	r.mu.Lock()
	i := len(r.Nodes) + 1
	n := &Node{
		Name:    fmt.Sprintf("%s-%d", s.Service, i),
		Zone:    zone,
		Service: s.Service,
		IP:      r.address(i, 0),
		Spec:    s,
		rig:     r,
		flags:   flags,
	}
	n.IP = n.IP[:strings.LastIndex(n.IP, ":")]
	r.Nodes = append(r.Nodes, n)
	r.mu.Unlock()
	if err := n.StartNode(); err != nil {
		return n, err
	}
	return n, n.StartUpstream()
}

func (n *Node) at(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// CallerOf returns the address for callers of the node beside the upstream with
// the given address.
func CallerOf(upstream string) string {
	host, _, _ := net.SplitHostPort(upstream)
	return fmt.Sprintf("%s:%d", host, callerPort)
}

// CallerURL is where callers reach the node.
func (n *Node) CallerURL() string { return "http://" + n.at(callerPort) }

// BackendURL is where the upstream beside the node is.
func (n *Node) BackendURL() string { return "http://" + n.at(backendPort) }

// OperatorURL is where the node serves metrics.
func (n *Node) OperatorURL() string { return "http://" + n.at(operatorPort) }

// StartNode starts the node's process.
func (n *Node) StartNode() error {
	args := []string{
		"run", "-node", n.Name, "-region", "r1", "-zone", n.Zone,
		"-callerAddress", n.at(callerPort), "-peerAddress", n.at(peerPort),
		"-announceAddress", n.at(announcePort), "-operatorAddress", n.at(operatorPort),
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
	p, err := n.rig.spawn(n.Name+"-upstream", "sassafrasbench", "upstream", n.at(backendPort), n.at(announcePort), n.Service, fmt.Sprint(n.Spec.Slots), string(knobs), n.journal())
	n.upstream = p
	return err
}

// SignalNode sends a signal to the node's process.
func (n *Node) SignalNode(s syscall.Signal) { n.node.signal(s) }

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
func (n *Node) Turn(k backend.Knobs) error { return put(n.BackendURL()+"/stand/knobs", k) }

// Record returns what the upstream has run.
func (n *Node) Record() (backend.Record, error) {
	var rec backend.Record
	err := get(n.BackendURL()+"/stand/record", &rec)
	return rec, err
}

// journal is the file with the ids of the requests that the upstream has run,
// over all its starts.
func (n *Node) journal() string { return filepath.Join(n.rig.options.Dir, n.Name+".journal") }

// Runs adds the number of runs of each request at the upstream to the given
// counts.
func (n *Node) Runs(counts map[string]int) {
	data, _ := os.ReadFile(n.journal())
	for id := range strings.FieldsSeq(string(data)) {
		counts[id]++
	}
}

// Runs returns the number of runs of each request over all upstreams.
func (r *Rig) Runs() map[string]int {
	counts := make(map[string]int)
	for _, n := range r.Nodes {
		n.Runs(counts)
	}
	return counts
}

// Drain has the upstream announce that it drains, or that it no longer does.
func (n *Node) Drain(draining bool) error {
	var a map[string]any
	url := "http://" + n.at(announcePort) + "/v1/upstream"
	if err := get(url, &a); err != nil {
		return err
	}
	a["draining"] = draining
	return put(url, a)
}

// Picture returns what the node knows.
func (n *Node) Picture() (node.Picture, error) {
	var p node.Picture
	err := get(n.OperatorURL()+"/v1/picture", &p)
	return p, err
}

// SetFaults sets the faults of the platform stand-in.
func (r *Rig) SetFaults(f objectapi.Faults) error { return put(r.API.URL+"/faults", f) }

// Counts returns the calls that the platform stand-in has served.
func (r *Rig) Counts() (objectapi.Counts, error) {
	var c objectapi.Counts
	err := get(r.API.URL+"/counts", &c)
	return c, err
}

// Settle waits until every running node knows every running upstream.
func (r *Rig) Settle(ctx context.Context) error {
	return Poll(ctx, func() bool {
		want := make(map[string]int)
		for _, n := range r.Nodes {
			if n.Running() {
				want[n.Service]++
			}
		}
		for _, n := range r.Nodes {
			if !n.Running() {
				continue
			}
			p, err := n.Picture()
			if err != nil {
				return false
			}
			for service, k := range want {
				if len(p.Upstreams[service]) != k {
					return false
				}
			}
		}
		return true
	})
}

// Stop ends all processes that the rig started.
func (r *Rig) Stop() {
	for _, n := range r.Nodes {
		n.SignalNode(syscall.SIGKILL)
		n.SignalUpstream(syscall.SIGKILL)
	}
	r.platform.signal(syscall.SIGKILL)
	for _, n := range r.Nodes {
		if n.node != nil {
			n.WaitNode()
		}
		if n.upstream != nil {
			n.WaitUpstream()
		}
	}
}

// Poll calls f until it returns true, or ctx ends.
func Poll(ctx context.Context, f func() bool) error {
	for {
		if f() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// client makes the rig's own calls.
var client = &http.Client{Timeout: 2 * time.Second}

func get(url string, v any) error {
	r, err := client.Get(url)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode >= 300 {
		return fmt.Errorf("GET %s: %s", url, r.Status)
	}
	return json.NewDecoder(r.Body).Decode(v)
}

func put(url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	q, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r, err := client.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode >= 300 {
		return fmt.Errorf("PUT %s: %s", url, r.Status)
	}
	return nil
}
