// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/connlimit"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

const (
	// callerMemoryFraction is the fraction of memoryMB that callers' connections may hold, if
	// callerMemoryMB is not set. The collector lets the heap grow by gcPercent beyond what is in use,
	// and peers' calls, the table of routes and the runtime need the rest.
	callerMemoryFraction = 0.3
	// defaultCallerMemoryMB is what they may hold if memoryMB is not set either, in MiB.
	defaultCallerMemoryMB = 256
	// callerDescriptorFraction is the fraction of the process's file descriptors that callers'
	// connections may take. The rest is for other nodes, the platform, the upstream and operators.
	callerDescriptorFraction = 0.5
	// handshakeDescriptorFraction is the fraction that connections to the peer address may take before the
	// other side has shown that it is a node.
	handshakeDescriptorFraction = 1.0 / 8
	// maxLocalConns and maxLocalMemoryMB bound the connections of operators and of the upstream's
	// announcements, and what each of the two holds, in MiB: they need one or two.
	maxLocalConns    = 64
	maxLocalMemoryMB = 4
	// maxLocalHeadBytes and maxLocalFields bound the heads of their requests.
	maxLocalHeadBytes = 8 << 10
	maxLocalFields    = 64
	// localReadTimeout bounds the time for a whole request of theirs.
	localReadTimeout = 10 * time.Second
	// headSlackBytes is by how much a head may exceed the limit before it is refused while it is
	// being received. A handler refuses it with the exact size otherwise.
	headSlackBytes = 4 << 10
	// maxCheapFields is the number of fields up to which a caller's request is not costly.
	maxCheapFields = 256
	// laneSlots is the number of costly requests that are handled at once, laneWait how long others
	// wait for their turn, and laneHold the longest turn.
	laneSlots = 4
	laneWait  = time.Second
	laneHold  = 200 * time.Millisecond
	// unreadTimeout is the time after which the connection of a client that reads nothing of a response
	// is closed.
	unreadTimeout = 10 * time.Second
	// limitLinesPerSecond bounds the log lines on connections that are closed to make room.
	limitLinesPerSecond = 2
)

const bytesPerMB = 1 << 20

// descriptors returns the number of file descriptors that the process may have open.
func (n *Node) descriptors() int {
	if n.Settings.Descriptors > 0 {
		return n.Settings.Descriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		n.Log.Warn().Err(err).Msg("limit on file descriptors unknown")
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

const (
	// defaultDescriptors is assumed if the limit can't be read. It is the usual limit of a process.
	defaultDescriptors = 1024
	// maxDescriptors is used in place of higher limits.
	maxDescriptors = 1 << 20
)

// callerMemory returns how many bytes callers' connections may hold.
func (n *Node) callerMemory() int64 {
	mb := float64(n.Settings.CallerMemoryMB)
	if mb == 0 {
		mb = callerMemoryFraction * float64(n.Settings.MemoryMB)
	}
	if mb == 0 {
		mb = defaultCallerMemoryMB
	}
	return int64(mb * bytesPerMB)
}

// limitCallers returns a listener that bounds what callers make the process hold.
func (n *Node) limitCallers(l net.Listener) *connlimit.Listener {
	return &connlimit.Listener{
		Listener: l,
		Budget:   n.newBudget("callers", n.callerMemory(), int(callerDescriptorFraction*float64(n.descriptors()))),
		Lane:     newLane(),
		ReadLane: newLane(),
		Limits:   n.callerLimits,
		Refusal:  n.refusal,
	}
}

// limitLocal returns a listener that bounds what clients of another of the node's servers make the
// process hold, and has the server use it.
func (n *Node) limitLocal(name string, l net.Listener, s *http.Server) *connlimit.Listener {
	limits := connlimit.Limits{
		MaxHeadBytes:  maxLocalHeadBytes,
		MaxFreeFields: maxLocalFields,
		WriteTimeout:  unreadTimeout,
	}
	s.ReadHeaderTimeout = headerTimeout
	s.ReadTimeout = localReadTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxLocalHeadBytes
	s.ConnState = connlimit.ConnState
	s.ConnContext = connlimit.ConnContext
	s.Handler = connlimit.Handler(s.Handler)
	return &connlimit.Listener{
		Listener: l,
		Budget:   n.newBudget(name, maxLocalMemoryMB*bytesPerMB, maxLocalConns),
		Lane:     newLane(),
		Limits:   func() connlimit.Limits { return limits },
		Refusal:  n.refusal,
	}
}

func newLane() *connlimit.Lane {
	return &connlimit.Lane{
		Slots:   laneSlots,
		MaxWait: laneWait,
		MaxHold: laneHold,
	}
}

// newBudget returns the budget of a server, which is counted and logged under the given name.
func (n *Node) newBudget(name string, maxBytes int64, maxConns int) *connlimit.Budget {
	budget := &connlimit.Budget{
		MaxBytes: maxBytes,
		MaxConns: maxConns,
	}
	evicted := n.metrics.set.NewCounter(fmt.Sprintf(`sassafras_connections_evicted_total{server=%q}`, name))
	refused := n.metrics.set.NewCounter(fmt.Sprintf(`sassafras_connections_refused_total{server=%q}`, name))
	budget.OnEvicted = func(conns int, bytes int64) {
		evicted.Add(conns)
		if n.lineLimit.Allow("evicted "+name, limitLinesPerSecond, 1) {
			n.Log.Warn().Str("server", name).Int("connections", conns).Int64("bytes", bytes).Int64("maxBytes", maxBytes).Int("maxConnections", maxConns).Msg("connections closed to make room")
		}
	}
	budget.OnRefused = func() {
		refused.Inc()
		if n.lineLimit.Allow("refused "+name, limitLinesPerSecond, 1) {
			n.Log.Warn().Str("server", name).Int64("maxBytes", maxBytes).Int("maxConnections", maxConns).Msg("no room for a connection or a request")
		}
	}
	n.metrics.gauge(fmt.Sprintf(`sassafras_connections{server=%q}`, name), func() float64 { return float64(budget.State().Conns) })
	n.metrics.gauge(fmt.Sprintf(`sassafras_connection_bytes{server=%q}`, name), func() float64 { return float64(budget.State().Bytes) })
	return budget
}

// callerLimits returns the limits on callers' connections, of which the table of routes sets some.
func (n *Node) callerLimits() connlimit.Limits {
	maxHeadBytes := n.Settings.MaxHeaderBytes
	if t := n.control.Snapshot().Table; t != nil && t.Limits.MaxHeaderBytes > 0 {
		maxHeadBytes = min(maxHeadBytes, t.Limits.MaxHeaderBytes)
	}
	return connlimit.Limits{
		MaxHeadBytes:  maxHeadBytes + headSlackBytes,
		MaxFreeFields: maxCheapFields,
		WriteTimeout:  unreadTimeout,
	}
}

// refusal returns the response to a request that is refused while its head is received. It has not run.
func (n *Node) refusal(status int) string {
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: " + caller.FormatRetryAfter(caller.OverloadedRetryAfter, n.fieldNames().FractionalRetryAfter) + "\r\n"
	}
	text := http.StatusText(status) + "\n"
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n%s%s: %s\r\n\r\n%s",
		status, http.StatusText(status), len(text), retryAfter, upstream.VerdictHeader, verdict.NotRun, text)
}
