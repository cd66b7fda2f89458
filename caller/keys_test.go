// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace/noop"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/freshness"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/organisation"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// key is the key of the organisation "right", whose name is in the field organisationField.
const (
	key               = "2thhkmgjqnirth5mgjy5"
	organisationField = "X-Organisation"
)

// recorder is a Dispatcher that records the requests that it gets, and refuses them.
type recorder struct {
	requests []*entry.Request
}

func (d *recorder) Do(_ context.Context, r *entry.Request) (*entry.Result, *verdict.Error) {
	d.requests = append(d.requests, r)
	return nil, verdict.New(verdict.Refused, nil)
}

// values returns the values of a field of the first request.
func (d *recorder) values(name string) (list []string) {
	for _, f := range d.requests[0].Header {
		if f.Name == name {
			list = append(list, f.Value)
		}
	}
	return list
}

// newKeyedHandler returns a handler for a table with organisations, with the routes /keyed/,
// /bound/ and /public/, and its Dispatcher.
func newKeyedHandler(t testing.TB, keys caller.Keys) (*caller.Handler, *recorder) {
	urgent, unknown := 0, 7
	table, err := routes.New(routes.Table{
		Version:      8,
		KeysRequired: true,
		Organisations: []organisation.Organisation{
			{Name: "right", Keys: []organisation.Digest{organisation.DigestOf(key)}},
			{Name: "urgent", Keys: []organisation.Digest{organisation.DigestOf("urgent")}, Priority: &urgent},
			{Name: "odd", Keys: []organisation.Digest{organisation.DigestOf("odd")}, Priority: &unknown},
			{Name: "near", Keys: []organisation.Digest{organisation.DigestOf("near")}, Regions: []string{"r1", "r3"}},
			{Name: "far", Keys: []organisation.Digest{organisation.DigestOf("far")}, Regions: []string{"r9"}},
		},
		Routes: []routes.Route{
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Timeout: time.Second, Priority: 1, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "bound", Host: "h", Prefix: "/bound/", Timeout: time.Second, Priority: 1, Regions: []string{"r1", "r2"}, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "public", Host: "h", Prefix: "/public/", Timeout: time.Second, Priority: 1, Public: true, Services: []routes.WeightedService{{Service: "s", Weight: 1}}},
		},
	})
	qt.Assert(t, err, qt.IsNil)
	service := &entry.Service{Name: "s", Config: operator.Service{
		Classes: []operator.Class{{Name: "priority1-0ms"}, {Name: "priority0-0ms"}},
	}.WithDefaults()}
	d := new(recorder)
	return &caller.Handler{
		LocalCallers: true,
		FieldNames:   upstream.FieldNames{RequestID: "X-Request-Id", Timeout: "X-Timeout", Organisation: organisationField, FractionalRetryAfter: true},
		Resolver: &caller.RouteResolver{
			Table:   func() *routes.Table { return table },
			Service: func(string) *entry.Service { return service },
			Keys:    keys,
		},
		Dispatcher: d,
		Tracer:     noop.NewTracerProvider().Tracer(""),
	}, d
}

