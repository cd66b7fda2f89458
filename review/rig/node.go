// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine. They are the same on all machines.
const (
	portReadiness = 8141
	portStore     = 8142
	portControl   = 8144
	portApp       = 8145
	portInbound   = 8146
	portOutbound  = 8147
)

// The figures of the small site files.
const (
	drainTime    = 2 * time.Second // drainS
	stableWindow = 3 * time.Second // stableWindowS
)

// machine is a machine with a node and a backend.
type machine struct {
	name, ip, zone string
	backend        *backend
	config         string // the node's settings file
	command        []string
	root           string // of the repository
	log            *record

	process *exec.Cmd
	exited  chan struct{}
	started time.Time // when the present process was started
}

// processes are the processes that were started.
var processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// killAll kills all processes that were started.
func killAll() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, p := range processes.list {
		_ = p.Kill() // fails if it has been waited for
	}
}

// addr returns an address of the machine.
func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// startNode starts the node's process with the command of the deploy file.
func (m *machine) startNode() error {
	out, err := os.OpenFile(m.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.process = exec.Command(filepath.Join(m.root, m.command[0]), m.command[1:]...)
	m.process.Dir = m.root
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASFRONT_BOOT=" + m.config}
	m.process.Stdout, m.process.Stderr = out, out
	processes.mu.Lock()
	defer processes.mu.Unlock()
	if err := m.process.Start(); err != nil {
		return err
	}
	processes.list = append(processes.list, m.process.Process)
	m.started = time.Now()
	m.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(m.process, m.exited)
	m.log.add("node %s: started", m.name)
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	if m.process != nil {
		m.log.add("node %s: %v", m.name, s)
		_ = m.process.Process.Signal(s)
	}
}

// kill kills the node's process and waits for its end.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// ready returns whether the node responds to the readiness check with 200.
func (m *machine) ready() bool {
	client := &http.Client{
		Timeout:   time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	r, err := client.Get("http://" + m.addr(portReadiness) + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// hosts returns the given number of loopback addresses on which all ports of a machine are free.
func hosts(n int) ([]string, error) {
	for try := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+try)%200, 1+os.Getpid()/200%250)
		list := make([]string, n)
		free := true
		for i := range list {
			list[i] = fmt.Sprint(prefix, i+1)
			for _, port := range []int{portReadiness, portStore, portControl, portApp, portInbound, portOutbound} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", list[i], port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return list, nil
		}
	}
	return nil, errors.New("no free ports")
}

var (
	runLine     = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	section     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}\n(.*?)\{\{/([a-zA-Z.]+)\}\}\n`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)
)

// deployCommand returns the command of the deploy file's role, with the given settings file.
func deployCommand(root, config string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(data)
	if found == nil {
		return nil, errors.New("the deploy file has no command")
	}
	words := strings.Fields(string(found[1]))
	for i, word := range words {
		if word == "/etc/sassafrasfront/node.conf" {
			words[i] = config
		}
	}
	return words, nil
}

// renderSettings fills in the deploy file's template of the settings.
func renderSettings(root string, values map[string]string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/node.yaml"))
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllStringFunc(string(data), func(s string) string {
		parts := section.FindStringSubmatch(s)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return values[placeholder.FindStringSubmatch(s)[1]]
	}), nil
}

// settings returns the values of a small deployment for a machine.
func (m *machine) settings(store string, seeds []string) map[string]string {
	return map[string]string{
		"nodeName":                m.name,
		"region":                  "tas-south",
		"zone":                    m.zone,
		"listen.outbound":         m.addr(portOutbound),
		"listen.inbound":          m.addr(portInbound),
		"listen.control":          m.addr(portControl),
		"listen.readinessAddr":    m.addr(portReadiness),
		"platform.address":        store,
		"seeds":                   strings.Join(seeds, ","),
		"service":                 m.backend.service,
		"appAddr":                 m.addr(portApp),
		"heartbeatS":              "1.5",
		"bounds.configApplyS":     "2",
		"bounds.retryBudgetRatio": "0.2",
		"bounds.budgetSlack":      "64",
		"bounds.budgetWindowS":    "10",
		"bounds.graceS":           "6",
		"limits.linkMbps":         "1000",
		"limits.memoryMb":         "284",
	}
}
