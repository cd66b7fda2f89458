// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"flag"
	"time"
)

// The dialects.
const (
	DialectNative  = "native"
	DialectManaged = "managed"
)

// Settings are a node's settings. They are read once, at the start.
type Settings struct {
	// Node is the node's name, unique in the system.
	Node string
	// Region and Zone are where the node is.
	Region, Zone string
	// CallerAddress is where callers' requests are taken.
	CallerAddress string
	// PeerAddress is where other nodes connect, as an IP number and port.
	PeerAddress string
	// AdvertisedPeerAddress is where other nodes are told to connect, if that is
	// not PeerAddress.
	AdvertisedPeerAddress string
	// AnnounceAddress is where the upstream announces itself. It is on
	// loopback.
	AnnounceAddress string
	// OperatorAddress serves metrics, health and readiness.
	OperatorAddress string
	// PlatformURL is the root of the platform's object API.
	PlatformURL string
	// Namespace holds the system's objects there.
	Namespace string
	// Peers are peer addresses to learn from at the start, separated by
	// commas. They are needed only if the platform may be down then.
	Peers string
	// Seeds are addresses of instances to learn from at the start, separated by commas, on
	// any port: nodes there take peer connections on the port of this node's PeerAddress.
	// Some may be gone.
	Seeds string
	// Dialect says which names the platform and the upstream use on the wire: the
	// product's own, "native", or those of the users' platform, "managed".
	Dialect string
	// Service and UpstreamAddress are the service that runs beside this node and
	// where it takes requests, if the settings say so; otherwise they are known
	// from its announcement alone.
	Service, UpstreamAddress string
	// Heartbeat is the time between two announcements of the upstream. Zero means
	// that it announces itself on changes only.
	Heartbeat time.Duration
	// ConfigWithin is the time within which a change of a table of routes has to be in
	// force everywhere.
	ConfigWithin time.Duration
	// EvacuateWithin is the time after which no request may reach the upstreams of an
	// evacuated zone any more. Zero means that zones are not evacuated here.
	EvacuateWithin time.Duration
	// ColdRatio and ColdSlack bound the requests to a cold upstream in any second: ColdRatio
	// times the requests a second that the table of routes names for it, and ColdSlack
	// more.
	ColdRatio, ColdSlack float64
	// RolloutShare bounds the share of a service's requests that a version may get which an
	// operator has ordered to be rolled out, as long as it may be faulty. Zero means that no
	// such orders are read, and upstreams of all versions are alike. RollbackWithin is the time
	// after which a version that was found faulty gets no more requests, from no node.
	RolloutShare   float64
	RollbackWithin time.Duration
	// RevokeWithin is the time after which no request may run any more whose key has been
	// revoked, also at nodes that the platform does not answer: one whose table of routes
	// is not known to be as fresh refuses requests that need a key. Zero means that such a
	// node goes by the table that it has.
	RevokeWithin time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of an organisation that
	// run in any QuotaWindow, at all nodes together: what its rate limit allows in that
	// time, QuotaOverage times as much more, and QuotaSlack requests more.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// RetryRatio and RetrySlack bound the repeated sendings to a service by all
	// nodes together, in each RetryWindow: RetryRatio for each request, and
	// RetrySlack more. They hold where the configuration is one table of routes.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// LinkMbps is what the instance's network link carries, in Mbit/s. Zero means
	// that it is not known.
	LinkMbps float64
	// MemoryMB is the memory that the process may use, in MiB. Zero means that it
	// is not bounded.
	MemoryMB int
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TraceURL is the OTLP collector's. Empty means no traces.
	TraceURL string
	// TraceSample is the share of the traces begun here that are kept.
	TraceSample float64
	// ReportBytes is the budget for load reports on answers, and ControlBytes
	// that for comparing and passing on the control state, in bytes per second.
	ReportBytes, ControlBytes int
	// PlatformCalls is the budget of calls to the platform, per second.
	PlatformCalls float64
	// Lease is the duration of the representative's lease.
	Lease time.Duration
	// Patience is the silence after which a node is removed.
	Patience time.Duration
	// GracePeriod is how long the process may live after it has been told to stop. Zero
	// means that it is not known.
	GracePeriod time.Duration
	// DrainTimeout bounds the wait for requests in flight at a planned stop, from
	// LeaveDelay on, where GracePeriod is not known.
	DrainTimeout time.Duration
	// LeaveDelay is how long a node that leaves goes on taking callers'
	// requests, so that those who send them can learn of it. A short GracePeriod
	// bounds it.
	LeaveDelay time.Duration
	// AdmitDelay is how long a node that leaves goes on admitting requests to its
	// upstream, at most LeaveDelay.
	AdmitDelay time.Duration
	// MaxHeaderBytes bounds the head of a caller's request.
	MaxHeaderBytes int
	// Policy, if not empty, overrides the routing policy of all services.
	Policy string
	// Processors is the number of processors that the process uses at once.
	// Zero means all.
	Processors int
	// File is the file that the settings were read from, or empty. It is no
	// setting itself.
	File string
	// Pprof is whether profiles are served at OperatorAddress.
	Pprof bool
}

