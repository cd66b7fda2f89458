// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// usageFactor is the ratio between the usage of consecutive nodes. It is so large that the time
// each reading takes does not affect their order.
const usageFactor = 1000

// startNodes starts nodes on the same port of several addresses. Each sends far more bytes than
// the one before it and makes far fewer calls to the platform. They also list one node that does
// not run. It returns the operator address of the first.
func startNodes(t *testing.T, nodes int) string {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_, port, _ := net.SplitHostPort(first.Addr().String())
	var list []string
	for i := range nodes + 1 {
		list = append(list, fmt.Sprintf(`{"node":"n%d","zone":"z%d","address":"127.0.0.%d:8142"}`, i, i%2, i+1))
	}
	for i := range nodes {
		listener := first
		if i > 0 {
			listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%s", i+1, port))
			qt.Assert(t, err, qt.IsNil)
		}
		var reads atomic.Int64
		sends, calls := int64(1000), int64(1)
		for range i {
			sends *= usageFactor
		}
		for range nodes - i {
			calls *= usageFactor
		}
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/nodes" {
				_, _ = fmt.Fprintf(w, "[%s]", strings.Join(list, ","))
				return
			}
			if r.URL.Path == "/v1/table" {
				_, _ = fmt.Fprintf(w, `{"version":%d,"since":"2026-01-02T03:04:05Z","announced":23,"announcedAt":"2026-01-02T03:05:05Z","missing":%d,"chunks":7}`, 23-i, i)
				return
			}
			n := reads.Add(1)
			_, _ = fmt.Fprintf(w, "# a comment\nprocess_cpu_seconds_total %g\nprocess_resident_memory_bytes 15e6\nprocess_open_fds %d\n", 0.01*float64(n), 100+i)
			_, _ = fmt.Fprintf(w, "sassafras_peer_bytes_total{part=\"control\",direction=\"out\"} %d\n", n*sends)
			_, _ = fmt.Fprintf(w, "sassafras_control_bytes_total{topic=\"members.records\",direction=\"out\"} %d\n", n*sends)
			_, _ = fmt.Fprintf(w, "sassafras_upstream_limit_refused_total %d\n", n*calls)
			_, _ = fmt.Fprintf(w, "sassafras_platform_calls_total %d\nsassafras_platform_calls_by_kind_total{call=\"list\",kind=\"contact\"} %d\n", n*calls, n*calls)
		}))
		s.Listener.Close()
		s.Listener = listener
		s.Start()
		t.Cleanup(s.Close)
	}
	return first.Addr().String()
}

// TestBusiest compares nodes, one of which does not respond.
func TestBusiest(t *testing.T) {
	node := startNodes(t, 5)
	tests := map[string]struct {
		args []string
		code int
		want []string // in this order
	}{
		"by bytes":         {args: []string{"-node", node, "-over", "20ms", "-show", "2"}, want: []string{"n4 ", `control_bytes{topic="members.records",direction="out"}`, "n3 ", "middle of 5", "1 nodes not read, n5 among them"}},
		"by calls":         {args: []string{"-node", node, "-over", "20ms", "-show", "1", "-by", "platform"}, want: []string{"n0 ", `platform_calls_by_kind{call="list",kind="contact"}`, "middle of 5"}},
		"by refusals":      {args: []string{"-node", node, "-over", "20ms", "-show", "1", "-by", "refused"}, want: []string{"n0 ", "upstream_limit_refused{", "middle of 5"}},
		"by files":         {args: []string{"-node", node, "-over", "20ms", "-show", "9", "-by", "files"}, want: []string{"n4 ", "104", "n0 ", "100"}},
		"unknown measure":  {args: []string{"-node", node, "-by", "luck"}, code: exitUsage, want: []string{"bytes, cores, files, memory, platform, refused"}},
		"no time":          {args: []string{"-node", node, "-over", "0s"}, code: exitUsage, want: []string{"-over"}},
		"none to show":     {args: []string{"-node", node, "-show", "0"}, code: exitUsage, want: []string{"-show"}},
		"no node":          {code: exitUsage, want: []string{"-node"}},
		"unreachable node": {args: []string{"-node", "127.0.0.77:1", "-over", "20ms"}, code: exitFailed, want: []string{"127.0.0.77:1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			qt.Check(t, execute(context.Background(), append([]string{"busiest"}, test.args...), &out, &out), qt.Equals, test.code)
			rest := out.String()
			for _, w := range test.want {
				_, after, found := strings.Cut(rest, w)
				qt.Check(t, found, qt.IsTrue, qt.Commentf("%q not in %q", w, out.String()))
				rest = after
			}
		})
	}
}
