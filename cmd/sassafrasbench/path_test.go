// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
)

// binaries is the directory into which the programs are built for the tests.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sassafrasfront")
	if err != nil {
		panic(err)
	}
	binaries = dir
	code := 1
	if err := rig.Build(dir); err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

var zones = []string{"hob-a", "hob-b", "kingston"}

// start starts a system for a test and stops it when the test ends.
func start(t *testing.T, specs ...rig.Spec) (context.Context, *rig.Rig) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	logs := t.TempDir()
	r, err := rig.Start(ctx, binaries, rig.Options{Zones: zones, Dir: logs}, specs...)
	t.Cleanup(func() {
		cancel()
		r.Stop()
		if t.Failed() {
			printLogs(t, logs)
		}
	})
	qt.Assert(t, err, qt.IsNil)
	return ctx, r
}

func printLogs(t *testing.T, dir string) {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		data, _ := os.ReadFile(dir + "/" + e.Name())
		t.Logf("%s:\n%s", e.Name(), data[max(0, len(data)-2000):])
	}
}

// spec returns a small service with fast upstreams.
func spec(upstreams int) rig.Spec {
	return rig.Spec{
		Service:    "pledgebook",
		Upstreams:  upstreams,
		Slots:      10,
		Parameters: backend.Parameters{MeanMillis: 1},
	}
}

// send sends a request with an ID through a node.
func send(ctx context.Context, n *rig.Node, method, target, id, body string) (*http.Response, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, n.CallerURL()+target, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	r.Host = n.Service + ".example"
	r.Header.Set(backend.IDHeader, id)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// TestEndToEnd sends requests through each node of a service in three zones. Each request must
// receive its own response and run exactly once.
func TestEndToEnd(t *testing.T) {
	ctx, r := start(t, spec(3))
	for i := range 60 {
		id := fmt.Sprint("request-", i)
		response, body, err := send(ctx, r.Nodes[i%3], "POST", "/enquiries", id, "hello")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, response.StatusCode, qt.Equals, 200, qt.Commentf("%s", body))
		qt.Check(t, strings.HasPrefix(body, id+" "), qt.IsTrue)
		qt.Check(t, strings.HasSuffix(body, " hello"), qt.IsTrue)
		qt.Check(t, response.Header.Get("Sassafras-Verdict"), qt.Equals, "ran")
	}
	runs := r.RunCounts()
	qt.Check(t, len(runs), qt.Equals, 60)
	for id, k := range runs {
		qt.Check(t, k, qt.Equals, 1, qt.Commentf("%s", id))
	}
}
