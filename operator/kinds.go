// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// The kinds of resources, as in objects of the platform.
const (
	// KindService is an operator's intent. Only operators write it.
	KindService = "Service"
	// KindServiceStatus is the status of the intent. The system writes it.
	KindServiceStatus = "ServiceStatus"
	// KindAccepted is the active configuration. The system writes it.
	KindAccepted = "Accepted"
	// KindRepresentative is the lease of an availability zone's representative.
	KindRepresentative = "Representative"
	// KindClaim is the claim of a non-idempotent request that its caller may send again.
	KindClaim = "Claim"
)

// Phase says whether the latest intent was accepted.
type Phase string

const (
	// PhaseAccepted means that the intent is active or being propagated to the nodes.
	PhaseAccepted Phase = "accepted"
	// PhaseRefused means that the intent is invalid. The previous configuration
	// remains active.
	PhaseRefused Phase = "refused"
	// PhaseDeleted means that the service was deleted.
	PhaseDeleted Phase = "deleted"
)

// ServiceStatus is the spec of a ServiceStatus object, which has the name of
// its service.
type ServiceStatus struct {
	// Phase is the phase of the intent with the version ObservedVersion.
	Phase Phase `json:"phase"`
	// ObservedVersion is the resource version of the intent that Phase refers to.
	ObservedVersion string `json:"observed"`
	// Errors say why the intent was refused.
	Errors FieldErrors `json:"faults,omitempty"`
	// Sequence is the sequence of the active configuration.
	Sequence uint64 `json:"sequence"`
	// AcceptedAt is when the active configuration was accepted.
	AcceptedAt time.Time `json:"since"`
	// Zones holds the state of the propagation to each availability zone.
	Zones map[string]ZoneStatus `json:"zones,omitempty"`
}

// ZoneStatus is the state of the propagation of a configuration to one availability zone.
type ZoneStatus struct {
	// Sequence is the sequence that UpToDate refers to.
	Sequence uint64 `json:"sequence"`
	// Nodes is the number of nodes in the zone.
	Nodes int `json:"members"`
	// Queried is the number of nodes that were queried: all, or a random sample.
	Queried int `json:"asked"`
	// UpToDate is the number of queried nodes on which the sequence is active.
	UpToDate int `json:"having"`
	// Upstreams is the number of upstreams of the service in the zone that
	// accept requests.
	Upstreams int `json:"upstreams"`
	// CheckedAt is when the nodes were queried.
	CheckedAt time.Time `json:"at"`
}

// Accepted is the spec of an Accepted object, which has the name of its
// service.
type Accepted struct {
	// Sequence is incremented with each change of the object.
	Sequence uint64 `json:"sequence"`
	// SourceVersion is the resource version of the intent that was accepted, or
	// of its deletion.
	SourceVersion uint64 `json:"source"`
	// AcceptedAt is when the intent was accepted.
	AcceptedAt time.Time `json:"at"`
	// Deleted is whether the service was deleted. The object is kept to preserve
	// the sequence.
	Deleted bool `json:"deleted,omitempty"`
	// Service is the active configuration, with its defaults filled in.
	Service Service `json:"service"`
}

// Representative is the spec of a Representative object, which has the name of its zone.
type Representative struct {
	// Holder is the node that holds the lease.
	Holder string `json:"holder"`
	// Incarnation is the incarnation of the holder.
	Incarnation uint64 `json:"incarnation"`
	// Renewals is the number of renewals. The lease lapses when the number has not
	// changed for the duration of the lease, measured on each observer's own clock.
	Renewals uint64 `json:"renewals"`
	// Duration is the duration of the lease.
	Duration Duration `json:"duration"`
	// Contacts are control addresses of live nodes, for nodes that are starting.
	Contacts []string `json:"contacts"`
}
