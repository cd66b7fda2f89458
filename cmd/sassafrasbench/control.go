// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"sassafrasfront.example/cmd/sassafrasbench/load"
	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// smallService returns a service for measurements of the control state.
func smallService(upstreams int) rig.Spec {
	return rig.Spec{
		Service:    "pledgebook",
		Upstreams:  upstreams,
		Slots:      10,
		Parameters: backend.Parameters{MeanMillis: 2},
	}
}

// sequenceWatcher polls the sequence of a service's configuration at all nodes.
type sequenceWatcher struct {
	rig       *rig.Rig
	service   string
	last      map[string]uint64 // by node and number of restarts
	decreases int
}

// lowest returns the lowest sequence of all running nodes. It counts nodes whose sequence
// has decreased without a restart.
func (w *sequenceWatcher) lowest(restarts map[string]int) uint64 {
	low := ^uint64(0)
	for _, n := range w.rig.Nodes {
		if !n.Running() {
			continue
		}
		view, err := n.View()
		if err != nil {
			return 0
		}
		sequence := view.Sequences[w.service]
		key := fmt.Sprint(n.Name, "/", restarts[n.Name])
		if sequence < w.last[key] {
			w.decreases++
		}
		w.last[key] = sequence
		low = min(low, sequence)
	}
	return low
}

