// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rig

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// Ports at each address.
const (
	callerPort   = 8080
	peerPort     = 8081
	announcePort = 8082
	operatorPort = 8083
	backendPort  = 8084
	platformPort = 8001
)

// Spec describes a service to start.
type Spec struct {
	// Service is the name of the service. Its host is Service.example.
	Service string
	// Upstreams is the number of upstreams, which are spread evenly over the zones.
	Upstreams int
	// Slots is the number of requests that each upstream runs concurrently.
	Slots int
	// Parameters set the behaviour of the upstreams.
	Parameters backend.Parameters
	// Config is the configuration of the service. Empty hosts are replaced by the service's host.
	Config operator.Service
}

// Options are the options of the nodes.
type Options struct {
	// Zones are the availability zones.
	Zones []string
	// Flags are additional flags for every node.
	Flags []string
	// Dir is the directory for the logs of processes and for the upstreams' request logs.
	Dir string
}

// Rig is a running system.
type Rig struct {
	// API is a client of the fake platform, which acts as an operator.
	API *objectapi.Client
	// Nodes are all nodes ever started, in the order of their start.
	Nodes []*Node

	options  Options
	binaries string
	octet    int
	platform *process
	mu       sync.Mutex
}

// Build builds the programs into dir.
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

// Start starts the fake platform, and the services with their nodes. The directory
// binaries contains the programs. The caller must call Stop even if Start fails.
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
	r.API = &objectapi.Client{
		JSONClient: objectapi.JSONClient{
			URL: "http://" + addr,
		},
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
	return r, r.WaitForDiscovery(ctx)
}

// claimOctet chooses the second octet of the rig's addresses, so that the rigs of
// concurrent processes use different addresses.
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

// Configure writes the configuration of a service, as an operator does.
func (r *Rig) Configure(ctx context.Context, service string, s operator.Service) error {
	if len(s.Hosts) == 0 {
		s.Hosts = []string{service + ".example"}
	}
	for {
		o := objectapi.NewObject(operator.KindService, service, s)
		current, err := r.API.Get(ctx, operator.KindService, service)
		if err == nil {
			o = o.WithResourceVersion(current.Metadata.ResourceVersion)
		}
		if _, err = objectapi.Put(ctx, r.API, o); !objectapi.IsConflict(err) {
			return err
		}
	}
}

// spawn starts one of the programs, with its output in a log file.
func (r *Rig) spawn(name, program string, args ...string) (*process, error) {
	cmd := exec.Command(filepath.Join(r.binaries, program), args...)
	f, err := os.OpenFile(filepath.Join(r.options.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd.Stdout = f // the programs log to stdout
	cmd.Stderr = f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	if errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Errorf("%s not found in %s: make build puts all programs into the directory of this program, go run does not", program, r.binaries)
	}
	if err != nil {
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

// Add starts one more upstream of a service, with its node.
func (r *Rig) Add(s Spec, zone string) (*Node, error) { return r.AddWithFlags(s, zone) }

// AddWithFlags is like Add, with additional flags for the node.
func (r *Rig) AddWithFlags(s Spec, zone string, flags ...string) (*Node, error) {
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

// SetFaults sets the faults that the fake platform injects.
func (r *Rig) SetFaults(f objectapitest.Faults) error { return put(r.API.URL+"/faults", f) }

// Counts returns the numbers of calls that the fake platform has served.
func (r *Rig) Counts() (objectapitest.Counts, error) {
	var c objectapitest.Counts
	err := get(r.API.URL+"/counts", &c)
	return c, err
}

// WaitForDiscovery waits until every running node knows every running upstream.
func (r *Rig) WaitForDiscovery(ctx context.Context) error {
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
			view, err := n.View()
			if err != nil {
				return false
			}
			for service, k := range want {
				if len(view.Upstreams[service]) != k {
					return false
				}
			}
		}
		return true
	})
}

// Stop kills all processes that the rig has started and waits for them.
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

// Poll calls f until it returns true or ctx is done.
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