// post has a handler serve a POST request with the given header lines.
func post(t testing.TB, h http.Handler, path string, lines ...string) *httptest.ResponseRecorder {
	raw := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + strings.Join(append(lines, ""), "\r\n") + "\r\nhi"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	qt.Assert(t, err, qt.IsNil)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestAuthorization has one row for each way of sending a key, or none.
func TestAuthorization(t *testing.T) {
	const admitted = http.StatusServiceUnavailable // the recorder refuses all requests
	long := strings.Repeat("k", 8<<10)
	for name, row := range map[string]struct {
		lines     []string
		status    int
		challenge string // WWW-Authenticate
	}{
		"a key":                            {[]string{"Authorization: Bearer " + key}, admitted, ""},
		"the scheme in other case":         {[]string{"AUTHORIZATION: bEARER " + key}, admitted, ""},
		"spaces after it":                  {[]string{"Authorization: Bearer " + key + "  \t"}, admitted, ""},
		"spaces before it":                 {[]string{"Authorization:    Bearer   " + key}, admitted, ""},
		"named in Connection":              {[]string{"Connection: authorization", "Authorization: Bearer " + key}, admitted, ""},
		"none":                             {nil, 401, "Bearer"},
		"empty":                            {[]string{"Authorization:"}, 401, `Bearer error="invalid_token"`},
		"no key":                           {[]string{"Authorization: Bearer"}, 401, `Bearer error="invalid_token"`},
		"another key":                      {[]string{"Authorization: Bearer nobody"}, 401, `Bearer error="invalid_token"`},
		"the key in other case":            {[]string{"Authorization: Bearer " + strings.ToUpper(key)}, 401, `Bearer error="invalid_token"`},
		"the start of a key":               {[]string{"Authorization: Bearer " + key[:10]}, 401, `Bearer error="invalid_token"`},
		"more than a key":                  {[]string{"Authorization: Bearer " + key + "x"}, 401, `Bearer error="invalid_token"`},
		"two words":                        {[]string{"Authorization: Bearer " + key + " " + key}, 401, `Bearer error="invalid_token"`},
		"two keys":                         {[]string{"Authorization: Bearer " + key + "," + key}, 401, `Bearer error="invalid_token"`},
		"twice the same":                   {[]string{"Authorization: Bearer " + key, "Authorization: Bearer " + key}, 401, `Bearer error="invalid_token"`},
		"a good and a bad one":             {[]string{"Authorization: Bearer " + key, "authorization: Bearer another-key"}, 401, `Bearer error="invalid_token"`},
		"another scheme":                   {[]string{"Authorization: Basic " + key}, 401, `Bearer error="invalid_token"`},
		"no scheme":                        {[]string{"Authorization: " + key}, 401, `Bearer error="invalid_token"`},
		"a tab":                            {[]string{"Authorization: Bearer\t" + key}, 401, `Bearer error="invalid_token"`},
		"8 kB":                             {[]string{"Authorization: Bearer " + long}, 401, `Bearer error="invalid_token"`},
		"not ASCII":                        {[]string{"Authorization: Bearer k\xc3\xa9y"}, 401, `Bearer error="invalid_token"`},
		"in Proxy-Authorization":           {[]string{"Proxy-Authorization: Bearer " + key}, 401, "Bearer"},
		"organisation name only":           {[]string{organisationField + ": right"}, 401, "Bearer"},
		"organisation name and request ID": {[]string{organisationField + ": right", "X-Request-Id: a.b"}, 401, "Bearer"},
	} {
		t.Run(name, func(t *testing.T) {
			h, d := newKeyedHandler(t, caller.Keys{})
			w := post(t, h, "/keyed/x", row.lines...)
			qt.Check(t, w.Code, qt.Equals, row.status, qt.Commentf("%s", w.Body))
			qt.Check(t, w.Header().Get("WWW-Authenticate"), qt.Equals, row.challenge)
			qt.Check(t, len(d.requests), qt.Equals, map[bool]int{true: 1}[row.status == admitted])
			for _, line := range row.lines {
				_, sent, _ := strings.Cut(line, "Bearer ")
				if sent != "" {
					qt.Check(t, strings.Contains(w.Body.String(), strings.TrimSpace(sent)), qt.IsFalse, qt.Commentf("%s", w.Body))
				}
			}
			if row.status == admitted {
				qt.Check(t, d.requests[0].Organisation, qt.Equals, "right")
				qt.Check(t, d.values(organisationField), qt.DeepEquals, []string{"right"})
				qt.Check(t, d.values("Authorization"), qt.IsNil)
			}
		})
	}
}

// TestOrganisationField has callers that try to name an organisation themselves, or to have the
// name or the key treated as another field.
func TestOrganisationField(t *testing.T) {
	auth := "Authorization: Bearer " + key
	for name, row := range map[string]struct {
		path          string
		lines         []string
		organisation  []string
		authorization []string
	}{
		"forged":                 {"/keyed/x", []string{auth, organisationField + ": other"}, []string{"right"}, nil},
		"forged twice":           {"/keyed/x", []string{auth, "x-ORGANISATION: other", organisationField + ": third"}, []string{"right"}, nil},
		"named as hop-by-hop":    {"/keyed/x", []string{auth, "Connection: x-organisation, close"}, []string{"right"}, nil},
		"public":                 {"/public/x", nil, nil, nil},
		"public, forged":         {"/public/x", []string{organisationField + ": other", organisationField + ": right"}, nil, nil},
		"public, a key":          {"/public/x", []string{auth}, nil, nil},
		"public, two":            {"/public/x", []string{"Authorization: Basic dTpw", "Authorization: bearer x"}, nil, nil},
		"public, another scheme": {"/public/x", []string{"Authorization: Basic dTpw"}, nil, []string{"Basic dTpw"}},
	} {
		t.Run(name, func(t *testing.T) {
			h, d := newKeyedHandler(t, caller.Keys{})
			w := post(t, h, row.path, row.lines...)
			qt.Assert(t, len(d.requests), qt.Equals, 1, qt.Commentf("%s", w.Body))
			qt.Check(t, d.values(organisationField), qt.DeepEquals, row.organisation)
			qt.Check(t, d.values("Authorization"), qt.DeepEquals, row.authorization)
			qt.Check(t, d.values("Connection"), qt.IsNil)
		})
	}
}

// TestOrganisationSettings checks that an organisation's priority and regions apply besides the
// route's.
func TestOrganisationSettings(t *testing.T) {
	for name, row := range map[string]struct {
		path, key string
		class     string
		regions   []string
		status    int
	}{
		"nothing":                    {"/keyed/x", key, "priority1-0ms", nil, 503},
		"a priority":                 {"/keyed/x", "urgent", "priority0-0ms", nil, 503},
		"a priority without a class": {"/keyed/x", "odd", "priority1-0ms", nil, 503},
		"regions":                    {"/keyed/x", "near", "priority1-0ms", []string{"r1", "r3"}, 503},
		"the route's regions":        {"/bound/x", key, "priority1-0ms", []string{"r1", "r2"}, 503},
		"both have regions":          {"/bound/x", "near", "priority1-0ms", []string{"r1"}, 503},
		"both, and none in common":   {"/bound/x", "far", "", nil, 503},
		"a public route, with a key": {"/public/x", "urgent", "priority1-0ms", nil, 503},
	} {
		t.Run(name, func(t *testing.T) {
			h, d := newKeyedHandler(t, caller.Keys{})
			w := post(t, h, row.path, "Authorization: Bearer "+row.key)
			qt.Check(t, w.Code, qt.Equals, row.status)
			if row.class == "" {
				qt.Check(t, len(d.requests), qt.Equals, 0)
				return
			}
			qt.Assert(t, len(d.requests), qt.Equals, 1)
			qt.Check(t, d.requests[0].Class, qt.Equals, row.class)
			qt.Check(t, d.requests[0].Regions, qt.DeepEquals, row.regions)
		})
	}
}

// TestStaleTable has a node whose table is too stale: requests that need a key are refused as not
// run, and others are served.
func TestStaleTable(t *testing.T) {
	var evaluated []bool
	h, d := newKeyedHandler(t, caller.Keys{
		Bounds:      freshness.Bounds{MaxRevokeDelay: 5 * time.Second, MaxApplyDelay: 2 * time.Second},
		Age:         func(uint64) freshness.Age { return freshness.Age{Known: true, Time: 6 * time.Second} },
		OnEvaluated: func(admitted bool, _ uint64, _ freshness.Age) { evaluated = append(evaluated, admitted) },
		RetryAfter:  500 * time.Millisecond,
	})
	for _, lines := range [][]string{{"Authorization: Bearer " + key}, {"Authorization: Bearer added-just-now"}} {
		w := post(t, h, "/keyed/x", lines...)
		qt.Check(t, w.Code, qt.Equals, 503)
		qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "0.500")
		qt.Check(t, w.Header().Get(upstream.VerdictHeader), qt.Equals, "notRun")
		qt.Check(t, strings.Contains(w.Body.String(), `"notFresh"`), qt.IsTrue, qt.Commentf("%s", w.Body))
	}
	qt.Check(t, post(t, h, "/keyed/x").Code, qt.Equals, 401, qt.Commentf("no table admits it"))
	qt.Check(t, post(t, h, "/nowhere/").Code, qt.Equals, 404)
	qt.Check(t, len(d.requests), qt.Equals, 0)
	qt.Check(t, evaluated, qt.DeepEquals, []bool{false}, qt.Commentf("only for the key in the table"))
	post(t, h, "/public/x", "Authorization: Bearer "+key)
	qt.Check(t, len(d.requests), qt.Equals, 1)
}