// Register defines the settings as flags of fs, with their defaults.
func (s *Settings) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.Node, "node", "", "name of the node, unique in the system")
	fs.StringVar(&s.Region, "region", "", "region of the node")
	fs.StringVar(&s.Zone, "zone", "", "availability zone of the node")
	fs.StringVar(&s.CallerAddress, "callerAddress", "127.0.0.1:8080", "where callers' requests are taken")
	fs.StringVar(&s.PeerAddress, "peerAddress", "127.0.0.1:8081", "where other nodes connect, an IP number and port")
	fs.StringVar(&s.AdvertisedPeerAddress, "advertisedPeerAddress", "", "where other nodes are told to connect, if that is not peerAddress")
	fs.StringVar(&s.AnnounceAddress, "announceAddress", "127.0.0.1:8082", "where the upstream announces itself, on loopback")
	fs.StringVar(&s.OperatorAddress, "operatorAddress", "127.0.0.1:8083", "metrics, health and readiness")
	fs.StringVar(&s.PlatformURL, "platformURL", "", "root of the platform's object API")
	fs.StringVar(&s.Namespace, "namespace", "sassafrasfront", "namespace of the system's objects")
	fs.StringVar(&s.Peers, "peers", "", "peer addresses to learn from at the start, separated by commas")
	fs.StringVar(&s.Seeds, "seeds", "", "addresses of instances to learn from at the start, on any port, separated by commas")
	fs.StringVar(&s.Dialect, "dialect", DialectNative, "names on the wire: native or managed")
	fs.StringVar(&s.Service, "service", "", "service that runs beside this node, if it is known beforehand")
	fs.StringVar(&s.UpstreamAddress, "upstreamAddress", "", "where the upstream takes requests, if it is known beforehand")
	fs.DurationVar(&s.Heartbeat, "heartbeat", 0, "time between two announcements of the upstream; 0 if it announces changes only")
	fs.DurationVar(&s.ConfigWithin, "configWithin", 2*time.Second, "time within which a change of a table of routes has to be in force everywhere")
	fs.DurationVar(&s.EvacuateWithin, "evacuateWithin", 0, "time after which an evacuated zone's upstreams get no more requests; 0 if zones are not evacuated")
	fs.Float64Var(&s.ColdRatio, "coldRatio", 1, "requests to a cold upstream in any second, as a ratio of what the table of routes names for it")
	fs.Float64Var(&s.ColdSlack, "coldSlack", 0, "requests to a cold upstream in any second beyond that")
	fs.Float64Var(&s.RolloutShare, "rolloutShare", 0, "largest share of a service's requests for a version that is rolled out and may be faulty; 0 if no roll-outs are ordered")
	fs.DurationVar(&s.RollbackWithin, "rollbackWithin", 5*time.Second, "time after which a version that was found faulty gets no more requests")
	fs.DurationVar(&s.RevokeWithin, "revokeWithin", 0, "time after which no request with a revoked key runs, also where the platform does not answer; 0 if such nodes go by what they know")
	fs.DurationVar(&s.QuotaWindow, "quotaWindow", 5*time.Second, "time over which the rate limits of organisations are bounded")
	fs.Float64Var(&s.QuotaOverage, "quotaOverage", 0.1, "requests of an organisation in a quotaWindow beyond its rate limit, as a ratio of that")
	fs.Float64Var(&s.QuotaSlack, "quotaSlack", 20, "requests of an organisation in a quotaWindow beyond that")
	fs.Float64Var(&s.RetryRatio, "retryRatio", 0.1, "repeated sendings for each request, where the configuration is a table of routes")
	fs.Float64Var(&s.RetrySlack, "retrySlack", 20, "repeated sendings beyond that in a retryWindow, all nodes together")
	fs.DurationVar(&s.RetryWindow, "retryWindow", 10*time.Second, "time over which repeated sendings are bounded")
	fs.Float64Var(&s.LinkMbps, "linkMbps", 0, "what the instance's network link carries, in Mbit/s; 0 if it is not known")
	fs.IntVar(&s.MemoryMB, "memoryMB", 0, "memory that the process may use, in MiB; 0 for no bound")
	fs.StringVar(&s.LogLevel, "logLevel", "info", "debug, info, warn or error")
	fs.StringVar(&s.TraceURL, "traceURL", "", "OTLP collector, such as http://10.0.0.1:4318/v1/traces; empty for none")
	fs.Float64Var(&s.TraceSample, "traceSample", 0.01, "share of the traces begun here that are kept")
	fs.IntVar(&s.ReportBytes, "reportBytes", 1000, "budget for load reports, in bytes per second")
	fs.IntVar(&s.ControlBytes, "controlBytes", 10000, "budget for the control state, in bytes per second")
	fs.Float64Var(&s.PlatformCalls, "platformCalls", 20, "budget of calls to the platform, per second")
	fs.DurationVar(&s.Lease, "lease", 15*time.Second, "duration of the representative's lease")
	fs.DurationVar(&s.Patience, "patience", 3*time.Minute, "silence after which a node is removed")
	fs.DurationVar(&s.GracePeriod, "gracePeriod", 0, "how long the process may live after it has been told to stop; 0 if that is not known")
	fs.DurationVar(&s.DrainTimeout, "drainTimeout", 30*time.Second, "longest wait for requests in flight at a planned stop, where gracePeriod is 0")
	fs.DurationVar(&s.LeaveDelay, "leaveDelay", time.Second, "how long a leaving node goes on taking callers' requests")
	fs.DurationVar(&s.AdmitDelay, "admitDelay", 0, "how long a leaving node goes on admitting requests to its upstream, at most leaveDelay")
	fs.IntVar(&s.MaxHeaderBytes, "maxHeaderBytes", 64<<10, "largest head of a caller's request, in bytes")
	fs.StringVar(&s.Policy, "policy", "", "routing policy for all services, overriding theirs")
	fs.IntVar(&s.Processors, "processors", 2, "processors used at once; 0 for all")
	fs.BoolVar(&s.Pprof, "pprof", false, "serve profiles at operatorAddress")
}

// PeerAt returns where other nodes are told to connect.
func (s *Settings) EffectivePeerAddress() string {
	if s.AdvertisedPeerAddress != "" {
		return s.AdvertisedPeerAddress
	}
	return s.PeerAddress
}

// ExitTime is what a drain leaves of GracePeriod: for the answers to requests that are
// cut, for the last log lines, and for the process to end.
const ExitReserve = 500 * time.Millisecond

// DrainWithin returns how long after it has been told to stop a node waits for requests
// in flight.
func (s *Settings) DrainDeadline() time.Duration {
	if s.GracePeriod > 0 {
		return s.GracePeriod - ExitReserve
	}
	return s.LeaveDelay + s.DrainTimeout
}

// LeaveWithin returns how long after it has been told to stop a node takes callers'
// requests: LeaveDelay, and at most half of what there is for those in flight.
func (s *Settings) EffectiveLeaveDelay() time.Duration {
	if s.GracePeriod > 0 {
		return min(s.LeaveDelay, s.DrainDeadline()/2)
	}
	return s.LeaveDelay
}
