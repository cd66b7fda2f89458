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

// Platform is what a node has to know of a platform whose configuration is one
// table of routes. The exported fields are set before Run.
type Platform struct {
	// Names are the header fields that callers and upstreams use.
	FieldNames upstream.FieldNames
	// API returns the object API, given what makes its calls.
	NewAPI func(c *objectapi.JSONClient) objectapi.PollingAPI
	// Era reads the era that an answer of the platform names, if it names one.
	ParseEra func(h http.Header) (era uint64, named bool, err error)
	// Kind and Name are those of the object that holds the table.
	TableKind, TableName string
	// Table decodes that object.
	DecodeTable func(o *objectapi.Object) (*routes.Table, error)
	// ZoneKind is the kind of the objects by which operators evacuate zones; each is named
	// for its zone.
	ZoneKind string
	// RolloutKind is the kind of the objects that order a version to be rolled out, each named
	// for its service. Rollout decodes one, and RolloutStatus returns what is written to one
	// whose version is in a phase.
	RolloutKind   string
	DecodeRollout func(o *objectapi.Object) (rollout.StoredOrder, error)
	RolloutStatus func(version string, p rollout.Phase) any
	// Announce returns the handler of the calls by which the upstream announces
	// itself.
	AnnounceHandler func(to *upstream.Announcements) http.Handler
}

const (
	// peerSilence is how long a node that owes an answer may be silent, pings
	// included, before its requests are sent elsewhere as well, and peerHandshake bounds
	// the opening of a connection to it. A node whose instance has died is silent; callers
	// have 400 ms and more. A node whose processor is allotted by the tenth of a second
	// answers well within that, and so does one behind a link that loses a packet, whose
	// first repetition comes after 200 ms.
	peerSilenceTimeout   = 600 * time.Millisecond
	peerHandshakeTimeout = 400 * time.Millisecond
	// peerLoss is how long the kernel of a node may leave what was written to it without
	// an acknowledgement before the requests there are given up. It does so while the
	// node's process stands still, and late while its link is full or loses packets
	// several times in a row.
	peerAckTimeout = 2 * time.Second
	// storeTimeout bounds a call to the platform other than a watch. A store that
	// is slowed down sixtyfold answers in a quarter of that.
	platformTimeout = time.Second
	// keepAliveIdle and keepAliveEvery find a connection to the platform that a
	// partition has silenced, within keepAliveCount tries.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// storeClient returns what makes the calls to the platform.
func (n *Node) newJSONClient() *objectapi.JSONClient {
	dialer := tcp.Dialer(platformTimeout, platformTimeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
	return &objectapi.JSONClient{
		URL:        n.Settings.PlatformURL,
		Timeout:    platformTimeout,
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
			},
		},
	}
}

// objectSkipped logs why an object of the platform is left out.
func (n *Node) objectSkipped(reason error) { n.warnInvalid("object left out", reason) }

// answerRefused logs why an answer of the platform is not used.
func (n *Node) responseRejected(reason error) { n.warnInvalid("platform not believed", reason) }

// tableFound takes in an object of the table's kind.
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

// book returns the nodes' addresses as the platform holds them.
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
