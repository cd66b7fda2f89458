// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package serviceconfig

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/organisation"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/settings"
)

// TestColdLimits checks the limits on requests to cold upstreams. What is admitted and what is
// sent stay below the rate times the ratio plus the slack.
func TestColdLimits(t *testing.T) {
	tests := map[string]struct {
		perSecond, ratio, slack float64
		want                    operator.Cold
	}{
		"none":            {ratio: 1.5, slack: 8},
		"with a slack":    {perSecond: 15, ratio: 1.5, slack: 8, want: operator.Cold{MaxAdmittedPerSecond: 28, MaxSentPerSecond: 29}},
		"without a slack": {perSecond: 15, ratio: 1, want: operator.Cold{MaxAdmittedPerSecond: 14, MaxSentPerSecond: 14}},
		"under one":       {perSecond: 0.4, ratio: 1, want: operator.Cold{MaxAdmittedPerSecond: 1, MaxSentPerSecond: 1}},
		"no ratio":        {perSecond: 15, slack: 8, want: operator.Cold{MaxAdmittedPerSecond: 6, MaxSentPerSecond: 7}},
		"a large slack":   {perSecond: 15, ratio: 1, slack: 100, want: operator.Cold{MaxAdmittedPerSecond: 90, MaxSentPerSecond: 114}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, err := routes.New(routes.Table{Services: []routes.Service{{
				Name:          "s",
				ColdPerSecond: test.perSecond,
				ColdStart:     3 * time.Second,
			}}})
			qt.Assert(t, err, qt.IsNil)
			if test.perSecond > 0 {
				test.want.AssumedDuration = operator.Duration(3 * time.Second)
			}
			qt.Check(t, coldLimits(table, "s", settings.Settings{ColdRatio: test.ratio, ColdSlack: test.slack}), qt.Equals, test.want)
		})
	}
}

// TestClassesOfOrganisations checks that there are classes for the priorities of organisations
// only on routes that need a key, and no more than a service may have.
func TestClassesOfOrganisations(t *testing.T) {
	priority := func(p int) *int { return &p }
	organisations := []organisation.Organisation{
		{Name: "a", Priority: priority(0)},
		{Name: "b"},
		{Name: "c", Priority: priority(2)},
		{Name: "d", Priority: priority(0)},
	}
	route := func(name string, priority int, objective time.Duration, public bool) routes.Route {
		return routes.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: time.Second, Priority: priority, Objective: objective, Public: public,
			Services: []routes.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	table := func(keyed bool, list ...routes.Route) *routes.Table {
		t := routes.Table{KeysRequired: keyed, Routes: list}
		if keyed {
			t.Organisations = organisations
		}
		made, err := routes.New(t)
		if err != nil {
			panic(err)
		}
		return made
	}
	short, long := route("short", 1, 100*time.Millisecond, false), route("long", 1, time.Second, false)
	inner := route("inner", 1, 50*time.Millisecond, true)
	names := func(t *routes.Table) (list []string) {
		for _, c := range classes(t, "s") {
			list = append(list, c.Name)
		}
		return list
	}
	qt.Check(t, names(table(false, short, inner)), qt.DeepEquals, []string{"priority1-100ms", "priority1-50ms"})
	qt.Check(t, names(table(true, inner)), qt.DeepEquals, []string{"priority1-50ms"})
	qt.Check(t, names(table(true, short, inner)), qt.DeepEquals, []string{"priority2-100ms", "priority1-100ms", "priority1-50ms", "priority0-100ms"})
	all := names(table(true, short, long, inner))
	qt.Check(t, len(all), qt.Equals, 7)
	qt.Check(t, names(table(true, inner, long, short)), qt.DeepEquals, all, qt.Commentf("the order of routes changes nothing"))
	var many []routes.Route
	for i := range 10 {
		many = append(many, route(string(rune('a'+i)), 1, time.Duration(i+1)*time.Second, false))
	}
	qt.Check(t, len(names(table(true, many...))), qt.Equals, operator.MaxClasses)
}
