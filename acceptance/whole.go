// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"time"

	"sassafrasfront.example/routes"
)

// Whole is the name of the Config that holds a whole table of routes rather than
// one service. No service can have it.
const TableName = "*"

// FromTable returns the table as nodes pass it on. Its sequence is the version
// of the table. It panics if the table can't be encoded.
func FromTable(t *routes.Table) Config {
	spec, err := t.Encode()
	if err != nil {
		panic("acceptance: table can't be encoded: " + err.Error())
	}
	return Config{
		Name:     TableName,
		Sequence: t.Version,
		At:       time.Time{},
		Spec:     spec,
	}
}

// Table returns the table that the Config named Whole holds.
func (c Config) Table() (*routes.Table, error) { return routes.Decode(c.Spec) }
