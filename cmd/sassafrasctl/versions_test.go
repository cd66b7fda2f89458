// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestVersions lists nodes with different versions, one of which does not respond.
func TestVersions(t *testing.T) {
	node := startNodes(t, 3)
	for name, test := range map[string]struct {
		args []string
		code int
		want []string // in this order
	}{
		"table":          {args: []string{"versions", "-node", node}, want: []string{"n3 ", "refused", "n2 ", "21", "yes", "2 of 7", "n1 ", "22", "yes", "n0 ", "23", "no"}},
		"JSON":           {args: []string{"-o", "json", "versions", "-node", node}, want: []string{`"node":"n3"`, `"error"`, `"behind":true`, `"version":21`, `"behind":false`, `"version":23`}},
		"no node":        {args: []string{"versions"}, code: exitUsage, want: []string{"-node"}},
		"extra argument": {args: []string{"versions", "-node", node, "n1"}, code: exitUsage, want: []string{"usage"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			qt.Check(t, execute(context.Background(), test.args, &out, &out), qt.Equals, test.code)
			rest := out.String()
			for _, w := range test.want {
				_, after, found := strings.Cut(rest, w)
				qt.Check(t, found, qt.IsTrue, qt.Commentf("%q not in %q", w, out.String()))
				rest = after
			}
		})
	}
}
