// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"sassafrasfront.example/internal/loopback"
	"sassafrasfront.example/platform/platformtest"
)

const (
	// crowdMemoryMB is the memory that a node of these tests may use, in MiB: the setting memoryMB,
	// and the bound on its peak resident memory.
	crowdMemoryMB = 96
	// crowdDescriptors is the number of file descriptors that a node may have open.
	crowdDescriptors = 700
	// crowdReserve is the number of them that must remain for what else a node opens.
	crowdReserve = 100
	// crowdMaxHeaderBytes and crowdMaxBodyBytes are the limits of the configuration.
	crowdMaxHeaderBytes = 16 << 10
	crowdMaxBodyBytes   = 8 << 20
	// crowdHost is the host of the configured routes.
	crowdHost = "h.example"
	// answerTimeout is the time after which a node counts as hung.
	answerTimeout = time.Minute
	// attemptTimeout bounds one attempt of an ordinary request.
	attemptTimeout = 10 * time.Second
)

// descriptorsEnv is an environment variable that sets the limit on the descriptors of a node.
const descriptorsEnv = "SASSAFRASNODE_TEST_DESCRIPTORS"

// limitDescriptors applies descriptorsEnv to this process.
func limitDescriptors() {
	n, err := strconv.ParseUint(os.Getenv(descriptorsEnv), 10, 32)
	if err != nil {
		return
	}
	limit := syscall.Rlimit{
		Cur: n,
		Max: n,
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		panic(err)
	}
}

// crowdNode is a node in a process of its own, and the upstream beside it.
type crowdNode struct {
	t        *testing.T
	cmd      *exec.Cmd
	exited   chan struct{}
	log      string // name of the file with its output
	upstream *platformtest.Upstream
	// The addresses of its listeners.
	caller, operator, announce, peer string
}

// crowdSystem is a system of two nodes: clients connect to the first one, and the second one is
// beside the upstream of service b.
type crowdSystem struct {
	t             *testing.T
	entry, remote *crowdNode
}

// newCrowdSystem starts the system, whose upstreams respond with what respond returns, and waits
// until it serves.
func newCrowdSystem(t *testing.T, maxBodyBytes int, respond func(platformtest.Run) string) *crowdSystem {
	store := &platformtest.Store{Era: 1}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("config", "main", map[string]any{
		"version":  "r1",
		"services": []map[string]any{{"name": "a", "healthPath": "/healthz"}, {"name": "b", "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxHeaderBytes": crowdMaxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []map[string]any{{"host": crowdHost, "paths": []json.RawMessage{
			json.RawMessage(`{"name":"once","pathPrefix":"/a/","kind":"non_idempotent","timeoutS":5,"targetLatencyS":0.3,"priority":1,"service":"b","maxAttempts":2}`),
			json.RawMessage(`{"name":"any","pathPrefix":"/b/","kind":"idempotent","timeoutS":5,"targetLatencyS":0.3,"priority":1,"service":"b","maxAttempts":2}`),
		}}},
	})
	s := &crowdSystem{t: t}
	s.entry = startCrowdNode(t, "a", server.URL, respond)
	s.remote = startCrowdNode(t, "b", server.URL, respond)
	s.expectServed("at the start")
	return s
}

// startCrowdNode starts a node of a service, named like the service, and its upstream.
func startCrowdNode(t *testing.T, service, storeURL string, respond func(platformtest.Run) string) *crowdNode {
	n := &crowdNode{
		t: t,
		upstream: &platformtest.Upstream{
			ID:          "i-" + service,
			Service:     service,
			Slots:       8,
			ServiceTime: 2 * time.Millisecond,
			RawResponse: respond,
		},
		caller:   loopback.FreeAddr(),
		operator: loopback.FreeAddr(),
		announce: loopback.FreeAddr(),
		peer:     loopback.FreeAddr(),
		exited:   make(chan struct{}),
	}
	upstreamAddr, err := n.upstream.Start()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(n.upstream.Close)
	dir := t.TempDir()
	settings := fmt.Sprintf("dialect: managed\nnode: %s\nregion: r\nzone: z\ncallerAddress: %s\npeerAddress: %s\nannounceAddress: %s\noperatorAddress: %s\nplatformURL: %s\nservice: %s\nupstreamAddress: %s\n",
		service, n.caller, n.peer, n.announce, n.operator, storeURL, service, upstreamAddr)
	settings += fmt.Sprintf("memoryMB: %d\nprocessors: 1\nmaxHeaderBytes: 262144\nreportBytes: 20000\ncontrolBytes: 100000\nplatformCalls: 100\n", crowdMemoryMB)
	file := filepath.Join(dir, "node.yaml")
	qt.Assert(t, os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	n.log = filepath.Join(dir, "log")
	log, err := os.Create(n.log)
	qt.Assert(t, err, qt.IsNil)
	n.cmd = exec.Command(os.Args[0], "run", "-config", file)
	n.cmd.Env = append(os.Environ(), runNodeEnv+"=1", fmt.Sprintf("%s=%d", descriptorsEnv, crowdDescriptors))
	n.cmd.Stdout = log
	n.cmd.Stderr = log
	qt.Assert(t, n.cmd.Start(), qt.IsNil)
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.exited)
	})
	tasks.Go(func() { n.announceUpstream(stop) })
	t.Cleanup(func() {
		close(stop)
		_ = n.cmd.Process.Kill()
		tasks.Wait()
	})
	return n
}

