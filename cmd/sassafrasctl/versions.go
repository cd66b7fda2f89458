// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"sassafrasfront.example/operator"
)

// nodeTable is the table of routes of one node.
type nodeTable struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Behind is whether another node has a later version in force, or a node has a notice of one.
	Behind bool `json:"behind"`
	operator.TableStatus
	// Error is why the node could not be queried, or empty.
	Error string `json:"error,omitempty"`
}

// versions shows the version of the table of routes on each node, those that are behind first.
func (t *tool) versions(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl versions -node ADDRESS")}
	}
	nodes, addrs, err := t.nodes(ctx)
	if err != nil {
		return err
	}
	list := readAll(ctx, addrs, readTable)
	var latest uint64
	for _, n := range list {
		latest = max(latest, n.Version, n.Announced)
	}
	for i := range list {
		list[i].Node = nodes[i].Node
		list[i].Zone = nodes[i].Zone
		list[i].Behind = list[i].Error == "" && list[i].Version < latest
	}
	slices.SortFunc(list, func(a, b nodeTable) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	if t.output == "json" {
		return json.NewEncoder(t.out).Encode(list)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tVERSION\tIN FORCE SINCE\tBEHIND\tANNOUNCED\tANNOUNCED AT\tMISSING CHUNKS")
	for _, n := range list {
		fmt.Fprintln(w, n.row())
	}
	return w.Flush()
}

// readTable reads the state of the table of the node at an operator address.
func readTable(ctx context.Context, addr string) (n nodeTable) {
	data, err := callNode(ctx, addr, http.MethodGet, "/v1/table")
	if err == nil {
		err = json.Unmarshal(data, &n.TableStatus)
	}
	if err != nil {
		n.Error = err.Error()
	}
	return n
}

// row formats n as a row of the table.
func (n nodeTable) row() string {
	if n.Error != "" {
		return fmt.Sprintf("%s\t%s\t-\t-\t-\t-\t-\t%s", n.Node, n.Zone, n.Error)
	}
	behind, announced, at, missing := "no", "-", "-", "-"
	if n.Behind {
		behind = "yes"
	}
	if n.Announced > 0 {
		announced = fmt.Sprint(n.Announced)
		at = n.AnnouncedAt.Format(time.RFC3339)
	}
	if n.Chunks > 0 {
		missing = fmt.Sprintf("%d of %d", n.Missing, n.Chunks)
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s", n.Node, n.Zone, n.Version, n.Since.Format(time.RFC3339), behind, announced, at, missing)
}
