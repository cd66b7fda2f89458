// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file. Times are in seconds since its start.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// newRecord creates the file.
func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{
		began:  time.Now(),
		file:   f,
		writer: bufio.NewWriter(f),
	}, nil
}

// printf writes a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.writer, format+"\n", args...)
}

// at returns a time as it is written.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// close writes what is buffered.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
