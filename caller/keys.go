// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/bearer"
	"sassafrasfront.example/freshness"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/organisation"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// Keys defines how the keys of organisations are checked. With the zero value only the table
// of routes decides.
type Keys struct {
	// Bounds are the limits on the staleness of a table.
	Bounds freshness.Bounds
	// Age returns for how long a table with the version may have been out of date. If it is
	// nil, the age is unknown.
	Age func(version uint64) freshness.Age
	// OnEvaluated, if not nil, is called for each request whose key is in the table, with
	// whether it is admitted.
	OnEvaluated func(admitted bool, version uint64, age freshness.Age)
	// RetryAfter is the time after which a caller may retry at a node whose table is too
	// stale.
	RetryAfter time.Duration
}

// authenticate returns the target of a request that needs a key, for the organisation of the
// key.
func (k *Keys) authenticate(target *Target, t *routes.Table, route *routes.Route, h http.Header) (*Target, *verdict.Error) {
	key, err := bearer.Key(h)
	if err != nil {
		return nil, verdict.New(verdict.Unauthorized, err)
	}
	o := t.OrganisationSet().ByKey(key)
	if failure := k.evaluate(t.Version, o != nil); failure != nil {
		return nil, failure
	}
	target.Organisation = o.Name
	if target.Regions, err = commonRegions(route.Regions, o.Regions); err != nil {
		return nil, verdict.New(verdict.NoUpstream, err)
	}
	target.Class = organisationClass(&target.Service.Config, route, o)
	return target, nil
}

// evaluate returns the failure of a request with a key, or nil. KeyKnown is whether the key is in
// the table.
func (k *Keys) evaluate(version uint64, keyKnown bool) *verdict.Error {
	var age freshness.Age
	if k.Age != nil {
		age = k.Age(version)
	}
	status := k.Bounds.Evaluate(age, keyKnown)
	if k.OnEvaluated != nil && keyKnown {
		k.OnEvaluated(status != freshness.Stale, version, age)
	}
	switch status {
	case freshness.Stale:
		return verdict.New(verdict.KeysStale, eris.Errorf("version %d was known to be the latest %v ago", version, age)).WithRetryAfter(k.RetryAfter)
	case freshness.Unknown:
		return verdict.New(verdict.Unauthorized, eris.Errorf("no organisation of version %d has the key", version))
	default:
		return nil
	}
}

// commonRegions returns the regions that both a route and an organisation allow. An empty list
// allows all regions, so it is an error if the two have none in common.
func commonRegions(route, organisation []string) ([]string, error) {
	if len(organisation) == 0 {
		return route, nil
	}
	if len(route) == 0 {
		return organisation, nil
	}
	var common []string
	for _, r := range route {
		if slices.Contains(organisation, r) {
			common = append(common, r)
		}
	}
	if len(common) == 0 {
		return nil, eris.New("no region is allowed by both the route and the organisation")
	}
	return common, nil
}

// organisationClass returns the class of an organisation's requests on a route: its priority
// overrides the route's if the service has a class for it.
func organisationClass(s *operator.Service, route *routes.Route, o *organisation.Organisation) string {
	own := ClassName(route.Priority, route.Objective)
	if o.Priority == nil {
		return own
	}
	name := ClassName(*o.Priority, route.Objective)
	if !slices.ContainsFunc(s.Classes, func(c operator.Class) bool { return c.Name == name }) {
		return own
	}
	return name
}

// setOrganisation sets the field that names the organisation to the upstream, and discards
// any value that the caller has sent in it.
func setOrganisation(h http.Header, field, name string) {
	if field == "" {
		return
	}
	h.Del(field)
	if name != "" {
		h.Set(field, name)
	}
}

// reservedFields returns the fields that are not allowed in a trailer: an upstream that merges
// the trailer into the header would mistake them for the node's (RFC 9110, section 6.5.1).
func reservedFields(names upstream.FieldNames) []string {
	return []string{bearer.Field, names.RequestID, names.Timeout, names.CallerService, names.ExpectedInstance, names.Organisation}
}
