// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/verdict"
)

// Target is the destination of a request and the rules that apply to it.
type Target struct {
	// Service is the service that runs it.
	Service *entry.Service
	// Route is the name of the route, or empty.
	Route string
	// Class is the request's class.
	Class string
	// Organisation is the name of the organisation whose key the caller sent, or empty.
	Organisation string
	// Keyed is whether callers send keys of organisations, which are not forwarded.
	Keyed bool
	// Idempotent is whether the request may safely run twice.
	Idempotent bool
	// Timeout is the longest time that the caller waits for a response.
	Timeout time.Duration
	// Objective is the latency up to which a response is of full value, or 0.
	Objective time.Duration
	// MaxAttempts bounds the number of attempts. Zero means the limit of the service's
	// configuration.
	MaxAttempts int
	// Regions are those whose upstreams may run the request. None means all.
	Regions []string
	// MaxBodyBytes is the size of the largest body.
	MaxBodyBytes int64
	// MaxHeaderBytes is the size of the largest header. Zero means the server's own limit.
	MaxHeaderBytes int
}

// Resolver finds the target of a request.
type Resolver interface {
	Resolve(r *http.Request) (*Target, *verdict.Error)
}

// notReadyRetryAfter is the time after which a caller may retry at a node that has no
// configuration yet. A node receives it in well under a second if the platform responds.
const notReadyRetryAfter = 250 * time.Millisecond

// hostResolver resolves requests by the service that has the host.
type hostResolver func(host string) (s *entry.Service, ready bool)

// Resolve implements Resolver.
func (f hostResolver) Resolve(r *http.Request) (*Target, *verdict.Error) {
	host := strings.ToLower(r.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	s, ready := f(strings.Trim(host, "[]"))
	switch {
	case !ready:
		return nil, verdict.New(verdict.NotReady, nil).WithRetryAfter(time.Second)
	case s == nil:
		return nil, verdict.New(verdict.UnknownHost, eris.Errorf("no service has the host %q", host))
	}
	return &Target{
		Service:      s,
		Class:        matchClass(&s.Config, r),
		Idempotent:   idempotent(r.Method),
		Timeout:      s.Config.Timeout.Std(),
		MaxBodyBytes: s.Config.MaxBodyBytes,
	}, nil
}

// RouteResolver resolves requests by a table of routes. The exported fields are set before the
// first request.
type RouteResolver struct {
	// Table returns the active table, or nil if none is known.
	Table func() *routes.Table
	// Service returns an active service, or nil.
	Service func(name string) *entry.Service
	// Keys defines how the keys of organisations are checked.
	Keys Keys

	splitter routes.Splitter
}

// Resolve implements Resolver.
func (rr *RouteResolver) Resolve(r *http.Request) (*Target, *verdict.Error) {
	t := rr.Table()
	if t == nil {
		return nil, verdict.New(verdict.NotReady, nil).WithRetryAfter(notReadyRetryAfter)
	}
	route := t.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, verdict.New(verdict.UnknownHost, eris.Errorf("no route for %s%s in version %d", r.Host, r.URL.EscapedPath(), t.Version))
	}
	name := rr.splitter.Choose(route)
	s := rr.Service(name)
	if s == nil {
		return nil, verdict.New(verdict.NoUpstream, eris.Errorf("route %s leads to the unknown service %q", route.Name, name))
	}
	maxBody := s.Config.MaxBodyBytes
	if t.Limits.MaxBodyBytes > 0 {
		maxBody = t.Limits.MaxBodyBytes
	}
	target := &Target{
		Service:        s,
		Route:          route.Name,
		Class:          ClassName(route.Priority, route.Objective),
		Keyed:          t.KeysRequired,
		Idempotent:     route.Idempotent,
		Timeout:        route.Timeout,
		Objective:      route.Objective,
		MaxAttempts:    route.MaxAttempts,
		Regions:        route.Regions,
		MaxBodyBytes:   maxBody,
		MaxHeaderBytes: t.Limits.MaxHeaderBytes,
	}
	if !t.KeysRequired || route.Public {
		return target, nil
	}
	return rr.Keys.authenticate(target, t, route, r.Header)
}

// ClassName returns the name of the class of the requests with a priority and a latency
// objective, or 0 for none. Requests with the same priority differ in how long they run and may
// wait; their objectives distinguish them.
func ClassName(priority int, objective time.Duration) string {
	return "priority" + strconv.Itoa(priority) + "-" + strconv.FormatInt(objective.Milliseconds(), 10) + "ms"
}
