// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package evacuation_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/objectapi"
)

// fakeStore is a platform that lists the given objects.
type fakeStore struct {
	objectapi.PollingAPI
	names   []string
	version string
	failure error
}

// List implements objectapi.Objects.
func (f *fakeStore) List(context.Context, string) (*objectapi.List, error) {
	if f.failure != nil {
		return nil, f.failure
	}
	list := new(objectapi.List)
	list.Metadata.ResourceVersion = f.version
	for _, name := range f.names {
		list.Items = append(list.Items, objectapi.NewObject("zone", name, "not an object"))
	}
	return list, nil
}

// ListStale implements objectapi.Objects.
func (f *fakeStore) ListStale(ctx context.Context, kind string) (*objectapi.List, error) {
	return f.List(ctx, kind)
}

// Changes implements objectapi.PollingAPI.
func (f *fakeStore) Changes(context.Context, string, string, time.Duration) (*objectapi.Changes, error) {
	return nil, errors.New("unexpected call")
}

// TestRead checks the zones that are read from a platform.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		store *fakeStore
		want  evacuation.Set
		fails bool
	}{
		"none":           {store: &fakeStore{version: "7"}, want: evacuation.New(objectapi.ResourceVersion{Revision: 7})},
		"one":            {store: &fakeStore{version: "8", names: []string{"z"}}, want: evacuation.New(objectapi.ResourceVersion{Revision: 8}, "z")},
		"two":            {store: &fakeStore{version: "9", names: []string{"z", "a"}}, want: evacuation.New(objectapi.ResourceVersion{Revision: 9}, "a", "z")},
		"unavailable":    {store: &fakeStore{failure: errors.New("unavailable")}, fails: true},
		"not a revision": {store: &fakeStore{version: "x", names: []string{"z"}}, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var found []evacuation.Set
			r := &objectapi.Lister{
				API:  test.store,
				Kind: "zone",
				OnList: func(items []*objectapi.Object, at objectapi.ResourceVersion, _ bool) {
					found = append(found, evacuation.FromObjects(items, at))
				},
			}
			for _, read := range []func(context.Context) error{r.ReadInitial, r.Read} {
				found = nil
				err := read(context.Background())
				qt.Check(t, err != nil, qt.Equals, test.fails)
				if test.fails {
					qt.Check(t, found, qt.HasLen, 0)
					continue
				}
				qt.Assert(t, found, qt.HasLen, 1)
				qt.Check(t, found[0], qt.DeepEquals, test.want)
			}
		})
	}
}

// TestEncode checks that a Set decodes as it was encoded, and that invalid data are refused.
func TestEncode(t *testing.T) {
	s := evacuation.New(objectapi.ResourceVersion{Revision: 9}, "b", "a", "b")
	got, err := evacuation.Decode(s.Encode())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, s)
	qt.Check(t, got.Has("a") && got.Has("b") && !got.Has("c"), qt.IsTrue)
	qt.Check(t, got.SameZones(evacuation.New(objectapi.ResourceVersion{Revision: 1}, "a", "b")), qt.IsTrue)
	_, err = evacuation.Decode([]byte(`{"zones":7}`))
	qt.Check(t, err, qt.IsNotNil)
}
