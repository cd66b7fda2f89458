// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package loopback provides addresses at which the processes of tests listen.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// host is a loopback address of this process's own: on 127.0.0.1 the outgoing connections of tests that run beside this
// one may take a port that is free now.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(255), 1+rand.IntN(254))

const (
	// firstPort is the first of the ports that FreeAddr chooses from, and portCount their number.
	firstPort = 10000
	portCount = 50000
)

// usedPorts are the ports that FreeAddr has returned. It does not return them again: the process that has one may not
// listen yet, and would find its port taken.
var usedPorts sync.Map

// FreeAddr returns an address that is free now and that no other call in this process returns.
func FreeAddr() string {
	for {
		port := firstPort + rand.IntN(portCount)
		if _, again := usedPorts.LoadOrStore(port, true); again {
			continue
		}
		addr := net.JoinHostPort(host, strconv.Itoa(port))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // another process has it
		}
		if l.Close() == nil {
			return addr
		}
	}
}
