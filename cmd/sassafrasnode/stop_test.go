// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/loopback"
)

// runNodeEnv is an environment variable that makes the test binary run as a node.
const runNodeEnv = "SASSAFRASNODE_TEST_RUNS_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(runNodeEnv) != "" {
		limitDescriptors()
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a node's process and its log.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	log        *bufio.Scanner
	callerAddr string // the listen address for callers
}

// startProcess starts a node whose settings include the given lines.
func startProcess(t *testing.T, lines string) *process {
	p := &process{t: t}
	text := "node: a\nregion: r\nzone: z\nplatformURL: http://127.0.0.1:1\n" + lines
	for _, name := range []string{"callerAddress", "peerAddress", "announceAddress", "operatorAddress"} {
		addr := loopback.FreeAddr()
		text += fmt.Sprintf("%s: %s\n", name, addr)
		if name == "callerAddress" {
			p.callerAddr = addr
		}
	}
	file := filepath.Join(t.TempDir(), "node.yaml")
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	p.cmd = exec.Command(os.Args[0], "run", "-config", file)
	p.cmd.Env = append(os.Environ(), runNodeEnv+"=1")
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	p.log = bufio.NewScanner(out)
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// awaitLog reads the log up to the line of an event and returns that line.
func (p *process) awaitLog(event string) string {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), event) {
			return p.log.Text()
		}
	}
	p.t.Fatalf("never logged: %s", event)
	return ""
}

// signal sends signals to the process, in order.
func (p *process) signal(list ...syscall.Signal) {
	p.t.Helper()
	for _, s := range list {
		qt.Assert(p.t, p.cmd.Process.Signal(s), qt.IsNil)
	}
}

// awaitExit reads the rest of the log and checks that the process drained and exited cleanly.
func (p *process) awaitExit() {
	p.t.Helper()
	p.awaitLog("drained")
	p.awaitLog("node stopped")
	qt.Check(p.t, p.cmd.Wait(), qt.IsNil)
}

// TestSignalsWhileStopping sends further signals to a process that is stopping while it still
// receives the header of a request. The request must receive a response, and the process
// must exit cleanly.
func TestSignalsWhileStopping(t *testing.T) {
	tests := map[string][]syscall.Signal{
		"none":             {},
		"SIGTERM":          {syscall.SIGTERM},
		"repeated SIGTERM": {syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM},
		"SIGHUP":           {syscall.SIGHUP},
		"SIGINT":           {syscall.SIGINT},
		"mixed signals":    {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM},
	}
	for name, signals := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcess(t, "gracePeriod: 20s\nleaveDelay: 300ms\n")
			p.awaitLog("node started")
			c, err := net.Dial("tcp", p.callerAddr)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
			qt.Assert(t, err, qt.IsNil)
			p.signal(syscall.SIGTERM)
			p.awaitLog("leaving")
			p.signal(signals...)
			_, err = io.WriteString(c, "Host: service.example\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("no service is known"))
			qt.Check(t, r.Close, qt.IsTrue)
			for _, x := range signals {
				_ = p.cmd.Process.Signal(x) // the process may have exited
			}
			p.awaitExit()
		})
	}
}

// TestStopWhileStarting stops processes right after their start.
func TestStopWhileStarting(t *testing.T) {
	for range 5 {
		p := startProcess(t, "gracePeriod: 20s\nleaveDelay: 10ms\n")
		p.awaitLog("node started")
		p.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
		p.awaitExit()
	}
}
