// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/operator"
)

// systemSizes are the numbers of nodes at which the cost of the control plane is measured.
var systemSizes = []int{9, 30, 90}

// forEachSize starts a system of each size and calls f once it has settled.
func forEachSize(ctx context.Context, b *bench, f func(r *rig.Rig, n int) error) error {
	for _, n := range systemSizes {
		r, err := b.start(ctx, nil, smallService(n))
		if err != nil {
			return err
		}
		time.Sleep(8 * time.Second)
		err = f(r, n)
		b.stop(r)
		if err != nil {
			return err
		}
	}
	return nil
}

// platformCost counts the calls to the platform in an idle system, and while a service
// changes and a node restarts each second.
func platformCost(ctx context.Context, b *bench) error {
	idleRate := make(map[int]float64)
	err := forEachSize(ctx, b, func(r *rig.Rig, n int) error {
		const seconds = 20
		reads, writes, err := callsDuring(r, func() { time.Sleep(seconds * time.Second) })
		if err != nil {
			return err
		}
		idleRate[n] = (reads + writes) / seconds
		b.set(fmt.Sprintf("restReads%d", n), reads/seconds)
		b.set(fmt.Sprintf("restWrites%d", n), writes/seconds)
		reads, writes, err = callsDuring(r, func() { churn(ctx, r, seconds) })
		b.set(fmt.Sprintf("churnReads%d", n), reads/seconds)
		b.set(fmt.Sprintf("churnWrites%d", n), writes/seconds)
		return err
	})
	b.set("restRatio90to9", idleRate[90]/idleRate[9])
	return err
}

// callsDuring returns the number of calls to the platform while f runs.
func callsDuring(r *rig.Rig, f func()) (reads, writes float64, err error) {
	before, err := r.Counts()
	if err != nil {
		return 0, 0, err
	}
	f()
	after, err := r.Counts()
	return float64(after.Reads - before.Reads), float64(after.Writes - before.Writes), err
}

// churn changes the service and restarts a node each second.
func churn(ctx context.Context, r *rig.Rig, seconds int) {
	for i := range seconds {
		began := time.Now()
		_ = r.Configure(ctx, "pledgebook", operator.Service{Timeout: operator.Duration(time.Duration(1000+i) * time.Millisecond)})
		n := r.Nodes[rand.IntN(len(r.Nodes))]
		n.SignalNode(syscall.SIGKILL)
		n.WaitNode()
		_ = n.StartNode()
		sleep(ctx, time.Second-time.Since(began))
	}
}

// controlCost measures the control traffic, processor time and memory of the nodes in an
// idle system.
func controlCost(ctx context.Context, b *bench) error {
	return forEachSize(ctx, b, func(r *rig.Rig, n int) error {
		const seconds = 20
		sent := func() (sum float64) {
			for _, n := range r.Nodes {
				sum += sumMetric(n.OperatorURL(), "sassafras_peer_bytes_total", `part="control",direction="out"`)
			}
			return sum
		}
		bytes, processorSeconds := -sent(), -nodeSeconds(r.Nodes)
		time.Sleep(seconds * time.Second)
		bytes, processorSeconds = bytes+sent(), processorSeconds+nodeSeconds(r.Nodes)
		var memory float64
		for _, n := range r.Nodes {
			memory += processMegabytes(n.NodePID())
		}
		count := float64(n)
		b.set(fmt.Sprintf("bytesPerSecond%d", n), bytes/seconds/count)
		b.set(fmt.Sprintf("processorShare%d", n), processorSeconds/seconds/count)
		b.set(fmt.Sprintf("megabytes%d", n), memory/count)
		return nil
	})
}
