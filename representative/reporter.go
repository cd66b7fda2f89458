// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package representative

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

const (
	// sampleSize is the number of nodes of the zone that are queried whether they
	// have a configuration. In a smaller zone all nodes are queried.
	sampleSize = 16
	// queryTimeout bounds the wait for their replies.
	queryTimeout = time.Second
	// reportWindow is the time over which the representatives of all zones spread
	// their writes of a status.
	reportWindow = 500 * time.Millisecond
	// reportAttempts is the maximum number of attempts to write a status while other
	// representatives write it too.
	reportAttempts = 8
	// reportPeriod is how long a representative keeps querying nodes for a configuration
	// that some of them do not have, or that members which join later may not have.
	reportPeriod = 30 * time.Second
	// queryInterval is the minimum interval of these queries while some nodes do not have it.
	queryInterval = 250 * time.Millisecond
	// memberInterval is the minimum interval at which it looks for new members once all have it.
	memberInterval = time.Second
)

// reporter writes this zone's part of the statuses of services.
type reporter struct {
	*Representative

	mu      sync.Mutex
	pending map[reportKey]*report
	written map[string]uint64 // the last sequence whose report is complete, by service
}

// reportKey identifies a report. The active configuration and a refused intent are
// reported separately, because both may be pending at the same time.
type reportKey struct {
	name    string
	refused bool
}

// report is a pending status of one service.
type report struct {
	reportKey
	accepted *operator.Accepted      // of a report on the active configuration
	status   *operator.ServiceStatus // of a report on a refusal
	due      time.Time
	until    time.Time
	members  int // size of the zone when all nodes that were queried had it; 0 before
}

func newReporter(of *Representative) *reporter {
	return &reporter{
		Representative: of,
		pending:        make(map[reportKey]*report),
		written:        make(map[string]uint64),
	}
}

// accepted schedules reports on the roll-out of an accepted configuration.
func (r *reporter) accepted(name string, spec *operator.Accepted) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := reportKey{name: name}
	p := r.pending[key]
	if spec.Sequence <= r.written[key.name] || p != nil && p.accepted.Sequence >= spec.Sequence {
		return
	}
	r.pending[key] = &report{
		reportKey: key,
		accepted:  spec,
		due:       time.Now().Add(rand.N(reportWindow)),
		until:     time.Now().Add(reportPeriod),
	}
}

// refused schedules a report of the refusal of an intent.
func (r *reporter) refused(in acceptance.Intent, f operator.FieldErrors) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := reportKey{
		name:    in.Name,
		refused: true,
	}
	r.pending[key] = &report{
		reportKey: key,
		status: &operator.ServiceStatus{
			Phase:           operator.PhaseRefused,
			ObservedVersion: strconv.FormatUint(in.Source, 10),
			Errors:          f,
		},
		due:   time.Now(),
		until: time.Now().Add(reportPeriod),
	}
}

// run writes reports when their time has come, until ctx ends.
func (r *reporter) run(ctx context.Context) {
	tick := time.NewTicker(queryInterval / 5)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range r.due() {
			r.write(ctx, p)
		}
	}
}

func (r *reporter) due() []*report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*report
	for _, p := range r.pending {
		if !time.Now().Before(p.due) {
			list = append(list, p)
		}
	}
	return list
}

// write queries how many nodes of the zone have the configuration and writes the status. The
// report stays pending for a while after all nodes that were queried have it, because a
// representative that has just started may not know all members yet.
func (r *reporter) write(ctx context.Context, p *report) {
	if p.members > 0 && p.members == r.Node.ZoneSize() {
		r.settle(p, nil, memberInterval)
		return
	}
	next := p.status
	wait := memberInterval
	p.members = r.Node.ZoneSize()
	if p.accepted != nil {
		zone := r.queryZone(ctx, p.name, p.accepted.Sequence)
		next = statusOf(p.accepted, r.Zone, zone)
		if zone.UpToDate < zone.Queried {
			wait = queryInterval
			p.members = 0
		}
	}
	err := r.merge(ctx, p.name, next)
	if err != nil {
		wait = queryInterval
		p.members = 0
	}
	r.settle(p, err, wait)
}

// settle reschedules a report, or ends it when its period is over. A report that
// could not be written is always kept.
func (r *reporter) settle(p *report, err error, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[p.reportKey] != p {
		return
	}
	if err != nil || !p.refused && time.Now().Before(p.until) {
		p.due = time.Now().Add(wait + rand.N(wait))
		return
	}
	delete(r.pending, p.reportKey)
	if p.accepted != nil {
		r.written[p.name] = p.accepted.Sequence
	}
}

