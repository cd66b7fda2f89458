// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/upstream"
)

// runPlatform serves the fake platform.
func runPlatform(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("platform takes an address")
	}
	return serve(ctx, args[0], new(objectapitest.Server))
}

// runUpstream serves a fake upstream and announces it.
func runUpstream(ctx context.Context, args []string) error {
	if len(args) != 6 {
		return fmt.Errorf("upstream takes its address, the node's address for announcements, a service, a number of slots, knobs, and a request log")
	}
	slots, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	requestLog, err := os.OpenFile(args[5], os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer requestLog.Close()
	s := &backend.Server{
		Slots:      slots,
		Name:       args[0],
		RequestLog: requestLog,
		NodeURL:    "http://" + rig.CallerAddress(args[0]),
	}
	var knobs backend.Parameters
	if err := json.Unmarshal([]byte(args[4]), &knobs); err != nil {
		return err
	}
	s.SetParameters(knobs)
	go keepAnnouncing(ctx, args[1], upstream.Announcement{
		Service:     args[2],
		Address:     args[0],
		Slots:       slots,
		Connections: 25 * slots,
		StartID:     strconv.FormatInt(time.Now().UnixNano(), 36),
	})
	return serve(ctx, args[0], s)
}

// keepAnnouncing announces the upstream, and again whenever its node has restarted and
// does not know the upstream.
func keepAnnouncing(ctx context.Context, node string, a upstream.Announcement) {
	const interval = 100 * time.Millisecond
	for ctx.Err() == nil {
		r, err := http.Get("http://" + node + "/v1/upstream")
		if err == nil {
			_ = r.Body.Close()
		}
		if err == nil && r.StatusCode == http.StatusNotFound {
			_ = backend.Announce(ctx, node, a)
		}
		time.Sleep(interval)
	}
}

// shutdownTimeout bounds the wait for requests in flight when a fake is
// stopped.
const shutdownTimeout = 10 * time.Second

// serve serves h at an address until ctx is done, and then waits for requests in flight.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.Shutdown(limited)
	})
	defer stop()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	<-stopped
	return nil
}
