// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// failureKey identifies a kind of failure.
type failureKey struct {
	class, status, cause, verdict string
}

// failureCount counts the failures of one kind.
type failureCount struct {
	key            failureKey
	count          int
	firstID        string         // ID of the first request
	firstTime      time.Time      // when the first request ended
	refusalsByNode map[string]int // number of refused attempts by node
}

// failures prints a service's failed requests between two times, from the logs of any
// number of nodes. They are grouped by class, status, cause and verdict, each group with
// its count, the node that refused most attempts, and the ID of its first request, which
// can be passed to explain.
func (t *tool) failures(_ context.Context, args []string) error {
	if len(args) < 4 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl failures SERVICE FROM TO FILE [FILE]; FROM and TO as in 2026-12-02T10:00:01Z")}
	}
	from, err := time.Parse(time.RFC3339, args[1])
	if err != nil {
		return exitError{exitUsage, fmt.Errorf("FROM: %w", err)}
	}
	to, err := time.Parse(time.RFC3339, args[2])
	if err != nil {
		return exitError{exitUsage, fmt.Errorf("TO: %w", err)}
	}
	c := &failureCounter{
		service: args[0],
		from:    from,
		to:      to,
		counts:  make(map[failureKey]*failureCount),
	}
	for _, name := range args[3:] {
		if err := c.readFile(name); err != nil {
			return err
		}
	}
	c.print(t.out)
	return nil
}

// failureCounter counts failed requests.
type failureCounter struct {
	service      string
	from, to     time.Time
	counts       map[failureKey]*failureCount
	droppedLines int // how often nodes logged that they dropped lines
}

// readFile counts the failures in a node's log.
func (c *failureCounter) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := c.read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// read counts the failures in a log. A request's attempts are logged before its end.
func (c *failureCounter) read(r io.Reader) error {
	refusals := make(map[string][]string) // nodes that refused, by request ID
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		switch {
		case strings.Contains(s.Text(), `event="request failed"`):
			if l := parseLine(s.Text()); l.field("cause") == "refused" {
				refusals[l.field("requestId")] = append(refusals[l.field("requestId")], l.field("to"))
			}
		case strings.Contains(s.Text(), `event="request ended"`):
			l := parseLine(s.Text())
			c.add(l, refusals[l.field("requestId")])
			delete(refusals, l.field("requestId"))
		case strings.Contains(s.Text(), `event="log lines left out"`):
			c.droppedLines++
		}
	}
	return s.Err()
}

// add counts a request if it failed, is of the service and ended within the time range.
func (c *failureCounter) add(l logLine, refused []string) {
	at, err := time.Parse(time.RFC3339, l.field("time"))
	if err != nil || at.Before(c.from) || !at.Before(c.to) || l.field("service") != c.service || l.field("cause") == "" {
		return
	}
	key := failureKey{
		class:   l.field("class"),
		status:  l.field("status"),
		cause:   l.field("cause"),
		verdict: l.field("verdict"),
	}
	n := c.counts[key]
	if n == nil {
		n = &failureCount{
			key:            key,
			refusalsByNode: make(map[string]int),
		}
		c.counts[key] = n
	}
	n.count++
	if n.firstID == "" || at.Before(n.firstTime) {
		n.firstID = l.field("requestId")
		n.firstTime = at
	}
	for _, node := range refused {
		n.refusalsByNode[node]++
	}
}

// print prints the counts in descending order.
func (c *failureCounter) print(out io.Writer) {
	var list []*failureCount
	for _, n := range c.counts {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *failureCount) int {
		return cmp.Or(-cmp.Compare(a.count, b.count), cmp.Compare(a.firstID, b.firstID))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "COUNT\tCLASS\tSTATUS\tCAUSE\tVERDICT\tREFUSED MOST BY\tFIRST REQUEST")
	for _, n := range list {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", n.count, n.key.class, n.key.status, n.key.cause, n.key.verdict, n.topRefuser(), n.firstID)
	}
	_ = w.Flush()
	if c.droppedLines > 0 {
		fmt.Fprintf(out, "the nodes left lines out %d times (event \"log lines left out\"): the counts are incomplete\n", c.droppedLines)
	}
}

// topRefuser returns the node that refused the most attempts, with their number.
func (n *failureCount) topRefuser() string {
	best := ""
	for node, count := range n.refusalsByNode {
		if best == "" || count > n.refusalsByNode[best] || count == n.refusalsByNode[best] && node < best {
			best = node
		}
	}
	if best == "" {
		return "-"
	}
	return fmt.Sprintf("%s (%d)", best, n.refusalsByNode[best])
}
