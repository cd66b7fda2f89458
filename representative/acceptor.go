// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package representative

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// acceptor makes operators' intents the configuration in force. All representatives
// may accept any intent. The first in the order for the service does so at
// once, and each of the others waits a little longer, and finds it done.
type acceptor struct {
	*Representative
	reporter *reporter

	mu      sync.Mutex
	pending map[string]pendingIntent
	sources map[string]uint64 // the newest source known to be accepted
	wake    chan struct{}
	zones   []string // other zones with live nodes, as of zonesAt
	zonesAt time.Time
}

// pendingIntent is an intent that is due at a time.
type pendingIntent struct {
	acceptance.Intent
	due      time.Time
	failures int
}

func newAcceptor(of *Representative, r *reporter) *acceptor {
	return &acceptor{
		Representative: of,
		reporter:       r,
		pending:        make(map[string]pendingIntent),
		sources:        make(map[string]uint64),
		wake:           make(chan struct{}, 1),
	}
}

// listed takes in a list of all Service objects. Services in force that are not
// on it have been deleted.
func (a *acceptor) listed(l *objectapi.List) {
	gone := a.Node.ActiveServices()
	for _, o := range l.Items {
		a.consider(acceptance.IntentOf(o))
		delete(gone, o.Metadata.Name)
	}
	for name := range gone {
		a.consider(acceptance.Intent{
			Name:   name,
			Source: objectapi.ParseVersion(l.Metadata.ResourceVersion),
		})
	}
}

// changed takes in a change of a Service object.
func (a *acceptor) changed(e objectapi.Event) {
	in := acceptance.IntentOf(e.Object)
	if e.Type == objectapi.Deleted {
		in.Spec = nil
	}
	a.consider(in)
}

// learn takes in an Accepted object: its configuration is put in force here and
// reported, and the intent that it comes from is done.
func (a *acceptor) learn(o *objectapi.Object) error {
	spec, err := objectapi.SpecOf[operator.Accepted](o)
	if err != nil {
		return err
	}
	name := o.Metadata.Name
	a.done(name, spec.Source)
	a.Node.ApplyConfig(acceptance.FromAccepted(name, spec))
	a.reporter.accepted(name, &spec)
	return nil
}

// consider has an intent accepted when it is this representative's turn, unless it is
// known to be done.
func (a *acceptor) consider(in acceptance.Intent) {
	if a.settled(in) {
		return
	}
	turn := a.takeoverDelay(in.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[in.Name] = pendingIntent{
		Intent: in,
		due:    time.Now().Add(turn),
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// settled returns whether an intent, or a newer one for the same service, is
// accepted or pending.
func (a *acceptor) settled(in acceptance.Intent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return in.Source <= a.sources[in.Name] || in.Source <= a.pending[in.Name].Source
}

// zonesFor is how long the list of zones is used before it is made anew: that
// takes a walk over all members, and a list of services asks for it often.
const zonesCacheTime = time.Second

// turn returns how long this representative leaves an intent to those before it.
func (a *acceptor) takeoverDelay(name string) time.Duration {
	a.mu.Lock()
	fresh := time.Since(a.zonesAt) < zonesCacheTime
	zones := a.zones
	a.mu.Unlock()
	if !fresh {
		zones = a.Node.OtherZones()
		a.mu.Lock()
		a.zones = zones
		a.zonesAt = time.Now()
		a.mu.Unlock()
	}
	return time.Duration(member.RendezvousRank(name, a.Zone, zones)) * a.TakeoverDelay
}

// acceptTick is how often the acceptor looks for what is due.
const acceptInterval = 50 * time.Millisecond

// run accepts what is due until ctx ends.
func (a *acceptor) run(ctx context.Context) {
	tick := time.NewTicker(acceptInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-a.wake:
		}
		for _, p := range a.takeDue() {
			if err := a.accept(ctx, p); err != nil {
				a.Log.Warn().Err(err).Str("service", p.Name).Msg("accepting failed, trying again")
				a.retry(p, err)
			}
		}
	}
}

// takeDue removes and returns the intents that are due and not done.
func (a *acceptor) takeDue() []pendingIntent {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []pendingIntent
	for name, p := range a.pending {
		switch {
		case p.Source <= a.sources[name]:
			delete(a.pending, name)
		case !time.Now().Before(p.due):
			delete(a.pending, name)
			list = append(list, p)
		}
	}
	return list
}

// again keeps an intent that could not be accepted, unless a newer one has come.
func (a *acceptor) retry(p pendingIntent, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending[p.Name].Source > p.Source {
		return
	}
	p.due = time.Now().Add(objectapi.Backoff(p.failures, err))
	p.failures++
	a.pending[p.Name] = p
}

// accept accepts one intent and says so in its status.
func (a *acceptor) accept(ctx context.Context, p pendingIntent) error {
	if f := a.hostsTaken(p.Intent); len(f) > 0 {
		a.done(p.Name, p.Source)
		a.reporter.refused(p.Intent, f)
		return nil
	}
	result, err := acceptance.Accept(ctx, a.API, p.Intent)
	if err != nil {
		return err
	}
	a.done(p.Name, p.Source)
	if len(result.Refused) > 0 {
		a.Log.Warn().Err(result.Refused).Str("service", p.Name).Msg("intent refused")
		a.reporter.refused(p.Intent, result.Refused)
	}
	if result.Object == nil {
		return nil
	}
	return a.learn(result.Object)
}

// done records that nothing more is to be done about an intent.
func (a *acceptor) done(name string, source uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sources[name] = max(a.sources[name], source)
}

// hostsTaken returns the faults of an intent whose hosts another service in
// force has.
func (a *acceptor) hostsTaken(in acceptance.Intent) operator.Faults {
	s, err := operator.ParseService(in.Spec)
	if in.Spec == nil || err != nil {
		return nil
	}
	var f operator.Faults
	for i, h := range s.Hosts {
		if other := a.Node.HostOwner(h); other != "" && other != in.Name {
			f = append(f, operator.Fault{
				Field:   fmt.Sprintf("hosts[%d]", i),
				Message: fmt.Sprintf("%q belongs to the service %s", h, other),
			})
		}
	}
	return f
}
