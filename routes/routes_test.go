// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package routes_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/routes"
)

func route(name, host, prefix string, services ...routes.WeightedService) routes.Route {
	if len(services) == 0 {
		services = []routes.WeightedService{{Service: name, Weight: 1}}
	}
	return routes.Route{Name: name, Host: host, Prefix: prefix, Services: services, Timeout: time.Second}
}

func TestMatch(t *testing.T) {
	table, err := routes.New(routes.Table{Routes: []routes.Route{
		route("all", "a.example", "/"),
		route("orders", "a.example", "/orders/"),
		route("new", "a.example", "/orders/new/"),
		route("other", "b.example", "/x/"),
	}})
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":      {"a.example", "/orders/new/1", "new"},
		"shorter prefix":      {"a.example", "/orders/1", "orders"},
		"no slash after it":   {"a.example", "/orders", "all"},
		"case and port":       {"A.Example:80", "/", "all"},
		"other host":          {"b.example", "/x/1", "other"},
		"no prefix":           {"b.example", "/y/", ""},
		"unknown host":        {"c.example", "/", ""},
		"escaped is verbatim": {"a.example", "/orders%2fnew/", "all"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got string
			if r := table.Match(test.host, test.path); r != nil {
				got = r.Name
			}
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}

func TestInvalidRoutes(t *testing.T) {
	good := route("r", "a.example", "/x/")
	tests := map[string]func(*routes.Route){
		"no host":        func(r *routes.Route) { r.Host = "" },
		"no final slash": func(r *routes.Route) { r.Prefix = "/x" },
		"no services":    func(r *routes.Route) { r.Services = nil },
		"no timeout":     func(r *routes.Route) { r.Timeout = 0 },
	}
	for name, invalidate := range tests {
		t.Run(name, func(t *testing.T) {
			r := good
			invalidate(&r)
			_, err := routes.New(routes.Table{Routes: []routes.Route{r}})
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// TestEncode encodes and decodes a table.
func TestEncode(t *testing.T) {
	table, err := routes.New(routes.Table{
		Version:  7,
		Routes:   []routes.Route{route("r", "a.example", "/x/")},
		Services: []routes.Service{{Name: "r", HealthPath: "/h", MaxConnections: 5}},
	})
	qt.Assert(t, err, qt.IsNil)
	data, err := table.Encode()
	qt.Assert(t, err, qt.IsNil)
	again, err := routes.Decode(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, again.Version, qt.Equals, uint64(7))
	qt.Check(t, again.Match("a.example", "/x/1").Name, qt.Equals, "r")
	s, ok := again.Service("r")
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, s.MaxConnections, qt.Equals, 5)
}

// TestSplit checks that the number of requests of each service is at any time within one of the
// share that its weight gives it.
func TestSplit(t *testing.T) {
	r := route("r", "a.example", "/", routes.WeightedService{Service: "a", Weight: 90}, routes.WeightedService{Service: "b", Weight: 10}, routes.WeightedService{Service: "c", Weight: 0})
	var s routes.Splitter
	counts := make(map[string]int)
	for n := 1; n <= 1000; n++ {
		counts[s.Choose(&r)]++
		for _, w := range r.Services {
			off := counts[w.Service]*100 - n*w.Weight
			qt.Assert(t, off >= -100 && off <= 100, qt.IsTrue, qt.Commentf("service %s has %d of %d", w.Service, counts[w.Service], n))
		}
	}
}
