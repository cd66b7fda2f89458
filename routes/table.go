// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package routes

import (
	"cmp"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/organisation"
)

// WeightedService is one of the services of a route.
type WeightedService struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is its weight among the route's services. It is not negative.
	Weight int `json:"weight"`
}

// Route is the configuration of the requests of a host whose path begins with a prefix. It is
// an immutable value.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string `json:"name"`
	// Host and Prefix select the requests. A prefix begins and ends with a
	// slash.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Services are the services that run the requests, at least one.
	Services []WeightedService `json:"parts"`
	// Idempotent is whether a request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency up to which a response has its full value. Zero
	// means that there is none.
	Objective time.Duration `json:"objective,omitempty"`
	// MaxAttempts is the largest number of upstreams to which one request is sent.
	MaxAttempts int `json:"attempts"`
	// Priority is the priority of the requests; 0 is the highest.
	Priority int `json:"priority"`
	// Regions are the regions to which the requests may be sent. None means all.
	Regions []string `json:"regions,omitempty"`
	// Public is whether requests need no key even if Table.KeysRequired is set.
	Public bool `json:"public,omitempty"`
}

// Service is the configuration of a service.
type Service struct {
	// Name identifies the service.
	Name string `json:"name"`
	// HealthPath is the path of the upstreams' health check, or empty.
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is the number of connections that an upstream accepts, from all
	// callers. Zero means that it is unknown.
	MaxConnections int `json:"connections,omitempty"`
	// ColdPerSecond is the number of requests per second that an upstream can run while it
	// is cold. Zero means that there is no bound.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	// ColdStart is how long an upstream is cold after it has started.
	ColdStart time.Duration `json:"coldStart,omitempty"`
}

// check returns an error if the service is invalid.
func (s *Service) check() error {
	switch {
	case !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= maxColdPerSecond): // rejects NaN as well
		return eris.Errorf("service %q: %v requests per second to a cold upstream are not within 0 and %d", s.Name, s.ColdPerSecond, maxColdPerSecond)
	case s.ColdStart < 0:
		return eris.Errorf("service %q: the cold start of %v is negative", s.Name, s.ColdStart)
	}
	return nil
}

// maxColdPerSecond bounds Service.ColdPerSecond, as the latest requests are recorded one by
// one, with 24 bytes each.
const maxColdPerSecond = 10000

// Limits bound the requests of callers. Zero fields mean the node's own limits.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header section and the body of a request.
	MaxHeaderBytes int   `json:"headerBytes,omitempty"`
	MaxBodyBytes   int64 `json:"bodyBytes,omitempty"`
	// HeaderTimeout bounds the time to receive the header section of a request, and
	// IdleTimeout the time for which a connection may be idle.
	HeaderTimeout time.Duration `json:"headerTimeout,omitempty"`
	IdleTimeout   time.Duration `json:"idleTimeout,omitempty"`
}

// Table is a whole configuration. It is an immutable value.
type Table struct {
	// Version orders the tables. The one with the highest version is active.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// KeysRequired is whether requests need the key of an organisation, except on public
	// routes.
	KeysRequired bool `json:"keyed,omitempty"`
	// Organisations are the organisations that have keys.
	Organisations []organisation.Organisation `json:"organisations,omitempty"`

	hosts         map[string][]*Route // by host, longest prefix first
	organisations *organisation.Set
}

// New validates t and returns it prepared for Match, or the first error found.
func New(t Table) (*Table, error) {
	t.hosts = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for i := range t.Services {
		if err := t.Services[i].check(); err != nil {
			return nil, err
		}
	}
	organisations, err := organisation.NewSet(t.Organisations)
	if err != nil {
		return nil, err
	}
	t.organisations = organisations
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return &t, nil
}

// Decode returns the table that Encode has encoded.
func Decode(data []byte) (*Table, error) {
	var t Table
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, eris.Wrap(err, "table of routes")
	}
	return New(t)
}

// Encode returns the table as JSON.
func (t *Table) Encode() ([]byte, error) { return json.Marshal(t) }

// check returns an error if the route is invalid.
func (r *Route) check() error {
	switch {
	case r.Host == "":
		return eris.Errorf("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Errorf("route %q: the prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case len(r.Services) == 0:
		return eris.Errorf("route %q has no services", r.Name)
	case slices.Contains(r.Regions, ""):
		return eris.Errorf("route %q: region name is empty", r.Name)
	case r.Timeout <= 0:
		return eris.Errorf("route %q: the timeout %v is not positive", r.Name, r.Timeout)
	}
	return nil
}

// Match returns the route of a request with the given Host field and path, or
// nil if there is none. A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	list, ok := t.hosts[host]
	if !ok {
		list = t.hosts[canonicalHost(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationSet returns the organisations, indexed by name and by key.
func (t *Table) OrganisationSet() *organisation.Set { return t.organisations }

// canonicalHost returns a host in lower case and without its port.
func canonicalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.Trim(host, "[]"))
}

// Service returns the configuration of a service, if the table has it.
func (t *Table) Service(name string) (Service, bool) {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return t.Services[i], true
}
