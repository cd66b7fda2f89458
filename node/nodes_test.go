// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
)

// TestNodesListed checks the list of the nodes that a node knows, and that the metrics by which
// nodes are compared, those of the process among them, are there.
func TestNodesListed(t *testing.T) {
	w := newTestSystem(t)
	w.configure(1, "")
	a, b := w.add("b"), w.add("b")
	get := func(path string) []byte {
		r, err := http.Get("http://" + a.settings.OperatorAddress + path)
		qt.Assert(t, err, qt.IsNil)
		defer r.Body.Close()
		data, err := io.ReadAll(r.Body)
		qt.Assert(t, err, qt.IsNil)
		return data
	}
	w.eventually("it has started", a.ready)
	var list []operator.NodeAddress
	w.eventually("both are known", func() bool {
		list = nil
		return json.Unmarshal(get("/v1/nodes"), &list) == nil && len(list) == 2
	})
	for i, n := range []*testNode{a, b} {
		qt.Check(t, list[i], qt.Equals, operator.NodeAddress{
			Node:    n.settings.Node,
			Zone:    n.settings.Zone,
			Address: n.settings.PeerAddress,
		})
	}
	metrics := string(get("/metrics"))
	for _, name := range []string{"process_cpu_seconds_total", "process_resident_memory_bytes", "process_open_fds", "sassafras_peer_bytes_total{", "sassafras_platform_calls_total"} {
		qt.Check(t, strings.Contains(metrics, "\n"+name), qt.IsTrue, qt.Commentf("%s", name))
	}
}
