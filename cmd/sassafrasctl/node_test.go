// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestNodeCommands runs the commands that query a node against a fake node.
func TestNodeCommands(t *testing.T) {
	const blocked = `[{"print":"00.01","standing":"blocked","ends":3,"upstreams":["n1/i-1/0"],"since":"2026-01-02T03:04:05Z","until":"2026-01-02T03:14:05Z"}]`
	const evacuated = `[{"zone":"z1","revision":412,"since":"2026-01-02T03:04:05Z","upstreams":24,"running":3},{"zone":"z2","revision":412,"since":"2026-01-02T03:04:05Z","upstreams":0}]`
	const organisations = `[{"organisation":"o1","rate":272,"burst":136,"here":12.25,"all":49,"limited":7,"unknown":2},{"organisation":"o2","rate":1.5,"burst":0,"here":0,"all":0,"limited":0,"unknown":0}]`
	const limits = `[{"node":"n1","start":"i-1","source":"upstream","limited":true,"limit":7.6,"leaving":false,"since":"2026-01-02T03:04:05Z","used":0.95,"refused":12},{"node":"n2","start":"i-2","source":"answers","limited":false,"limit":0,"leaving":true,"since":"2026-01-02T03:04:05Z","used":0,"refused":0}]`
	tests := map[string]struct {
		args []string
		code int
		out  string
		call string
	}{
		"zones":                         {args: []string{"zones", "-node", "NODE"}, out: "z1    412       2026-01-02T03:04:05Z  24         3\nz2", call: "GET /v1/zones"},
		"zones as JSON":                 {args: []string{"-o", "json", "zones", "-node", "NODE"}, out: `"running":3`, call: "GET /v1/zones"},
		"zones, no node":                {args: []string{"zones"}, code: exitUsage, out: "-node"},
		"zones, extra argument":         {args: []string{"zones", "-node", "NODE", "z1"}, code: exitUsage, out: "usage"},
		"organisations":                 {args: []string{"organisations", "-node", "NODE"}, out: "o1            272   136    49.0  12.2  25%    7               2\no2            1.5   0      -     0.0   -      0               0", call: "GET /v1/organisations"},
		"organisations, extra argument": {args: []string{"organisations", "-node", "NODE", "o1"}, code: exitUsage, out: "usage"},
		"limits":                        {args: []string{"limits", "-node", "NODE"}, out: "n1    i-1    7.6/s  95%   12       no       2026-01-02T03:04:05Z  upstream\nn2    i-2    -      -     -        yes      2026-01-02T03:04:05Z  answers", call: "GET /v1/limits"},
		"limits as JSON":                {args: []string{"-o", "json", "limits", "-node", "NODE"}, out: `"used":0.95`, call: "GET /v1/limits"},
		"limits, extra argument":        {args: []string{"limits", "-node", "NODE", "n1"}, code: exitUsage, out: "usage"},
		"list":                          {args: []string{"suspects", "-node", "NODE"}, out: "2026-01-02T03:14:05Z", call: "GET /v1/suspects"},
		"list as JSON":                  {args: []string{"-o", "json", "suspects", "-node", "NODE"}, out: `"standing":"blocked"`, call: "GET /v1/suspects"},
		"no node":                       {args: []string{"suspects"}, code: exitUsage, out: "-node"},
		"invalid node":                  {args: []string{"suspects", "-node", "%%"}, code: exitUsage, out: "-node"},
		"release":                       {args: []string{"release", "-node", "NODE", "00.01"}, out: "00.01 released", call: "DELETE /v1/suspects/00.01"},
		"release, no fingerprint":       {args: []string{"release", "-node", "NODE"}, code: exitUsage, out: "PRINT"},
		"release unknown":               {args: []string{"release", "-node", "NODE", "00.02"}, code: exitFailed, out: "not suspected", call: "DELETE /v1/suspects/00.02"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var call string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				call = r.Method + " " + r.URL.Path
				switch call {
				case "GET /v1/suspects":
					_, _ = w.Write([]byte(blocked))
				case "GET /v1/organisations":
					_, _ = w.Write([]byte(organisations))
				case "GET /v1/limits":
					_, _ = w.Write([]byte(limits))
				case "GET /v1/zones":
					_, _ = w.Write([]byte(evacuated))
				case "DELETE /v1/suspects/00.01":
					w.WriteHeader(http.StatusNoContent)
				default:
					http.Error(w, "not suspected", http.StatusNotFound)
				}
			}))
			defer s.Close()
			for i, a := range test.args {
				if a == "NODE" {
					test.args[i] = s.Listener.Addr().String()
				}
			}
			var out bytes.Buffer
			qt.Check(t, execute(context.Background(), test.args, &out, &out), qt.Equals, test.code)
			qt.Check(t, out.String(), qt.Contains, test.out)
			qt.Check(t, call, qt.Equals, test.call)
		})
	}
}
