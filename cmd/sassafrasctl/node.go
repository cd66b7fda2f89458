// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"sassafrasfront.example/operator"
)

const (
	// nodeTimeout bounds the time of a call to a node.
	nodeTimeout = 5 * time.Second
	// maxConcurrentReads is the number of nodes that are called concurrently.
	maxConcurrentReads = 32
	// maxNodeResponseBytes bounds the part of a node's response that is read.
	maxNodeResponseBytes = 4 << 20
)

// showNodeList shows a list served by a node, either unchanged as JSON or as a table with a row
// for each element.
func showNodeList[T any](ctx context.Context, t *tool, path, header string, row func(T) string) error {
	data, err := t.callNode(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	if t.output == "json" {
		_, err := t.out.Write(data)
		return err
	}
	var list []T
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("%s: %w", t.node, err)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, x := range list {
		fmt.Fprintln(w, row(x))
	}
	return w.Flush()
}

// callNode calls the node given by -node and returns the body of its response.
func (t *tool) callNode(ctx context.Context, method, path string) ([]byte, error) {
	if t.node == "" {
		return nil, exitError{exitUsage, errors.New("-node: the operator address of a node is missing")}
	}
	return callNode(ctx, t.node, method, path)
}

// callNode calls a node's operator address and returns the body of its response.
func callNode(ctx context.Context, node, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, nil)
	if err != nil {
		return nil, exitError{exitUsage, fmt.Errorf("-node: %w", err)}
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxNodeResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", node, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %s: %s", node, response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}

// nodes returns the nodes that the node given by -node knows, and their operator addresses, which have the same port.
// An address is empty if the node's own is not valid.
func (t *tool) nodes(ctx context.Context) (nodes []operator.NodeAddress, addrs []string, err error) {
	data, err := t.callNode(ctx, http.MethodGet, "/v1/nodes")
	if err != nil {
		return nil, nil, err
	}
	if err := json.Unmarshal(data, &nodes); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", t.node, err)
	}
	_, port, err := net.SplitHostPort(t.node)
	if err != nil {
		return nil, nil, exitError{exitUsage, fmt.Errorf("-node: %w", err)}
	}
	for _, n := range nodes {
		host, _, err := net.SplitHostPort(n.Address)
		if err != nil {
			addrs = append(addrs, "")
			continue
		}
		addrs = append(addrs, net.JoinHostPort(host, port))
	}
	return nodes, addrs, nil
}

// readAll calls f with each of the addresses, some of them concurrently, and returns the results in their order.
func readAll[T any](ctx context.Context, addrs []string, f func(ctx context.Context, addr string) T) []T {
	list := make([]T, len(addrs))
	indexes := make(chan int)
	var all sync.WaitGroup
	for range maxConcurrentReads {
		all.Go(func() {
			for i := range indexes {
				list[i] = f(ctx, addrs[i])
			}
		})
	}
	for i := range addrs {
		indexes <- i
	}
	close(indexes)
	all.Wait()
	return list
}
