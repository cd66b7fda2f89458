// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// The kinds of resources, as they stand in objects of the platform.
const (
	// KindService is an operator's intent. Only operators write it.
	KindService = "Service"
	// KindServiceStatus is what became of the intent. The system writes it.
	KindServiceStatus = "ServiceStatus"
	// KindAccepted is the configuration in force. The system writes it.
	KindAccepted = "Accepted"
	// KindRepresentative is the lease of an availability zone's representative.
	KindRepresentative = "Representative"
	// KindClaim records a non-idempotent request that may be sent again.
	KindClaim = "Claim"
)

// Phase is what became of the latest intent.
type Phase string

const (
	// PhaseAccepted means that the intent is in force, or being rolled out.
	PhaseAccepted Phase = "accepted"
	// PhaseRefused means that the intent is invalid. What was in force before
	// still is.
	PhaseRefused Phase = "refused"
	// PhaseDeleted means that the service was deleted.
	PhaseDeleted Phase = "deleted"
)

// ServiceStatus is the spec of a ServiceStatus object, which has the name of
// its service.
type ServiceStatus struct {
	// Phase is what became of the intent with the version Observed.
	Phase Phase `json:"phase"`
	// Observed is the resource version of the intent that Phase speaks of.
	ObservedVersion string `json:"observed"`
	// Faults say why the intent was refused.
	Errors FieldErrors `json:"faults,omitempty"`
	// Sequence is that of the configuration in force.
	Sequence uint64 `json:"sequence"`
	// Since is when it was accepted.
	AcceptedAt time.Time `json:"since"`
	// Zones say how far each availability zone has it.
	Zones map[string]ZoneStatus `json:"zones,omitempty"`
}

// ZoneStatus is how far one availability zone has the configuration.
type ZoneStatus struct {
	// Sequence is the one that Having speaks of.
	Sequence uint64 `json:"sequence"`
	// Members is the number of nodes in the zone.
	Nodes int `json:"members"`
	// Asked is how many of them were asked: all, or a random sample.
	Queried int `json:"asked"`
	// Having is how many of those asked have the sequence in force.
	UpToDate int `json:"having"`
	// Upstreams is the number of upstreams of the service in the zone that
	// take requests.
	Upstreams int `json:"upstreams"`
	// At is when this was found.
	CheckedAt time.Time `json:"at"`
}

// Accepted is the spec of an Accepted object, which has the name of its
// service.
type Accepted struct {
	// Sequence grows by one with each change of the object.
	Sequence uint64 `json:"sequence"`
	// Source is the resource version of the intent that was accepted, or of
	// its deletion.
	SourceVersion uint64 `json:"source"`
	// At is when it was accepted.
	AcceptedAt time.Time `json:"at"`
	// Deleted is whether the service was deleted. The object stays, so that
	// the sequence does.
	Deleted bool `json:"deleted,omitempty"`
	// Service is the configuration in force, with its defaults filled in.
	Service Service `json:"service"`
}

// Representative is the spec of a Representative object, which has the name of its zone.
type Representative struct {
	// Holder is the node that holds the lease.
	Holder string `json:"holder"`
	// Incarnation is the holder's.
	Incarnation uint64 `json:"incarnation"`
	// Renewals counts the renewals. A lease lapses when the count stands still
	// for the lease's duration, as each observer's own clock measures it.
	Renewals uint64 `json:"renewals"`
	// Duration is the lease's duration.
	Duration Duration `json:"duration"`
	// Contacts are control addresses of live nodes, for nodes that start.
	Contacts []string `json:"contacts"`
}
