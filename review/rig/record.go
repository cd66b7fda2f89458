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

// record is the record of a run: what was sent, answered and run, in the order of time.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord creates the file of a record.
func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(),
		file:  f,
		out:   bufio.NewWriter(f),
	}, nil
}

// add adds a line with the present time.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// result adds a line and prints it.
func (r *record) result(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// at returns a time as the seconds of the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// close writes what is buffered and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
