// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/member"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/watch"
)

// sized returns a state with n members and n/6 services. It is not running.
func sized(n int) *Control { return sizedAs("self", n) }

// sizedAs is like sized, for a node of the given name.
func sizedAs(name string, n int) *Control {
	c := &Control{
		Self:      member.Record{ID: name, Zone: "z0", Region: "r0", Addr: "10.0.0.1:8081"},
		Budget:    watch.NewBudget(1<<20, 1),
		Log:       zerolog.Nop(),
		Published: func(*Snapshot) {},
	}
	c.init()
	for i := range n / 6 {
		c.configs.Put(configOf(i, 1))
	}
	for i := range n {
		c.members.Put(recordOf(i, n, 1))
	}
	clear(c.members.Outbox)
	clear(c.configs.Outbox)
	c.rebuild()
	return c
}

func recordOf(i, n int, version uint64) member.Record {
	return member.Record{
		ID:          fmt.Sprintf("node-%05d", i),
		Addr:        fmt.Sprintf("10.%d.%d.%d:8081", i>>16, i>>8&255, i&255),
		Zone:        fmt.Sprint("zone-", i%21),
		Region:      fmt.Sprint("region-", i%6),
		Service:     serviceName(i % (n / 6)),
		Slots:       10,
		State:       member.Up,
		Incarnation: uint64(time.Now().UnixNano()),
		Version:     version,
		WrittenAt:   time.Now().Unix(),
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }

func configOf(i int, sequence uint64) acceptance.Config {
	s := operator.Service{Hosts: []string{serviceName(i) + ".example"}}.WithDefaults()
	return acceptance.FromAccepted(serviceName(i), operator.Accepted{Sequence: sequence, Service: s, AcceptedAt: time.Now()})
}

// BenchmarkState reports the memory of a node's whole control state and the sizes of its records on
// the wire. It measures the time to apply one member's change, including the snapshot
// that follows.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := sized(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			r, _ := msgpack.Marshal(recordOf(1, n, 1))
			s, _ := msgpack.Marshal(configOf(1, 1))
			var version uint64 = 1
			for b.Loop() {
				version++
				c.members.Put(recordOf(int(version)%n, n, version))
				c.rebuild()
				clear(c.members.Outbox)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
			b.ReportMetric(float64(len(r)), "B/record")
			b.ReportMetric(float64(len(s)), "B/config")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkConfigChange measures the time to apply one change of a configuration, including
// the snapshot that follows.
func BenchmarkConfigChange(b *testing.B) {
	for _, n := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := sized(n)
			var sequence uint64 = 1
			for b.Loop() {
				sequence++
				c.configs.Put(configOf(int(sequence)%(n/6), sequence))
				c.rebuild()
				clear(c.configs.Outbox)
			}
		})
	}
}

// BenchmarkSplit measures the walk over all members by which neighbours are chosen.
func BenchmarkSplit(b *testing.B) {
	for _, n := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := sized(n)
			for b.Loop() {
				c.splitByZone()
			}
		})
	}
}
