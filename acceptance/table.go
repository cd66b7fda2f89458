// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"time"

	"sassafrasfront.example/routes"
)

// TableName is the name of the Config that holds a table of routes rather than one service. It
// is not a valid name of a service.
const TableName = "*"

// FromTable returns a table of routes in the form that nodes exchange. The sequence is the
// version of the table. It panics if the table can't be encoded.
func FromTable(t *routes.Table) Config {
	spec, err := t.Encode()
	if err != nil {
		panic("acceptance: table can't be encoded: " + err.Error())
	}
	return NewTable(t.Version, spec)
}

// NewTable returns the Config of the table of routes with the given version and encoding.
func NewTable(version uint64, encoded []byte) Config {
	return Config{
		Name:     TableName,
		Sequence: version,
		At:       time.Time{},
		Spec:     encoded,
	}
}

// Table decodes the table of the Config named TableName.
func (c Config) Table() (*routes.Table, error) { return routes.Decode(c.Spec) }
