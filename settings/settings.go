// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"flag"
	"time"
)

// The dialects of the platform.
const (
	DialectNative  = "native"
	DialectManaged = "managed"
)

// Settings are a node's settings. They are read once, at startup.
type Settings struct {
	// Node is the node's name, unique in the system.
	Node string
	// Region and Zone are the node's region and availability zone.
	Region, Zone string
	// CallerAddress is the address for callers' requests.
	CallerAddress string
	// PeerAddress is the address for connections of other nodes, as an IP address and port.
	PeerAddress string
	// AdvertisedPeerAddress is the peer address that is advertised to other nodes, if it
	// is not PeerAddress.
	AdvertisedPeerAddress string
	// AnnounceAddress is the address to which the upstream announces itself, on
	// loopback.
	AnnounceAddress string
	// OperatorAddress is the address that serves metrics, health and readiness.
	OperatorAddress string
	// PlatformURL is the root of the platform's object API.
	PlatformURL string
	// Namespace is the namespace of the system's objects there.
	Namespace string
	// Peers are peer addresses for discovery at startup, separated by commas. They are
	// needed only if the platform may be down then.
	Peers string
	// Seeds are addresses of instances for discovery at startup, separated by commas. Their
	// ports are ignored: the nodes there are expected to accept peer connections on the port
	// of this node's PeerAddress. Some of them may not exist any more.
	Seeds string
	// Dialect says which names the platform and the upstream use on the wire: the
	// product's own, "native", or those of the users' platform, "managed".
	Dialect string
	// Service and UpstreamAddress are the service beside this node and the address of
	// its upstream, if they are configured; otherwise they are known only from the
	// upstream's announcement.
	Service, UpstreamAddress string
	// Heartbeat is the interval between announcements of the upstream. Zero means that
	// it announces only changes.
	Heartbeat time.Duration
	// ConfigWithin is the time within which a change of a table of routes has to be
	// active on all nodes.
	ConfigWithin time.Duration
	// EvacuateWithin is the time after which no more requests may reach the upstreams of an
	// evacuated zone. Zero means that zones are not evacuated.
	EvacuateWithin time.Duration
	// ColdRatio and ColdSlack bound the requests to a cold upstream in any second: ColdRatio
	// times the requests per second that the table of routes allows it, plus ColdSlack.
	ColdRatio, ColdSlack float64
	// RolloutShare bounds the share of a service's requests that a version gets while its
	// roll-out is not complete, as it may be faulty. Zero means that roll-out orders are not
	// read, and that upstreams of all versions are treated alike. RollbackWithin is the time
	// after which a version that was found faulty gets no more requests from any node.
	RolloutShare   float64
	RollbackWithin time.Duration
	// FirstStart is whether the whole system starts for the first time, so that there are no former
	// processes of this node.
	FirstStart bool
	// RevokeWithin is the time after which no more requests with a revoked key may run,
	// also on nodes that the platform does not respond to: a node refuses requests that need a
	// key if its table of routes is not known to be at least as fresh. Zero means that such a
	// node uses the table that it has.
	RevokeWithin time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of an organisation that
	// run in any QuotaWindow, on all nodes: the number that its rate limit allows in that
	// time, plus QuotaOverage times that number, plus QuotaSlack.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// RetryRatio and RetrySlack bound the retries at a service by all nodes in each
	// RetryWindow: RetryRatio for each request, plus RetrySlack. They apply if the
	// configuration is a table of routes.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s. Zero means
	// that it is unknown.
	LinkMbps float64
	// MemoryMB is the memory that the process may use, in MiB. Zero means no bound.
	MemoryMB int
	// CallerMemoryMB is what the connections and requests of callers may make the process hold, in MiB.
	// Zero means three tenths of MemoryMB, or 256 if that is zero as well.
	CallerMemoryMB int
	// Descriptors is the number of file descriptors that the process may have open. Callers'
	// connections take at most half of them. Zero means the limit of the process.
	Descriptors int
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TraceURL is the URL of the OTLP collector. Empty means no traces.
	TraceURL string
	// TraceSample is the fraction of the traces started at this node that are sampled.
	TraceSample float64
	// ReportBytes is the budget for load reports on responses, and ControlBytes
	// that for the anti-entropy and propagation of the control state, in bytes per second.
	ReportBytes, ControlBytes int
	// PlatformCalls is the budget of calls to the platform, per second.
	PlatformCalls float64
	// Lease is the duration of the representative's lease.
	Lease time.Duration
	// Patience is the silence timeout: the time of silence after which a node is removed.
	Patience time.Duration
	// GracePeriod is how long the process may run after it was signalled to stop. Zero
	// means that this is unknown.
	GracePeriod time.Duration
	// DrainTimeout bounds the wait for requests in flight at a planned stop, counted from
	// LeaveDelay on, if GracePeriod is zero.
	DrainTimeout time.Duration
	// LeaveDelay is how long a node that is leaving continues to accept callers'
	// requests, so that the callers can find out. A short GracePeriod bounds it.
	LeaveDelay time.Duration
	// AdmitDelay is how long a node that is leaving continues to admit requests to its
	// upstream. It is at most LeaveDelay.
	AdmitDelay time.Duration
	// MaxHeaderBytes bounds the header section of a caller's request.
	MaxHeaderBytes int
	// Policy, if not empty, overrides the routing policies of all services.
	Policy string
	// Processors is the number of processors that the process uses at once (GOMAXPROCS).
	// Zero means all.
	Processors int
	// File is the file that the settings were read from, or empty. It is not a setting
	// itself.
	File string
	// Pprof is whether profiles are served at OperatorAddress.
	Pprof bool
}

