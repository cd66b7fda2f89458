// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"encoding/json"
	"log"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/routes"
)

// callerHandler returns the handler of callers' requests.
func (n *Node) callerHandler() *caller.Handler {
	h := &caller.Handler{
		Lookup: func(host string) (*entry.Service, bool) {
			s := n.control.Snapshot()
			return s.Lookup(host), s.Ready
		},
		Dispatcher:       n.dispatcher,
		Claims:           n.claims,
		Node:             n.Settings.Node,
		Tracer:           n.tracer,
		MaySuspect:       n.suspects.MaySuspect,
		OnRequestEnd:     n.requestEnded,
		ShutdownDeadline: n.requestsEndAt,
	}
	if n.Platform != nil {
		h.FieldNames = n.Platform.FieldNames
		h.Service = func() string { return n.activeSettings().Service }
		h.LocalCallers = true
		h.Admit = n.rateLimiter.Admit
		h.Resolver = &caller.RouteResolver{
			Table:   func() *routes.Table { return n.control.Snapshot().Table },
			Service: func(name string) *entry.Service { return n.control.Snapshot().Services[name] },
			Keys:    n.keyPolicy(),
		}
	}
	return h
}

// callerTimeouts returns the timeouts for callers that the table of routes sets.
func (n *Node) callerTimeouts() caller.Timeouts {
	t := n.control.Snapshot().Table
	if t == nil {
		return caller.Timeouts{}
	}
	return caller.Timeouts{
		Header: t.Limits.HeaderTimeout,
		Idle:   t.Limits.IdleTimeout,
	}
}

// announceHandler returns the handler of the upstream's announcements.
func (n *Node) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/upstream", n.announcements)
	if n.Platform != nil {
		mux.Handle("/", n.Platform.AnnounceHandler(n.announcements))
	}
	return mux
}

// readyPath is the path at which a node responds whether it can serve callers.
const readyPath = "/readyz"

// operatorHandler returns the handler of operators' requests.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		metrics.WriteFDMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET "+readyPath, n.serveReady)
	mux.HandleFunc("GET /v1/view", n.serveView)
	mux.HandleFunc("GET /v1/nodes", n.listNodes)
	mux.HandleFunc("GET /v1/table", n.serveTableStatus)
	mux.HandleFunc("GET /v1/zones", n.listZones)
	mux.HandleFunc("GET /v1/rollouts", n.listRollouts)
	mux.HandleFunc("GET /v1/organisations", n.listOrganisations)
	mux.HandleFunc("GET /v1/limits", n.listLimits)
	mux.HandleFunc("GET /v1/suspects", n.listSuspects)
	mux.HandleFunc("DELETE /v1/suspects/{print}", n.releaseSuspect)
	if n.Settings.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close") // the server would read the body first
		}
		mux.ServeHTTP(w, r)
	})
}

// serverLog returns a logger for the HTTP servers that writes to the node's log, with a bound
// on the rate of lines.
func (n *Node) serverLog() *log.Logger { return log.New(&serverLogWriter{node: n}, "", 0) }

// serverLogWriter writes the log lines of HTTP servers to the node's log.
type serverLogWriter struct {
	node *Node
}

// Write implements io.Writer. Each call writes one line.
func (l *serverLogWriter) Write(line []byte) (int, error) {
	if l.node.lineLimit.Allow("server", serverLinesPerSecond, 1) {
		l.node.Log.Warn().Str("reason", strings.TrimSpace(string(line))).Msg("HTTP server")
	}
	return len(line), nil
}

// writeJSON responds to an operator with a value as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that has disconnected can't be notified of a failure
}
