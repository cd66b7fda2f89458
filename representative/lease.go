// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package representative

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// contactCount is the maximum number of addresses in a lease.
const contactCount = 8

// lease is the lease of this node's zone as last read or written by this node.
type lease struct {
	*Representative
	object *objectapi.Object
	spec   operator.Representative
	since  time.Time // when the current number of renewals was first seen
}

// acquire takes the lease if there is none, or if it has not been renewed for
// its duration, as measured by this node's clock. It returns whether this node
// now holds it.
func (l *lease) acquire(ctx context.Context) bool {
	o, err := l.API.Get(ctx, operator.KindRepresentative, l.Zone)
	switch {
	case objectapi.IsNotFound(err):
		l.object = nil
		return l.write(ctx)
	case err != nil:
		l.Log.Debug().Err(err).Msg("failed to read lease")
		return false
	}
	spec, err := objectapi.DecodeSpec[operator.Representative](o)
	if err != nil {
		l.Log.Error().Err(err).Msg("invalid lease object")
		return false
	}
	if l.object == nil || o.Metadata.ResourceVersion != l.object.Metadata.ResourceVersion {
		l.since = time.Now()
	}
	l.object = o
	l.spec = spec
	if l.fetchFromContacts(ctx) {
		return false // with the fetched state, this node may rank lower
	}
	// If the holder has released the lease, or is this node before its restart, the
	// lease is free at once.
	free := spec.Holder == "" || spec.Holder == l.Node.Self().ID
	if !free && time.Since(l.since) < spec.Duration.Std() {
		return false
	}
	return l.write(ctx)
}

// fetchFromContacts fetches the state of a contact in the lease if this node knows no other
// node, or does not know the holder, and returns whether one responded. Otherwise a node that
// took the lease before it knew the others could remain separated from them.
func (l *lease) fetchFromContacts(ctx context.Context) bool {
	return !l.Node.Knows(l.spec.Holder) && l.Node.FetchState(ctx, l.spec.Contacts)
}

// write takes or renews the lease, and returns whether it succeeded.
func (l *lease) write(ctx context.Context) bool {
	self := l.Node.Self()
	next := operator.Representative{
		Holder:      self.ID,
		Incarnation: self.Incarnation,
		Renewals:    l.spec.Renewals + 1,
		Duration:    operator.Duration(l.Lease),
		Contacts:    l.Node.Addresses(contactCount),
	}
	// A node that knows few others keeps the addresses of the previous lease.
	for _, addr := range l.spec.Contacts {
		if len(next.Contacts) < contactCount && !slices.Contains(next.Contacts, addr) {
			next.Contacts = append(next.Contacts, addr)
		}
	}
	o := objectapi.NewObject(operator.KindRepresentative, l.Zone, next)
	if l.object != nil {
		o = o.WithResourceVersion(l.object.Metadata.ResourceVersion)
	}
	written, err := objectapi.Put(ctx, l.API, o)
	if err != nil {
		l.Log.Debug().Err(err).Msg("failed to write lease")
		return false
	}
	l.object = written
	l.spec = next
	l.since = time.Now()
	return true
}

// hold does the representative's work and renews the lease until another node holds it
// or ctx ends. The work continues while the platform is down. That does no
// harm, because all writes are conditional.
func (l *lease) hold(ctx context.Context) {
	l.Log.Info().Msg("became representative of the zone")
	l.holds.Store(true)
	defer l.holds.Store(false)
	work, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { newWork(l.Representative).run(work) })
	defer done.Wait()
	defer cancel()
	tick := time.NewTicker(l.Lease / 3)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.release()
			return
		case <-tick.C:
		}
		if !l.renew(ctx) {
			l.Log.Info().Str("holder", l.spec.Holder).Msg("no longer representative")
			return
		}
	}
}

// renew renews the lease. It returns false if another node now holds it.
func (l *lease) renew(ctx context.Context) bool {
	if l.write(ctx) {
		return true
	}
	o, err := l.API.Get(ctx, operator.KindRepresentative, l.Zone)
	if err != nil {
		l.Log.Debug().Err(err).Msg("failed to read lease")
		return true
	}
	spec, err := objectapi.DecodeSpec[operator.Representative](o)
	if err != nil {
		l.Log.Error().Err(err).Msg("invalid lease object")
		return true
	}
	l.object = o
	l.spec = spec
	return spec.Holder == l.Node.Self().ID
}

// release frees the lease, so that the next representative need not wait until it expires.
func (l *lease) release() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	next := l.spec
	next.Holder = ""
	o := objectapi.NewObject(operator.KindRepresentative, l.Zone, next)
	if _, err := l.API.Update(ctx, o.WithResourceVersion(l.object.Metadata.ResourceVersion)); err != nil {
		l.Log.Debug().Err(err).Msg("failed to release lease; the next representative has to wait until it expires")
	}
}