// Register defines the settings as flags of fs, with their defaults.
func (s *Settings) Register(fs *flag.FlagSet) {
	fs.StringVar(&s.Node, "node", "", "name of the node, unique in the system")
	fs.StringVar(&s.Region, "region", "", "region of the node")
	fs.StringVar(&s.Zone, "zone", "", "availability zone of the node")
	fs.StringVar(&s.CallerAddress, "callerAddress", "127.0.0.1:8080", "address for callers' requests")
	fs.StringVar(&s.PeerAddress, "peerAddress", "127.0.0.1:8081", "address for connections of other nodes, an IP address and port")
	fs.StringVar(&s.AdvertisedPeerAddress, "advertisedPeerAddress", "", "peer address that is advertised to other nodes, if that is not peerAddress")
	fs.StringVar(&s.AnnounceAddress, "announceAddress", "127.0.0.1:8082", "address to which the upstream announces itself, on loopback")
	fs.StringVar(&s.OperatorAddress, "operatorAddress", "127.0.0.1:8083", "address for metrics, health and readiness")
	fs.StringVar(&s.PlatformURL, "platformURL", "", "root of the platform's object API")
	fs.StringVar(&s.Namespace, "namespace", "sassafrasfront", "namespace of the system's objects")
	fs.StringVar(&s.Peers, "peers", "", "peer addresses for discovery at startup, separated by commas")
	fs.StringVar(&s.Seeds, "seeds", "", "addresses of instances for discovery at startup, on any port, separated by commas")
	fs.StringVar(&s.Dialect, "dialect", DialectNative, "names on the wire: native or managed")
	fs.StringVar(&s.Service, "service", "", "service beside this node, if it is known in advance")
	fs.StringVar(&s.UpstreamAddress, "upstreamAddress", "", "address for requests to the upstream, if it is known in advance")
	fs.DurationVar(&s.Heartbeat, "heartbeat", 0, "interval between announcements of the upstream; 0 if it announces only changes")
	fs.DurationVar(&s.ConfigWithin, "configWithin", 2*time.Second, "time within which a change of a table of routes has to be active on all nodes")
	fs.DurationVar(&s.EvacuateWithin, "evacuateWithin", 0, "time after which the upstreams of an evacuated zone get no more requests; 0 if zones are not evacuated")
	fs.Float64Var(&s.ColdRatio, "coldRatio", 1, "requests to a cold upstream in any second, as a ratio of what the table of routes allows it")
	fs.Float64Var(&s.ColdSlack, "coldSlack", 0, "requests to a cold upstream in any second beyond that")
	fs.Float64Var(&s.RolloutShare, "rolloutShare", 0, "largest share of a service's requests for a version whose roll-out is not complete; 0 if no roll-outs are ordered")
	fs.DurationVar(&s.RollbackWithin, "rollbackWithin", 5*time.Second, "time after which a version that was found faulty gets no more requests")
	fs.BoolVar(&s.FirstStart, "firstStart", false, "the whole system starts for the first time: the platform is not asked what former processes of this node have acknowledged")
	fs.DurationVar(&s.RevokeWithin, "revokeWithin", 0, "time after which no request with a revoked key runs, also if the platform does not respond; 0 to use the last known keys then")
	fs.DurationVar(&s.QuotaWindow, "quotaWindow", 5*time.Second, "time over which the requests of organisations are bounded")
	fs.Float64Var(&s.QuotaOverage, "quotaOverage", 0.1, "requests of an organisation in a quotaWindow beyond its rate limit, as a ratio of that")
	fs.Float64Var(&s.QuotaSlack, "quotaSlack", 20, "requests of an organisation in a quotaWindow beyond that")
	fs.Float64Var(&s.RetryRatio, "retryRatio", 0.1, "retries for each request, if the configuration is a table of routes")
	fs.Float64Var(&s.RetrySlack, "retrySlack", 20, "retries beyond that in a retryWindow, by all nodes")
	fs.DurationVar(&s.RetryWindow, "retryWindow", 10*time.Second, "time over which retries are bounded")
	fs.Float64Var(&s.LinkMbps, "linkMbps", 0, "bandwidth of the instance's network link in Mbit/s; 0 if it is unknown")
	fs.IntVar(&s.MemoryMB, "memoryMB", 0, "memory that the process may use, in MiB; 0 for no bound")
	fs.IntVar(&s.CallerMemoryMB, "callerMemoryMB", 0, "memory that callers' connections may take, in MiB; 0 for three tenths of memoryMB, or 256")
	fs.IntVar(&s.Descriptors, "descriptors", 0, "file descriptors that the process may have open; 0 for the limit of the process")
	fs.StringVar(&s.LogLevel, "logLevel", "info", "debug, info, warn or error")
	fs.StringVar(&s.TraceURL, "traceURL", "", "OTLP collector, such as http://10.0.0.1:4318/v1/traces; empty for none")
	fs.Float64Var(&s.TraceSample, "traceSample", 0.01, "fraction of the traces started at this node that are sampled")
	fs.IntVar(&s.ReportBytes, "reportBytes", 1000, "budget for load reports, in bytes per second")
	fs.IntVar(&s.ControlBytes, "controlBytes", 10000, "budget for the control state, in bytes per second")
	fs.Float64Var(&s.PlatformCalls, "platformCalls", 20, "budget of calls to the platform, per second")
	fs.DurationVar(&s.Lease, "lease", 15*time.Second, "duration of the representative's lease")
	fs.DurationVar(&s.Patience, "patience", 3*time.Minute, "time of silence after which a node is removed")
	fs.DurationVar(&s.GracePeriod, "gracePeriod", 0, "how long the process may live after it was told to stop; 0 if that is unknown")
	fs.DurationVar(&s.DrainTimeout, "drainTimeout", 30*time.Second, "longest wait for requests in flight at a planned stop, if gracePeriod is 0")
	fs.DurationVar(&s.LeaveDelay, "leaveDelay", time.Second, "how long a leaving node continues to accept callers' requests")
	fs.DurationVar(&s.AdmitDelay, "admitDelay", 0, "how long a leaving node continues to admit requests to its upstream, at most leaveDelay")
	fs.IntVar(&s.MaxHeaderBytes, "maxHeaderBytes", 64<<10, "largest header section of a caller's request, in bytes")
	fs.StringVar(&s.Policy, "policy", "", "routing policy for all services, overriding theirs")
	fs.IntVar(&s.Processors, "processors", 2, "processors used at once; 0 for all")
	fs.BoolVar(&s.Pprof, "pprof", false, "serve profiles at operatorAddress")
}

// EffectivePeerAddress returns the peer address that is advertised to other nodes.
func (s *Settings) EffectivePeerAddress() string {
	if s.AdvertisedPeerAddress != "" {
		return s.AdvertisedPeerAddress
	}
	return s.PeerAddress
}

// ExitReserve is the part of GracePeriod that a drain leaves: for the responses to aborted
// requests, for the last log lines, and for the process to exit.
const ExitReserve = 500 * time.Millisecond

// DrainDeadline returns how long a node waits for requests in flight, counted from the signal to stop.
func (s *Settings) DrainDeadline() time.Duration {
	if s.GracePeriod > 0 {
		return s.GracePeriod - ExitReserve
	}
	return s.LeaveDelay + s.DrainTimeout
}

// EffectiveLeaveDelay returns how long a node accepts callers' requests, counted from the signal to
// stop: LeaveDelay, but at most half of DrainDeadline if GracePeriod is set.
func (s *Settings) EffectiveLeaveDelay() time.Duration {
	if s.GracePeriod > 0 {
		return min(s.LeaveDelay, s.DrainDeadline()/2)
	}
	return s.LeaveDelay
}