// config changes a service once a second at 30 nodes, kills a node every five
// seconds, and measures the time until a change is active at every node.
func config(ctx context.Context, b *bench) error {
	spec := smallService(30)
	r, err := b.start(ctx, nil, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	restarts := make(map[string]int)
	w := &sequenceWatcher{rig: r, service: spec.Service, last: make(map[string]uint64)}
	if err := rig.Poll(ctx, func() bool { return w.lowest(restarts) >= 1 }); err != nil {
		return err
	}
	var millis []float64
	const changes = 60
	for i := range changes {
		began := time.Now()
		spec.Config.Timeout = operator.Duration(time.Duration(1000+i) * time.Millisecond)
		if err := r.Configure(ctx, spec.Service, spec.Config); err != nil {
			return err
		}
		if i%5 == 4 {
			n := r.Nodes[rand.IntN(len(r.Nodes))]
			n.SignalNode(syscall.SIGKILL)
			n.WaitNode()
			restarts[n.Name]++
			if err := n.StartNode(); err != nil {
				return err
			}
		}
		want := uint64(i + 2)
		if err := rig.Poll(ctx, func() bool { return w.lowest(restarts) >= want }); err != nil {
			return err
		}
		millis = append(millis, time.Since(began).Seconds()*1000)
		sleep(ctx, time.Second-time.Since(began))
	}
	b.set("changes", changes)
	b.set("kills", changes/5)
	b.set("everywhereP50Ms", median(millis))
	b.set("everywhereP99Ms", quantile(millis, 0.99))
	b.set("everywhereMaxMs", maximum(millis))
	b.set("reverts", w.decreases)
	return nil
}

// outage makes the platform unavailable for longer than every lease, during traffic, a
// drain, the kill of a node and the start of another.
func outage(ctx context.Context, b *bench) error {
	spec := smallService(9)
	r, err := b.start(ctx, nil, spec, entryService())
	if err != nil {
		return err
	}
	defer b.stop(r)
	if err := r.SetFaults(objectapitest.Faults{Down: true}); err != nil {
		return err
	}
	entries := nodesOf(r, "office")
	var result *load.Result
	var all sync.WaitGroup
	all.Go(func() {
		result = b.load(ctx, load.Plan{
			Rate:         500,
			Duration:     12 * time.Second,
			PostFraction: 0.5,
			Host:         spec.Service + ".example",
		}, entries)
	})
	time.Sleep(3 * time.Second)
	nodes := nodesOf(r, spec.Service)
	if err := nodes[0].Drain(true); err != nil {
		return err
	}
	time.Sleep(time.Second)
	nodes[1].SignalNode(syscall.SIGKILL)
	nodes[1].WaitNode()
	// A node that starts while the platform is down discovers the other nodes through the
	// peers in its settings.
	joiner, err := r.AddWithFlags(spec, benchZones[2], "-peers", entries[0].IP+":8081,"+nodes[2].IP+":8081")
	if err != nil {
		return err
	}
	joined := time.Now()
	joinErr := rig.Poll(ctx, func() bool { rec, err := joiner.Record(); return err == nil && len(rec.Runs) > 0 })
	b.set("joinerServingAfterMs", time.Since(joined).Seconds()*1000)
	all.Wait()
	if joinErr != nil {
		return joinErr
	}
	restored := time.Now()
	if err := r.SetFaults(objectapitest.Faults{}); err != nil {
		return err
	}
	spec.Config.Timeout = operator.Duration(3 * time.Second)
	if err := r.Configure(ctx, spec.Service, spec.Config); err != nil {
		return err
	}
	err = rig.Poll(ctx, func() bool { return statusComplete(ctx, r, spec.Service, 2) })
	b.set("statusRightAfterMs", time.Since(restored).Seconds()*1000)
	b.set("sent", result.Sent)
	b.set("refused", result.Refused)
	b.set("failed", result.Failed+result.Incomplete)
	b.set("failedIdempotent", result.FailedIdempotent)
	b.set("causes", causes(result))
	return err
}

// statusComplete returns whether, according to the service's status, every zone has at least
// the given sequence.
func statusComplete(ctx context.Context, r *rig.Rig, service string, sequence uint64) bool {
	o, err := r.API.Get(ctx, operator.KindServiceStatus, service)
	if err != nil {
		return false
	}
	s, err := objectapi.DecodeSpec[operator.ServiceStatus](o)
	if err != nil || s.Sequence < sequence || len(s.Zones) < len(benchZones) {
		return false
	}
	for _, z := range s.Zones {
		if z.Sequence < sequence || z.UpToDate == 0 {
			return false
		}
	}
	return true
}

// race runs concurrent writes by operators, and concurrent acceptance by representatives, while
// some responses to writes are lost.
func race(ctx context.Context, b *bench) error {
	spec := smallService(9)
	r, err := b.start(ctx, nil, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	if err := r.SetFaults(objectapitest.Faults{LoseWrites: 0.2}); err != nil {
		return err
	}
	const operators, writes = 8, 20
	var mu sync.Mutex
	acknowledged := make(map[string]bool) // resource versions
	var conflicts, unknown int
	history := newAcceptedHistory(ctx, r.API, spec.Service)
	var all sync.WaitGroup
	for i := range operators {
		all.Go(func() {
			for j := range writes {
				s := spec.Config
				s.Hosts = []string{"pledgebook.example"}
				s.Timeout = operator.Duration(time.Duration(1+i*writes+j) * time.Second)
				current, err := r.API.Get(ctx, operator.KindService, spec.Service)
				if err != nil {
					continue
				}
				o := objectapi.NewObject(operator.KindService, spec.Service, s).WithResourceVersion(current.Metadata.ResourceVersion)
				written, err := objectapi.Put(ctx, r.API, o)
				mu.Lock()
				switch {
				case err == nil:
					acknowledged[written.Metadata.ResourceVersion] = true
				case objectapi.IsConflict(err):
					conflicts++
				default:
					unknown++
				}
				mu.Unlock()
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	all.Wait()
	if err := r.SetFaults(objectapitest.Faults{}); err != nil {
		return err
	}
	last, err := r.API.Get(ctx, operator.KindService, spec.Service)
	if err != nil {
		return err
	}
	err = rig.Poll(ctx, func() bool { return history.latestSource() >= last.Revision() })
	b.set("operators", operators)
	b.set("acknowledged", len(acknowledged))
	b.set("conflicts", conflicts)
	b.set("unknown", unknown)
	b.set("acceptedVersions", history.len())
	b.set("historyBroken", history.countInconsistencies())
	b.set("lastWriteInForce", err == nil)
	if history.countInconsistencies() > 0 {
		return fmt.Errorf("the accepted versions are inconsistent")
	}
	return err
}

// acceptedHistory follows the Accepted object of a service and checks that its versions are
// consistent.
type acceptedHistory struct {
	mu              sync.Mutex
	sources         map[uint64]uint64 // by sequence
	maxSource       uint64
	inconsistencies int
}

func newAcceptedHistory(ctx context.Context, api *objectapi.Client, service string) *acceptedHistory {
	h := &acceptedHistory{sources: make(map[uint64]uint64)}
	record := func(o *objectapi.Object) {
		a, err := objectapi.DecodeSpec[operator.Accepted](o)
		if err != nil || o.Metadata.Name != service {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if known, ok := h.sources[a.Sequence]; ok && known != a.SourceVersion || a.SourceVersion < h.maxSource && a.Sequence > uint64(len(h.sources)) {
			h.inconsistencies++
		}
		h.sources[a.Sequence] = a.SourceVersion
		h.maxSource = max(h.maxSource, a.SourceVersion)
	}
	f := &objectapi.Follower{
		API:  api,
		Kind: operator.KindAccepted,
		OnList: func(l *objectapi.List) {
			for _, o := range l.Items {
				record(o)
			}
		},
		OnChange: func(e objectapi.Event) { record(e.Object) },
	}
	go f.Run(ctx)
	return h
}

func (h *acceptedHistory) latestSource() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxSource
}

func (h *acceptedHistory) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sources)
}

func (h *acceptedHistory) countInconsistencies() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inconsistencies
}
