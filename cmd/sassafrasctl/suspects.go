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
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"sassafrasfront.example/operator"
)

const (
	// nodeTimeout bounds a call to a node.
	nodeTimeout = 5 * time.Second
	// maxNodeAnswer is the most that is read of its answer, in bytes.
	maxNodeAnswer = 4 << 20
)

// suspects shows the requests that a node suspects of ending upstreams.
func (t *tool) suspects(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl suspects -node ADDRESS")}
	}
	data, err := t.callNode(ctx, http.MethodGet, "/v1/suspects")
	if err != nil {
		return err
	}
	if t.output == "json" {
		_, err := t.out.Write(data)
		return err
	}
	var list []operator.Suspect
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("%s: %w", t.node, err)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PRINT\tSTANDING\tENDS\tSINCE\tUNTIL\tUPSTREAMS")
	for _, s := range list {
		until := "-"
		if s.Until != nil {
			until = s.Until.Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", s.Print, s.Standing, s.Ends, s.Since.Format(time.RFC3339), until, strings.Join(s.Upstreams, " "))
	}
	return w.Flush()
}

// release lets a request run again.
func (t *tool) release(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl release -node ADDRESS PRINT")}
	}
	if _, err := t.callNode(ctx, http.MethodDelete, "/v1/suspects/"+url.PathEscape(args[0])); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s released\n", args[0])
	return nil
}

// callNode makes a call to a node's operator address and returns the answer.
func (t *tool) callNode(ctx context.Context, method, path string) ([]byte, error) {
	if t.node == "" {
		return nil, exitError{exitUsage, errors.New("-node: the operator address of a node is missing")}
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.node+path, nil)
	if err != nil {
		return nil, exitError{exitUsage, fmt.Errorf("-node: %w", err)}
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxNodeAnswer))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", t.node, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %s: %s", t.node, response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
