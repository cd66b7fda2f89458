// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package departure

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
)

const (
	// recordTimeout is how long a Record may take until it is safe. The upstream waits a second for
	// the acknowledgement.
	recordTimeout = 700 * time.Millisecond
	// platformTimeout is how long the platform may take to answer a recovery until the answers of other
	// nodes suffice. A store that is slowed down sixtyfold responds within it.
	platformTimeout = 300 * time.Millisecond
	// maxRetryPause bounds the time between two attempts to write to the platform.
	maxRetryPause = 2 * time.Second
	// askInterval is the time between two attempts to recover the Records from other nodes.
	askInterval = 200 * time.Millisecond
	// sweepInterval is the time between two removals of expired objects from the platform.
	sweepInterval = Retention
)

// Peers are the other nodes. The methods may be called from any goroutine.
type Peers interface {
	// Replicate sends a Record to other nodes, and returns how many have confirmed that they keep it.
	// It returns once enough have, or no more will, or ctx ends.
	Replicate(ctx context.Context, r Record) Replication
	// Reconciled returns a channel that is closed once this node has received the state of another.
	Reconciled() <-chan struct{}
	// Recover asks other nodes for this node's Records. It returns whether any has answered, and
	// whether so many that one of those must know what a former process has had confirmed.
	Recover(ctx context.Context) (answered, attested bool)
	// Recovered is called once the Records of this node's former processes are known to other nodes as
	// far as they are to this one.
	Recovered()
	// Departures returns the known Records of this node.
	Departures() []Record
	// IsFirstInZone returns whether the node does the work on the platform for its zone.
	IsFirstInZone() bool
}

// Replication is the result of sending a Record to other nodes.
type Replication struct {
	// Confirmed is the number of nodes that have confirmed it, and Needed how many must.
	Confirmed, Needed int
	// Others is the number of other nodes that this one knows.
	Others int
}

// Enough returns whether enough nodes have confirmed the Record.
func (r Replication) Enough() bool { return r.Confirmed >= r.Needed }

// Recorder makes the Records of a node outlive its process. The exported fields are set before Run.
type Recorder struct {
	// Node is the node's name.
	Node string
	// Peers are the other nodes.
	Peers Peers
	// Registry holds the Records on the platform, or is nil if there is none.
	Registry *Registry
	// FirstStart is whether there were no former processes of the node, as far as the platform is
	// concerned. The platform is not asked then.
	FirstStart bool
	// DiscoveryDone is closed once the node has had the time to discover others.
	DiscoveryDone <-chan struct{}
	// Log receives the events.
	Log zerolog.Logger

	mu        sync.Mutex
	records   map[string]*progress // by key
	changed   chan struct{}        // closed with each change of a progress
	unsaved   chan struct{}        // has a value when a Record has to be written to the platform
	recovered chan struct{}        // closed once Recover has ended, and so the other nodes are known
}

// progress is where a Record is known to be kept.
type progress struct {
	record       Record
	asking       bool        // whether other nodes are being asked
	asked        bool        // whether other nodes have been asked
	peers        Replication // valid if asked
	saved        bool        // whether it is on the platform
	acknowledged bool        // whether Record has returned nil for it
}

// confirmed returns whether enough other nodes have confirmed the Record.
func (p *progress) confirmed() bool { return p.asked && p.peers.Enough() }

// safe returns whether the Record outlives all processes, as far as that is possible. The platform must
// have it, as all processes may end at any moment. Other nodes must have it as well: a process that
// starts while the platform is away asks them. The lock is held.
func (d *Recorder) safe(p *progress) bool {
	return p.confirmed() && (p.saved || d.Registry == nil)
}

// init initialises the state on the first call. The lock is held.
func (d *Recorder) init() {
	if d.records != nil {
		return
	}
	d.records = make(map[string]*progress)
	d.changed = make(chan struct{})
	d.unsaved = make(chan struct{}, 1)
	d.recovered = make(chan struct{})
}

// ErrNotSafe is returned when the platform or too many other nodes have not confirmed a Record in time.
var ErrNotSafe = eris.New("the departure has not been confirmed in time")

