// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// delayer is a proxy that delivers what it receives on a connection after a delay, also if the sender
// no longer waits.
type delayer struct {
	target string
	delay  time.Duration
	log    *record

	listener  net.Listener
	mu        sync.Mutex
	delivered []time.Time
}

// start starts the proxy on a free port of the given loopback address, and returns its address.
func (d *delayer) start(ip string) (string, error) {
	var err error
	if d.listener, err = net.Listen("tcp", ip+":0"); err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := d.listener.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d.listener.Addr().String(), nil
}

// serve delays one connection. The sender sends one request and may close the connection then.
func (d *delayer) serve(from net.Conn) {
	defer from.Close()
	due := time.NewTimer(d.delay)
	defer due.Stop()
	var mu sync.Mutex
	var held bytes.Buffer
	go func() {
		buffer := make([]byte, 4<<10)
		for {
			n, err := from.Read(buffer)
			mu.Lock()
			held.Write(buffer[:n])
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	<-due.C
	to, err := net.Dial("tcp", d.target)
	if err != nil {
		d.log.add("late heartbeat: %v", err)
		return
	}
	defer to.Close()
	mu.Lock()
	_, err = to.Write(held.Bytes())
	mu.Unlock()
	if err != nil {
		d.log.add("late heartbeat: %v", err)
		return
	}
	_ = to.SetReadDeadline(time.Now().Add(time.Second))
	response := make([]byte, 12) // HTTP/1.1 200
	_, err = io.ReadFull(to, response)
	d.log.add("late heartbeat delivered to the node, which answers %q %s", response, errorText(err))
	d.mu.Lock()
	d.delivered = append(d.delivered, time.Now())
	d.mu.Unlock()
}
