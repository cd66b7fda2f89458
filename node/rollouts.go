// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"sassafrasfront.example/canary"
	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/rollout"
	"sassafrasfront.example/upstream"
)

const (
	// judgeCandidates is the number of nodes that may be the judge of a rollout.
	judgeCandidates = 3
	// leaseFraction is the fraction of rollbackWithin for which an upstream of the canary
	// version runs requests after a judge has responded. The rest is left for the judge to
	// detect failures and for its decision to propagate.
	leaseFraction = 0.4
	// meanConfirmDelay is the mean time that a node waits for others to send it an order for
	// a version that no upstream runs yet, before it queries the platform.
	meanConfirmDelay = 800 * time.Millisecond
)

// versionCheck tracks whether the upstream's version may take requests.
type versionCheck struct {
	toConfirm chan string // versions to confirm

	mu        sync.Mutex
	confirmed string             // the platform has no order for it, or the node knows the order
	announced rollout.LocalState // the rollout of the service at the last announcement
}

// buildRollouts creates the components that carry out rollouts, if rollouts are enabled.
func (n *Node) buildRollouts() {
	s := &n.Settings
	if s.RolloutShare == 0 {
		return
	}
	n.versions.toConfirm = make(chan string, 1)
	n.control.Exposure = rollout.Exposure(s.RolloutShare)
	orders := &canary.OrderReader{
		Decode:  n.Platform.DecodeRollout,
		Found:   n.control.ApplyOrders,
		Refused: func(reason error) { n.warnInvalid("order refused", reason) },
	}
	n.rolloutOrders = &objectapi.Lister{
		API:    n.objects,
		Kind:   n.Platform.RolloutKind,
		OnList: orders.Handle,
	}
	n.rollouts = &canary.Runner{
		Hello: peer.Hello{
			Node:    s.Node,
			Zone:    s.Zone,
			Control: true,
		},
		Counters:    &n.metrics.control,
		API:         n.objects,
		Kind:        n.Platform.RolloutKind,
		Decode:      n.Platform.DecodeRollout,
		Status:      n.Platform.RolloutStatus,
		Lease:       time.Duration(leaseFraction * float64(s.RollbackWithin)),
		Rollouts:    func() map[string]rollout.LocalState { return n.control.Snapshot().Rollouts },
		Judges:      n.rolloutJudges,
		Capacities:  n.control.UpstreamsByVersion,
		Upstream:    n.localUpstream,
		SetWithheld: n.gate.SetVersionWithheld,
		Decided:     n.control.SetRolloutState,
		Log:         n.Log,
	}
	n.gate.RequestCompleted = n.rollouts.RecordRequest
	n.control.Topics = maps.Clone(n.control.Topics)
	n.control.Topics[canary.Topic] = n.rollouts.Handle
}

// rolloutJudges returns the candidates for the judge of a service's rollout, in order.
func (n *Node) rolloutJudges(service string) []canary.Peer {
	var list []canary.Peer
	for _, r := range n.control.RendezvousTop("rollout/"+service, judgeCandidates) {
		list = append(list, canary.Peer{
			ID:   r.ID,
			Addr: r.Addr,
		})
	}
	return list
}

// localUpstream returns the upstream beside the node.
func (n *Node) localUpstream() canary.Upstream {
	a := n.announcements.Current()
	if a == nil {
		return canary.Upstream{}
	}
	return canary.Upstream{
		Service: a.Service,
		Version: a.Version,
		StartID: a.StartID,
		Running: n.gate.Load().Running,
	}
}

// announcedVersion returns the version of the upstream to announce to other nodes, and whether
// it is the canary of a rollout. No version is announced if rollouts are not enabled.
func (n *Node) announcedVersion(a *upstream.Announcement) (version string, isCanary bool) {
	if n.rollouts == nil {
		return "", false
	}
	state, ok := n.control.Snapshot().Rollouts[a.Service]
	return a.Version, ok && a.Version != "" && state.Eligibility(a.Version) == rollout.Canary
}

