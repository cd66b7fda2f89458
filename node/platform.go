// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"sassafrasfront.example/contact"
	"sassafrasfront.example/internal/tcp"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/rollout"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/upstream"
)

// Platform describes a platform whose configuration is one table of routes. The
// exported fields are set before Run.
type Platform struct {
	// FieldNames are the header fields that callers and upstreams use.
	FieldNames upstream.FieldNames
	// NewAPI returns the object API whose calls c makes.
	NewAPI func(c *objectapi.JSONClient) objectapi.PollingAPI
	// ParseEra returns the era that a response of the platform names, if it names one.
	ParseEra func(h http.Header) (era uint64, named bool, err error)
	// TableKind and TableName are the kind and the name of the object that holds the table.
	TableKind, TableName string
	// DecodeTable decodes that object.
	DecodeTable func(o *objectapi.Object) (*routes.Table, error)
	// ZoneKind is the kind of the objects by which operators evacuate zones. Each has the name
	// of its zone.
	ZoneKind string
	// RolloutKind is the kind of the objects that order the rollout of a version. Each has the
	// name of its service. DecodeRollout decodes one, and RolloutStatus returns the status to
	// write to one whose version is in a phase.
	RolloutKind   string
	DecodeRollout func(o *objectapi.Object) (rollout.StoredOrder, error)
	RolloutStatus func(version string, p rollout.Phase) any
	// AnnounceHandler returns the handler of the requests by which the upstream announces
	// itself.
	AnnounceHandler func(to *upstream.Announcements) http.Handler
}

const (
	// peerSilenceTimeout is how long a node that owes a response may send nothing, not even
	// pings, before its requests are sent to other nodes as well. peerHandshakeTimeout bounds
	// the opening of a connection to it. A node whose instance has died is silent; callers
	// have 400 ms and more. A node whose processor is allotted by the tenth of a second
	// responds well within that, and so does one behind a link that loses a packet, whose
	// first retransmission comes after 200 ms.
	peerSilenceTimeout   = 600 * time.Millisecond
	peerHandshakeTimeout = 400 * time.Millisecond
	// peerAckTimeout is how long the kernel of a node may leave what was written to it
	// unacknowledged before the requests there are given up. The kernel acknowledges while
	// the node's process stalls, and acknowledges late while its link is full or loses
	// packets several times in a row.
	peerAckTimeout = 2 * time.Second
	// platformTimeout bounds a call to the platform other than a watch. A store that is
	// slowed down sixtyfold responds in a quarter of that.
	platformTimeout = time.Second
	// platformSilenceFraction is how long the connection of a call to the platform may be silent until the call is made on a
	// new one, as a fraction of the time within which a change has to be active. A store that is slowed down sixtyfold responds
	// within that.
	platformSilenceFraction = 0.15
	// platformIdleFraction is how long a connection to the platform is kept that is not used, in the same way. A node
	// that calls rarely opens a new one, as the old one may have fallen silent.
	platformIdleFraction = 0.5
	// keepAliveIdle and keepAliveInterval detect a connection to the platform that a
	// partition has silenced, within keepAliveCount probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// newJSONClient returns the client that makes the calls to the platform.
func (n *Node) newJSONClient() *objectapi.JSONClient {
	dialer := tcp.Dialer(platformTimeout, platformTimeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
	return &objectapi.JSONClient{
		URL:     n.Settings.PlatformURL,
		Timeout: platformTimeout,

		SilenceTimeout: min(platformTimeout, time.Duration(platformSilenceFraction*float64(n.maxConfigDelay()))),
		OnSilence: func(silence time.Duration) {
			n.Log.Warn().Dur("silenceMs", silence).Msg("connection to the platform silent")
			n.control.ProbeConnections()
		},
		OnSkipped:  n.objectSkipped,
		ParseEra:   n.Platform.ParseEra,
		OnRejected: n.responseRejected,
		OnCall:     n.metrics.platformCalled,
		Limiter:    rate.NewLimiter(rate.Limit(n.Settings.PlatformCalls), int(n.Settings.PlatformCalls)),
		HTTPClient: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableCompression: true,
				MaxIdleConns:       2,
				IdleConnTimeout:    time.Duration(platformIdleFraction * float64(n.maxConfigDelay())),
			},
		},
	}
}

// objectSkipped logs why an object of the platform is skipped.
func (n *Node) objectSkipped(reason error) { n.warnInvalid("object left out", reason) }

// responseRejected logs why a response of the platform is rejected.
func (n *Node) responseRejected(reason error) { n.warnInvalid("platform not believed", reason) }

// applyTable decodes and applies an object of the table's kind.
func (n *Node) applyTable(o *objectapi.Object) {
	if o.Metadata.Name != n.Platform.TableName {
		return
	}
	t, err := n.Platform.DecodeTable(o)
	if err != nil {
		n.Log.Error().Err(err).Str("revision", o.Metadata.ResourceVersion).Msg("configuration refused")
		return
	}
	if v := n.version(); t.Version < v && n.lineLimit.Allow("older", invalidLinesPerSecond, 1) {
		n.Log.Warn().Uint64("version", t.Version).Uint64("inForce", v).Str("revision", o.Metadata.ResourceVersion).Msg("configuration is older than the one in force, which stays")
	}
	n.control.ApplyTable(t)
}

// newContactRegistry returns the registry of the nodes' addresses on the platform.
func (n *Node) newContactRegistry(api objectapi.Objects) *contact.PlatformRegistry {
	return &contact.PlatformRegistry{
		API:  api,
		Node: n.Settings.Node,
		Entry: contact.Entry{
			Address: n.Settings.EffectivePeerAddress(),
			Zone:    n.Settings.Zone,
		},
		Log: n.Log,
	}
}