// statusOf returns the status of an accepted configuration in one zone.
func statusOf(a *operator.Accepted, zone string, z operator.ZoneStatus) *operator.ServiceStatus {
	s := &operator.ServiceStatus{
		Phase:           operator.PhaseAccepted,
		ObservedVersion: strconv.FormatUint(a.SourceVersion, 10),
		Sequence:        a.Sequence,
		AcceptedAt:      a.AcceptedAt,
		Zones:           map[string]operator.ZoneStatus{zone: z},
	}
	if a.Deleted {
		s.Phase = operator.PhaseDeleted
	}
	return s
}

// merge writes a status, keeping what other zones have written about the same sequence.
func (r *reporter) merge(ctx context.Context, name string, next *operator.ServiceStatus) error {
	var err error
	for range reportAttempts {
		var present *objectapi.Object
		present, err = r.API.Get(ctx, operator.KindServiceStatus, name)
		if err != nil && !objectapi.IsNotFound(err) {
			return err
		}
		o := objectapi.NewObject(operator.KindServiceStatus, name, next)
		if err == nil {
			old, err := objectapi.DecodeSpec[operator.ServiceStatus](present)
			if err != nil {
				return err
			}
			merged, changed := mergeStatus(old, *next)
			if !changed {
				return nil
			}
			o = objectapi.NewObject(operator.KindServiceStatus, name, merged).WithResourceVersion(present.Metadata.ResourceVersion)
		}
		if _, err = objectapi.Put(ctx, r.API, o); !objectapi.IsConflict(err) {
			return err
		}
		sleep.For(ctx, rand.N(reportWindow/4))
	}
	return err
}

// mergeStatus merges two statuses, and returns whether the result differs
// from the old one. The later intent determines phase and errors, the higher
// sequence the active configuration.
func mergeStatus(old, next operator.ServiceStatus) (operator.ServiceStatus, bool) {
	merged := old
	changed := false
	if objectapi.ParseRevision(next.ObservedVersion) > objectapi.ParseRevision(old.ObservedVersion) {
		merged.Phase, merged.ObservedVersion, merged.Errors = next.Phase, next.ObservedVersion, next.Errors
		changed = true
	}
	if next.Sequence > old.Sequence {
		merged.Sequence, merged.AcceptedAt = next.Sequence, next.AcceptedAt
		changed = true
	}
	merged.Zones = make(map[string]operator.ZoneStatus)
	for name, z := range old.Zones {
		merged.Zones[name] = z
	}
	for name, z := range next.Zones {
		was := old.Zones[name]
		if z.Sequence < was.Sequence || z.Sequence == was.Sequence && z.UpToDate == was.UpToDate && z.Nodes == was.Nodes && z.Upstreams == was.Upstreams {
			continue
		}
		merged.Zones[name] = z
		changed = true
	}
	return merged, changed
}

// queryZone returns how many nodes of this zone have a configuration.
func (r *reporter) queryZone(ctx context.Context, name string, sequence uint64) operator.ZoneStatus {
	near := r.Node.ZonePeers()
	z := operator.ZoneStatus{
		Sequence:  sequence,
		CheckedAt: time.Now().UTC(),
		Nodes:     len(near) + 1,
		Upstreams: r.Node.Upstreams(name),
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	near = near[:min(len(near), sampleSize)]
	z.Queried = len(near) + 1
	if r.Node.Sequence(name) >= sequence {
		z.UpToDate++
	}
	z.UpToDate += r.countUpToDate(ctx, near, name, sequence)
	return z
}

// countUpToDate returns how many of the nodes have the sequence or a higher one.
func (r *reporter) countUpToDate(ctx context.Context, nodes []member.Record, name string, sequence uint64) int {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var upToDate atomic.Int32
	var all sync.WaitGroup
	for _, m := range nodes {
		all.Go(func() {
			theirs, err := r.Node.SequenceAt(ctx, m, name)
			if err != nil {
				r.Log.Debug().Err(err).Str("peer", m.ID).Str("service", name).Msg("failed to request the sequence")
				return
			}
			if theirs >= sequence {
				upToDate.Add(1)
			}
		})
	}
	all.Wait()
	return int(upToDate.Load())
}
