// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/member"
)

// typicalRecord is a record with fields of typical length.
var typicalRecord = member.Record{
	ID:          "sidecar-glenorchy-154",
	Addr:        "10.128.3.38:8146",
	Zone:        "glenorchy",
	Region:      "tas-south",
	Service:     "pledgebook",
	Slots:       9,
	State:       member.Up,
	Incarnation: 1765000000123456789,
	Version:     2,
	Software:    "v1",
	WrittenAt:   1765000000,
}

// TestWire checks that records decode as they were encoded, and that they are small: each record is
// sent to each node about four times.
func TestWire(t *testing.T) {
	data, err := msgpack.Marshal(typicalRecord)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(data) <= 110, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	var got member.Record
	qt.Assert(t, msgpack.Unmarshal(data, &got), qt.IsNil)
	qt.Check(t, got, qt.Equals, typicalRecord)

	list, err := msgpack.Marshal([]member.Record{typicalRecord, {ID: "b"}})
	qt.Assert(t, err, qt.IsNil)
	var both []member.Record
	qt.Assert(t, msgpack.Unmarshal(list, &both), qt.IsNil)
	qt.Check(t, both, qt.DeepEquals, []member.Record{typicalRecord, {ID: "b"}})
}

// TestWireCompatibility decodes records with more fields, fewer fields, and none.
func TestWireCompatibility(t *testing.T) {
	fields := func(n int) []any {
		list := []any{"a", "", "", "", "", 1, "up", uint64(1), uint64(1), "", false, false, int64(1), "more", []int{1}}
		return list[:n]
	}
	tests := map[string]struct {
		value any
		good  bool
	}{
		"same number of fields": {value: fields(13), good: true},
		"more":                  {value: fields(15), good: true},
		"fewer fields":          {value: fields(12)},
		"none":                  {value: []any{}},
		"not a list":            {value: map[string]any{"id": "a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := msgpack.Marshal(test.value)
			qt.Assert(t, err, qt.IsNil)
			var got member.Record
			err = msgpack.Unmarshal(data, &got)
			qt.Check(t, err == nil, qt.Equals, test.good, qt.Commentf("%v", err))
			if test.good {
				qt.Check(t, got.ID, qt.Equals, "a")
			}
		})
	}
}