// FuzzAuthorization sends arbitrary fields: only requests with one valid key in one field may be
// admitted, and no key or organisation name of the caller's may be forwarded.
func FuzzAuthorization(f *testing.F) {
	f.Add("Authorization", "Bearer "+key, "X-A", "b")
	f.Add("authorization", "bearer  "+key+" ", "Connection", "X-Organisation")
	f.Add("Authorization", "Bearer "+key, "Authorization", "Bearer "+key)
	f.Add("X-Organisation", "right", "X-organisation", "right")
	f.Add("Authorization", "Bearer "+strings.Repeat("k", 9000), "Transfer-Encoding", "chunked")
	f.Fuzz(func(t *testing.T, name, value, other, second string) {
		raw := "GET /keyed/ HTTP/1.1\r\nHost: h\r\n" + name + ": " + value + "\r\n" + other + ": " + second + "\r\n\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		sent := slices.Clone(r.Header["Authorization"])
		h, d := newKeyedHandler(t, caller.Keys{})
		h.ServeHTTP(httptest.NewRecorder(), r)
		if len(d.requests) == 0 {
			return
		}
		if len(sent) != 1 || !strings.HasSuffix(sent[0], " "+key) && !hasOtherKey(sent[0]) {
			t.Fatalf("admitted with %q", sent)
		}
		if got := d.values(organisationField); len(got) != 1 || got[0] != d.requests[0].Organisation {
			t.Fatalf("named %q", got)
		}
		if got := d.values("Authorization"); got != nil {
			t.Fatalf("passed on %q", got)
		}
	})
}

// hasOtherKey returns whether a field has one of the other keys of the table.
func hasOtherKey(value string) bool {
	_, sent, _ := strings.Cut(value, " ")
	return slices.Contains([]string{"urgent", "odd", "near", "far"}, strings.TrimSpace(sent))
}
