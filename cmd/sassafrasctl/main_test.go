// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

const validService = `apiVersion: sassafrasfront.example/v1
kind: Service
metadata: {name: pledgebook}
spec:
  hosts: [pledgebook.example]
  timeout: 5s
`

// TestCommands runs command lines against a platform with one service and its
// status.
func TestCommands(t *testing.T) {
	tests := map[string]struct {
		file string
		args []string
		code int
		out  string
	}{
		"no command":           {code: exitUsage, out: "usage"},
		"validate":             {file: validService, args: []string{"validate"}, out: "pledgebook is valid"},
		"validate a bad field": {file: validService + "  retry: {share: 9}\n", args: []string{"validate"}, code: exitInvalid, out: "retry.share"},
		"validate unknown key": {file: validService + "  tiemout: 5s\n", args: []string{"validate"}, code: exitInvalid, out: "tiemout"},
		"validate other kind":  {file: "kind: Pod\n", args: []string{"validate"}, code: exitInvalid, out: "Pod"},
		"validate no file":     {args: []string{"validate"}, code: exitUsage, out: "-f"},
		"apply":                {file: validService, args: []string{"apply"}, out: "pledgebook written"},
		"apply an old version": {file: validService + "x-unused: 1\n", args: []string{"apply"}, out: "written"},
		"conflict":             {file: `{"apiVersion":"sassafrasfront.example/v1","kind":"Service","metadata":{"name":"pledgebook","resourceVersion":"99"},"spec":{"hosts":["mine"]}}`, args: []string{"apply"}, code: exitConflict, out: "before.example"},
		"diff":                 {file: validService, args: []string{"diff"}, out: "+     \"pledgebook.example\""},
		"get":                  {args: []string{"get"}, out: "before.example"},
		"get as JSON":          {args: []string{"-o", "json", "get", "pledgebook"}, out: `"resourceVersion": "1"`},
		"get none":             {args: []string{"get", "other"}, code: exitFailed, out: "404"},
		"status refused":       {args: []string{"status", "pledgebook"}, code: exitInvalid, out: "hosts: none"},
		"delete":               {args: []string{"delete", "pledgebook"}, out: "deleted"},
		"delete nothing":       {args: []string{"delete"}, code: exitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(new(objectapitest.Server))
			defer s.Close()
			ctx := context.Background()
			api := &objectapi.Client{JSONClient: objectapi.JSONClient{URL: s.URL}, Namespace: "sassafrasfront"}
			_, err := api.Create(ctx, objectapi.NewObject(operator.KindService, "pledgebook", operator.Service{Hosts: []string{"before.example"}}))
			qt.Assert(t, err, qt.IsNil)
			_, err = api.Create(ctx, objectapi.NewObject(operator.KindServiceStatus, "pledgebook", operator.ServiceStatus{
				Phase:  operator.PhaseRefused,
				Errors: operator.FieldErrors{{Field: "hosts", Message: "none"}},
			}))
			qt.Assert(t, err, qt.IsNil)
			args := append([]string{"-platformURL", s.URL}, test.args...)
			if test.file != "" {
				name := filepath.Join(t.TempDir(), "service.yaml")
				qt.Assert(t, os.WriteFile(name, []byte(test.file), 0o600), qt.IsNil)
				args = append(args, "-f", name)
			}
			var out bytes.Buffer
			qt.Check(t, execute(ctx, args, &out, &out), qt.Equals, test.code, qt.Commentf("%s", out.String()))
			qt.Check(t, out.String(), qt.Contains, test.out)
		})
	}
}