// Record records that a start of the upstream gets no more requests. It returns nil once that outlives
// all processes, also if there is no other node and no platform that could keep it. The start is
// recorded even if ctx ends meanwhile. A start without an ID can't be recorded.
func (d *Recorder) Record(ctx context.Context, startID string, startMillis int64) error {
	if startID == "" {
		return nil
	}
	began := time.Now()
	p := d.begin(NewRecord(d.Node, startID, startMillis))
	err := d.await(ctx, p, began)
	d.mu.Lock()
	defer d.mu.Unlock()
	event, e := "departure recorded", d.Log.Info()
	switch {
	case err != nil:
		event, e = "departure not acknowledged", d.Log.Warn().Err(err)
	case p.acknowledged:
		return nil
	default:
		p.acknowledged = true
	}
	e.Str("start", startID).Int64("bornMs", startMillis).Int("nodes", p.peers.Confirmed).Bool("platform", p.saved).Dur("tookMs", time.Since(began)).Msg(event)
	return err
}

// begin begins to record a start, or asks other nodes again if too few have confirmed it.
func (d *Recorder) begin(r Record) *progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.expire(time.Now())
	p := d.records[r.Key()]
	if p == nil {
		p = &progress{record: r}
		d.records[r.Key()] = p
		if d.Registry != nil {
			d.requestSave()
		}
	}
	if !p.asking && !p.confirmed() {
		p.asking = true
		go d.replicate(p)
	}
	return p
}

// expire drops the Records that are about to expire: their starts may be recorded again, and they are no
// longer written to the platform. The lock is held.
func (d *Recorder) expire(now time.Time) {
	for key, p := range d.records {
		if now.Sub(time.Unix(p.record.RecordedAt, 0)) > Retention/2 {
			delete(d.records, key)
		}
	}
}

// requestSave requests a write to the platform.
func (d *Recorder) requestSave() {
	select {
	case d.unsaved <- struct{}{}:
	default:
	}
}

// replicate has other nodes confirm a Record. It waits until they are known: a node that knows none
// would take the platform's confirmation for all that there can be.
func (d *Recorder) replicate(p *progress) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	select {
	case <-d.recovered:
	case <-ctx.Done():
		d.update(func() { p.asking = false })
		return
	}
	result := d.Peers.Replicate(ctx, p.record)
	d.update(func() {
		p.asking = false
		p.asked = true
		p.peers = result
	})
}

// update changes the progress of a Record.
func (d *Recorder) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.changed)
	d.changed = make(chan struct{})
}

// await waits until a Record is safe.
func (d *Recorder) await(ctx context.Context, p *progress, began time.Time) error {
	timeout := time.NewTimer(time.Until(began.Add(recordTimeout)))
	defer timeout.Stop()
	for {
		d.mu.Lock()
		changed := d.changed
		safe := d.safe(p)
		d.mu.Unlock()
		if safe {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return ErrNotSafe
		case <-ctx.Done():
			return eris.Wrap(context.Cause(ctx), "departure")
		}
	}
}

// Run writes Records to the platform, and removes expired ones, until ctx ends.
func (d *Recorder) Run(ctx context.Context) {
	if d.Registry == nil {
		return
	}
	d.mu.Lock()
	d.init()
	d.mu.Unlock()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			if !d.Peers.IsFirstInZone() {
				continue
			}
			if err := d.Registry.RemoveExpired(ctx); err != nil {
				d.Log.Warn().Err(err).Msg("expired departures not removed")
			}
		case <-d.unsaved:
			d.save(ctx)
		}
	}
}

// save writes all Records to the platform that are not there, and retries until that has succeeded, they
// have been dropped, or ctx ends.
func (d *Recorder) save(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		var list []*progress
		var records []Record
		d.mu.Lock()
		d.expire(time.Now())
		for _, p := range d.records {
			if !p.saved {
				list = append(list, p)
				records = append(records, p.record)
			}
		}
		d.mu.Unlock()
		if len(list) == 0 {
			return
		}
		err := d.Registry.Save(ctx, records)
		if err == nil {
			d.update(func() {
				for _, p := range list {
					p.saved = true
				}
			})
			return
		}
		d.Log.Warn().Err(err).Int("try", attempt+1).Msg("departure not written to the platform")
		sleep.For(ctx, min(maxRetryPause, objectapi.Backoff(attempt, err)))
	}
}

