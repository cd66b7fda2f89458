// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"

	"sassafrasfront.example/verdict"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// explain prints a request's lines from the logs of any number of nodes, ordered by
// time, and a summary of how the request ended.
func (t *tool) explain(_ context.Context, args []string) error {
	if len(args) < 2 {
		return exitError{exitUsage, errors.New("usage: sassafrasctl explain REQUEST-ID FILE [FILE]")}
	}
	id := args[0]
	var lines []logLine
	for _, name := range args[1:] {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		found, err := linesWithID(f, id)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line has the request ID %q: its lines may have been dropped (sassafras_log_lines_left_out_total), or it succeeded and was not sampled", id)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].field("time") < lines[j].field("time") })
	for _, l := range lines {
		fmt.Fprintln(t.out, l.text)
	}
	fmt.Fprintln(t.out, summarize(lines))
	return nil
}

// logLine is a log line and its fields.
type logLine struct {
	text   string
	fields map[string]string
}

func (l logLine) field(key string) string { return l.fields[key] }

// linesWithID returns the lines whose request ID is id.
func linesWithID(r io.Reader, id string) ([]logLine, error) {
	var list []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if !strings.Contains(s.Text(), id) {
			continue
		}
		if l := parseLine(s.Text()); l.field("requestId") == id {
			list = append(list, l)
		}
	}
	return list, s.Err()
}

// parseLine parses key=value pairs, whose values may be quoted. Words that are not
// pairs are skipped.
func parseLine(text string) logLine {
	l := logLine{
		text:   text,
		fields: make(map[string]string),
	}
	rest := text
	for rest != "" {
		rest = strings.TrimLeft(rest, " ")
		word, after, _ := strings.Cut(rest, " ")
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			rest = after
			continue
		}
		if strings.HasPrefix(value, `"`) {
			quoted, err := strconv.QuotedPrefix(rest[len(key)+1:])
			if err != nil {
				return l
			}
			rest = rest[len(key)+1+len(quoted):]
			value, _ = strconv.Unquote(quoted)
		} else {
			rest = after
		}
		l.fields[key] = value
	}
	return l
}

// summarize describes how the request ended, from its last line and the failures
// before it.
func summarize(lines []logLine) string {
	var causes, canaries []string
	end := logLine{}
	for _, l := range lines {
		switch l.field("event") {
		case "request sent":
			if l.field("trial") == "true" {
				canaries = append(canaries, l.field("to"))
			}
		case "request failed":
			cause := l.field("cause") + " at " + l.field("to")
			if reason := l.field("reason"); reason != "" {
				cause += " (" + reason + ")"
			}
			causes = append(causes, cause)
		case "call not answered":
			limit := ""
			if l.field("limit") != "" {
				limit = fmt.Sprintf(", limit %s/s named by the upstream", l.field("limit"))
			}
			causes = append(causes, fmt.Sprintf("%s told by %s (running %s of %s, waiting %s, slowdown %s%s)", l.field("cause"), l.field("node"), l.field("running"), l.field("allowed"), l.field("waiting"), l.field("slowdown"), limit))
		case "request ended":
			end = l
		}
	}
	if end.fields == nil {
		return "summary: no log has the end of the request; failures: " + strings.Join(causes, "; ")
	}
	text := fmt.Sprintf("summary: status %s, verdict %s, cause %s, after %s ms and %s sendings, version %s in force", end.field("status"), end.field("verdict"), end.field("cause"), end.field("tookMs"), end.field("tries"), end.field("version"))
	if by := end.field("by"); by != "" {
		text += fmt.Sprintf("; ended by the %s while the node was %s", by, end.field("phase"))
	}
	if len(canaries) > 0 {
		text += "; sent to a version on trial at " + strings.Join(canaries, ", ")
	}
	if len(causes) > 0 {
		text += "; " + strings.Join(causes, "; ")
	}
	switch cause := verdict.Cause(end.field("cause")); {
	case hints[cause] != "":
		text += "; " + end.field("reason") + ": " + hints[cause]
	case cause == verdict.RateLimited || cause == verdict.LimitUnknown:
		text += "; " + end.field("reason")
	}
	return text
}

// hints explain the causes that end a request before its first attempt.
var hints = map[verdict.Cause]string{
	verdict.Unauthorized: "the caller has to show a key that this version holds; the event 'configuration in force' shows when a version with a new key became active",
	verdict.KeysStale:    "the node had not heard for too long which keys are valid; look for 'keys can't be judged' and 'configuration not read' there",
}