// announceUpstream sends the upstream's heartbeats until stop is closed.
func (n *crowdNode) announceUpstream(stop chan struct{}) {
	const interval = 500 * time.Millisecond
	for {
		n.upstream.SendHeartbeat(n.announce)
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}

// get sends one request of a client that behaves, on a connection of its own, and returns the
// status of the response, or 0.
func get(url, host, id string) int {
	client := &http.Client{
		Timeout:   attemptTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Host = host
	r.Header.Set(platformtest.RequestID, id)
	r.Header.Set(platformtest.Timeout, "5000")
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// eventually waits until a condition holds. It fails the test if the node ends before, or if
// answerTimeout passes.
func (n *crowdNode) eventually(what string, condition func() bool) {
	n.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		select {
		case <-n.exited:
			n.t.Fatalf("%s: the process has ended: %s\n%s", what, n.cmd.ProcessState, n.logEnd())
		default:
		}
		if time.Since(began) > answerTimeout {
			n.t.Fatalf("%s: not within %v\n%s", what, answerTimeout, n.logEnd())
		}
	}
}

// logEnd returns the last lines of the node's log.
func (n *crowdNode) logEnd() string {
	const maxBytes = 4 << 10
	data, _ := os.ReadFile(n.log)
	return string(data[max(0, len(data)-maxBytes):])
}

// expectServed checks that both nodes live and are ready, and that an ordinary request at each is served.
func (s *crowdSystem) expectServed(when string) {
	s.t.Helper()
	for _, n := range []*crowdNode{s.entry, s.remote} {
		n.eventually("ready "+when, func() bool { return get("http://"+n.operator+"/readyz", "", "") == http.StatusOK })
		attempt := 0
		n.eventually("a request is served "+when, func() bool {
			attempt++
			return get("http://"+n.caller+"/b/ordinary", crowdHost, fmt.Sprintf("%s-%d", strings.ReplaceAll(when, " ", "-"), attempt)) == http.StatusOK
		})
	}
}

// status returns a figure of the node's process in kB from proc(5), such as VmHWM.
func (n *crowdNode) status(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	qt.Assert(n.t, err, qt.IsNil)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kB, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			qt.Assert(n.t, err, qt.IsNil)
			return kB
		}
	}
	n.t.Fatalf("no %s in the process's status", name)
	return 0
}

// expectBounded checks that the memory and the descriptors of both nodes are within their bounds.
func (s *crowdSystem) expectBounded(when string) {
	s.t.Helper()
	for _, n := range []*crowdNode{s.entry, s.remote} {
		peakMB := float64(n.status("VmHWM")) / 1024
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		qt.Assert(s.t, err, qt.IsNil)
		s.t.Logf("%s: node %s has used %.1f MB, and has %d descriptors", when, n.upstream.Service, peakMB, len(open))
		qt.Check(s.t, peakMB < crowdMemoryMB, qt.IsTrue, qt.Commentf("%s: node %s has used %.0f MB of %d", when, n.upstream.Service, peakMB, crowdMemoryMB))
		qt.Check(s.t, len(open) <= crowdDescriptors-crowdReserve, qt.IsTrue, qt.Commentf("%s: node %s has %d descriptors of %d", when, n.upstream.Service, len(open), crowdDescriptors))
	}
}

// crowd is a number of clients that each open a connection and do the same on it.
type crowd struct {
	// address selects the listener.
	address func(n *crowdNode) string
	// clients is the number of clients.
	clients int
	// send sends what client i sends. It returns when there is no more to be sent, or an error if the
	// node has closed the connection.
	send func(i int, c net.Conn) error
	// returns is whether a client whose connection is closed connects again, until the crowd ends.
	returns bool
	// reads is whether the clients read what they receive.
	reads bool
}

const (
	// sendTimeout bounds what a client of a crowd sends on one connection.
	sendTimeout = 20 * time.Second
	// returnPause is the time after which a client of a crowd connects again.
	returnPause = 10 * time.Millisecond
)

// start starts the crowd. It returns once each client has sent everything or its connection has been
// closed, and a function that ends the crowd.
func (c *crowd) start(n *crowdNode) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all, first sync.WaitGroup
	first.Add(c.clients)
	for i := range c.clients {
		all.Go(func() {
			done := sync.OnceFunc(first.Done)
			defer done()
			for ctx.Err() == nil {
				c.connect(ctx, n, i, done)
				if !c.returns {
					return
				}
				done()
				time.Sleep(returnPause)
			}
		})
	}
	first.Wait()
	return func() {
		cancel()
		all.Wait()
	}
}

// connect is one connection of client i. It calls sent when everything has been sent, and returns
// when the connection has been closed or ctx has ended.
func (c *crowd) connect(ctx context.Context, n *crowdNode, i int, sent func()) {
	dialer := net.Dialer{Timeout: sendTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address(n))
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if c.reads {
		var reader sync.WaitGroup
		defer reader.Wait()
		reader.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if c.send(i, conn) != nil {
		return
	}
	sent()
	awaitClosed(ctx, conn)
}

// awaitClosed waits until the other side has closed or reset a connection, which is not read, or ctx
// has ended.
func awaitClosed(ctx context.Context, c net.Conn) {
	const interval = 50 * time.Millisecond
	for ctx.Err() == nil {
		if isClosed(c.(*net.TCPConn)) {
			return
		}
		time.Sleep(interval)
	}
}

// isClosed returns whether the other side has closed or reset a connection, according to the kernel.
func isClosed(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	events := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) {
		events[0].Fd = int32(fd)
		_, _ = unix.Poll(events, 0)
	})
	return err != nil || events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// The listeners of a node.
func atCaller(n *crowdNode) string   { return n.caller }
func atOperator(n *crowdNode) string { return n.operator }
func atAnnounce(n *crowdNode) string { return n.announce }
func atPeer(n *crowdNode) string     { return n.peer }