// Rewrite writes all Records to the platform again, which may have lost them.
func (d *Recorder) Rewrite() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if d.Registry == nil || len(d.records) == 0 {
		return
	}
	for _, p := range d.records {
		p.saved = false
	}
	d.requestSave()
}

// Recover returns the Records of the node's former processes. It waits until they must be known, or
// ctx ends: the platform has answered or, if it is away, so many other nodes that one of them must know
// them. It is called once.
func (d *Recorder) Recover(ctx context.Context) []Record {
	began := time.Now()
	s := d.recover(ctx)
	known := d.Peers.Departures()
	list := s.stored
	for _, r := range known {
		if !contains(list, r) {
			list = append(list, r)
		}
	}
	d.adopt(list, len(s.stored))
	// The next process asks other nodes if the platform is away.
	replicating, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for _, r := range s.stored {
		if !contains(known, r) {
			d.Peers.Replicate(replicating, r)
		}
	}
	d.Peers.Recovered()
	close(d.recovered)
	d.Log.Info().Int("starts", len(list)).Bool("answered", s.answered).Bool("attested", s.attested).Bool("platform", s.loaded).Dur("tookMs", time.Since(began)).Msg("departures recovered")
	return list
}

// contains returns whether a list has a Record of the same start.
func contains(list []Record, r Record) bool {
	return slices.ContainsFunc(list, func(o Record) bool { return o.Key() == r.Key() })
}

// adopt keeps the Records of former processes, of which the first ones are on the platform.
func (d *Recorder) adopt(list []Record, stored int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	for i, r := range list {
		if d.records[r.Key()] != nil {
			continue
		}
		d.records[r.Key()] = &progress{
			record: r,
			asked:  true,
			saved:  i < stored,
			peers:  Replication{Others: 1},
		}
		if i >= stored && d.Registry != nil {
			d.requestSave()
		}
	}
}

// recovery is how far a recovery is.
type recovery struct {
	answered, attested bool // as of Peers.Recover
	isolated           bool // whether no other node is likely to answer
	loaded             bool // whether the platform has answered, if it is asked
	platformAway       bool // whether the platform has failed to answer, or is late
	stored             []Record
}

// complete returns whether all Records must be known. The platform has all that were acknowledged; other
// nodes may have others as well.
func (s *recovery) complete(asksPlatform bool) bool {
	if s.attested && s.platformAway {
		return true
	}
	return (s.loaded || !asksPlatform) && (s.answered || s.isolated)
}

// recover does what Recover does.
func (d *Recorder) recover(ctx context.Context) (s recovery) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asksPlatform := d.Registry != nil && !d.FirstStart
	loaded := make(chan []Record, 1)
	failed := make(chan struct{}, 1)
	if asksPlatform {
		go d.load(ctx, loaded, failed)
	}
	reconciled, discoveryDone := d.Peers.Reconciled(), d.DiscoveryDone
	platformLate := time.NewTimer(platformTimeout)
	defer platformLate.Stop()
	ask := time.NewTimer(askInterval)
	ask.Stop()
	defer ask.Stop()
	for !s.complete(asksPlatform) {
		select {
		case <-ctx.Done():
			return s
		case s.stored = <-loaded:
			s.loaded = true
		case <-failed:
			s.platformAway = true
		case <-platformLate.C:
			s.platformAway = true
		case <-discoveryDone:
			discoveryDone = nil
			s.isolated = !s.answered
		case <-reconciled:
			reconciled = nil
			ask.Reset(0)
		case <-ask.C:
			answered, attested := d.Peers.Recover(ctx)
			s.answered, s.attested = s.answered || answered, attested
			if !attested {
				ask.Reset(askInterval)
			}
		}
	}
	return s
}

// load reads the Records from the platform, and retries until that has succeeded or ctx ends. It sends
// to failed after the first attempt that fails.
func (d *Recorder) load(ctx context.Context, loaded chan<- []Record, failed chan<- struct{}) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		list, err := d.Registry.Load(ctx)
		if err == nil {
			loaded <- list
			return
		}
		if attempt == 0 {
			failed <- struct{}{}
		}
		d.Log.Warn().Err(err).Int("try", attempt+1).Msg("departures not read from the platform")
		sleep.For(ctx, min(maxRetryPause, objectapi.Backoff(attempt, err)))
	}
}
