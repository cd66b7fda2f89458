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

// failureKey is what failed requests are counted by.
type failureKey struct {
	class, status, cause, verdict string
}

// failureCount is what is known of the failed requests of one kind.
type failureCount struct {
	key            failureKey
	count          int
	firstID        string         // the id of the first one, for explain
	firstTime      time.Time      // of the first one
	refusalsByNode map[string]int // by the node whose gate refused a sending
}

// failures prints which requests of a service failed between two times, by class,
// status and cause, from the logs of any number of nodes: how many, the node that
// refused most, and the first one's id for explain.
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
	droppedLines int // lines that the nodes say they have left out
}

// readFile counts the failures of one node's log.
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

// read counts the failures of one log. The steps of a request stand before its end.
func (c *failureCounter) read(r io.Reader) error {
	refusals := make(map[string][]string) // the nodes that refused, by request
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

// add counts a request if it failed and is one of those that were asked for.
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

// print prints the counts, the largest first.
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
		fmt.Fprintf(out, "the nodes have left lines out %d times (see log lines left out): there were more\n", c.droppedLines)
	}
}

// most returns the node that refused most sendings of the requests.
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
