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

// acceptor accepts operators' intents as the active configuration. Every representative
// may accept any intent. The first in the order for the service does so at
// once. Each of the others waits a little longer and usually finds it accepted.
type acceptor struct {
	*Representative
	reporter *reporter

	mu      sync.Mutex
	pending map[string]pendingIntent
	sources map[string]uint64 // the newest accepted source, by service
	wake    chan struct{}
	zones   []string // other zones with live nodes, as of zonesAt
	zonesAt time.Time
}

// pendingIntent is an intent that is to be accepted at a given time.
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

// listed handles a list of all Service objects. Active services that are not
// in the list have been deleted.
func (a *acceptor) listed(l *objectapi.List) {
	deleted := a.Node.ActiveServices()
	for _, o := range l.Items {
		a.schedule(acceptance.NewIntent(o))
		delete(deleted, o.Metadata.Name)
	}
	for name := range deleted {
		a.schedule(acceptance.Intent{
			Name:   name,
			Source: objectapi.ParseRevision(l.Metadata.ResourceVersion),
		})
	}
}

// changed handles a change of a Service object.
func (a *acceptor) changed(e objectapi.Event) {
	in := acceptance.NewIntent(e.Object)
	if e.Type == objectapi.Deleted {
		in.Spec = nil
	}
	a.schedule(in)
}

// apply handles an Accepted object: it applies the configuration on this node, has it
// reported, and marks its intent as done.
func (a *acceptor) apply(o *objectapi.Object) error {
	spec, err := objectapi.DecodeSpec[operator.Accepted](o)
	if err != nil {
		return err
	}
	name := o.Metadata.Name
	a.done(name, spec.SourceVersion)
	a.Node.ApplyConfig(acceptance.FromAccepted(name, spec))
	a.reporter.accepted(name, &spec)
	return nil
}

// schedule has an intent accepted after this representative's delay, unless it is known
// to be done.
func (a *acceptor) schedule(in acceptance.Intent) {
	if a.settled(in) {
		return
	}
	delay := a.takeoverDelay(in.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[in.Name] = pendingIntent{
		Intent: in,
		due:    time.Now().Add(delay),
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// settled returns whether an intent, or a newer one of the same service, is
// accepted or pending.
func (a *acceptor) settled(in acceptance.Intent) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return in.Source <= a.sources[in.Name] || in.Source <= a.pending[in.Name].Source
}

// zonesCacheTime is how long the list of zones is cached. Building it visits all members, and a
// list of services needs it for each service.
const zonesCacheTime = time.Second

// takeoverDelay returns how long this representative leaves an intent to those that rank before it.
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

// acceptInterval is the interval at which the acceptor looks for intents to accept.
const acceptInterval = 50 * time.Millisecond

// run accepts intents when their time has come, until ctx ends.
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
				a.Log.Warn().Err(err).Str("service", p.Name).Msg("failed to accept an intent; retrying")
				a.retry(p, err)
			}
		}
	}
}

// takeDue removes and returns the intents whose time has come, and drops those that are done.
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

// retry reschedules an intent that could not be accepted, unless a newer one is pending.
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

// accept accepts one intent and has the result reported in its status.
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
	if len(result.Errors) > 0 {
		a.Log.Warn().Err(result.Errors).Str("service", p.Name).Msg("intent refused")
		a.reporter.refused(p.Intent, result.Errors)
	}
	if result.Object == nil {
		return nil
	}
	return a.apply(result.Object)
}

// done records that an intent needs no further action.
func (a *acceptor) done(name string, source uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sources[name] = max(a.sources[name], source)
}

// hostsTaken returns an error for each host of an intent that belongs to another active
// service.
func (a *acceptor) hostsTaken(in acceptance.Intent) operator.FieldErrors {
	s, err := operator.ParseService(in.Spec)
	if in.Spec == nil || err != nil {
		return nil
	}
	var f operator.FieldErrors
	for i, h := range s.Hosts {
		if other := a.Node.HostOwner(h); other != "" && other != in.Name {
			f = append(f, operator.FieldError{
				Field:   fmt.Sprintf("hosts[%d]", i),
				Message: fmt.Sprintf("%q belongs to the service %s", h, other),
			})
		}
	}
	return f
}