// versionAdmitted returns whether the upstream may take requests as far as its version is
// concerned. A version that an order names may, within what the order permits. One that no
// other upstream of the service runs may have been ordered without this node's knowledge, so
// the platform is queried first. While an order is carried out, an upstream waits until its
// version is known.
func (n *Node) versionAdmitted(a *upstream.Announcement) bool {
	if n.rollouts == nil {
		return true
	}
	state, ordered := n.control.Snapshot().Rollouts[a.Service]
	if a.Version == "" {
		return !ordered || state.Phase.Settled()
	}
	if ordered && a.Version == state.Order.Version {
		return state.Eligibility(a.Version) != rollout.Withheld
	}
	capacities := n.control.UpstreamsByVersion(a.Service)
	delete(capacities, "") // upstreams whose version is not known yet
	if own := capacities[a.Version]; len(capacities) == 0 || own.Upstreams > own.Canaries {
		return true
	}
	n.versions.mu.Lock()
	defer n.versions.mu.Unlock()
	if n.versions.confirmed == a.Version {
		return true
	}
	select {
	case n.versions.toConfirm <- a.Version:
	default:
	}
	return false
}

// confirmVersions queries the platform whether there is an order for a version, until ctx ends.
func (n *Node) confirmVersions(ctx context.Context) {
	for {
		var version string
		select {
		case <-ctx.Done():
			return
		case version = <-n.versions.toConfirm:
		}
		for ctx.Err() == nil {
			sleep.For(ctx, meanConfirmDelay/2+rand.N(meanConfirmDelay))
			if a := n.announcements.Current(); a == nil || a.Version != version {
				break
			}
			if state, ok := n.control.Snapshot().Rollouts[n.activeSettings().Service]; ok && state.Order.Version == version {
				break // the order has been received meanwhile
			}
			if err := n.rolloutOrders.Read(ctx); err != nil {
				n.Log.Warn().Err(err).Str("version", version).Msg("order for the upstream's version not confirmed; the upstream takes no requests yet")
				continue
			}
			n.versions.mu.Lock()
			n.versions.confirmed = version
			n.versions.mu.Unlock()
			break
		}
		n.announce()
	}
}

// rolloutsChanged handles a change of the rollouts that the node knows.
func (n *Node) rolloutsChanged(known map[string]rollout.LocalState) {
	if n.rollouts == nil {
		return
	}
	n.rollouts.Wake()
	a := n.announcements.Current()
	if a == nil {
		return
	}
	state := known[a.Service]
	n.versions.mu.Lock()
	changed := n.versions.announced.State != state.State
	n.versions.announced = state
	n.versions.mu.Unlock()
	if changed {
		go n.announce() // announce waits for the goroutine that calls this
	}
}

// countRollouts returns the number of rollouts in a phase.
func (n *Node) countRollouts(p rollout.Phase) (count int) {
	for _, state := range n.control.Snapshot().Rollouts {
		if state.Phase == p {
			count++
		}
	}
	return count
}

// listRollouts responds with the rollouts that the node knows.
func (n *Node) listRollouts(w http.ResponseWriter, _ *http.Request) {
	known := n.control.Snapshot().Rollouts
	list := []operator.Rollout{}
	for _, service := range slices.Sorted(maps.Keys(known)) {
		state := known[service]
		list = append(list, operator.Rollout{
			Service:   service,
			Version:   state.Order.Version,
			Phase:     state.Phase.String(),
			Share:     n.control.Exposure.Share(state.Phase),
			Reason:    state.Reason,
			Node:      state.Node,
			ChangedAt: state.Changed.UTC(),
			Era:       state.Order.ResourceVersion.Era,
			Revision:  state.Order.ResourceVersion.Revision,
		})
	}
	writeJSON(w, list)
}
