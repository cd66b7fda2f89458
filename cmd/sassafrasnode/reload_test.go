// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/node"
)

// lockedBuffer is a log buffer that can be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.String(), text)
}

// TestReload changes the settings file to valid and to invalid settings, and sends SIGHUP, which
// must not terminate the process.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	write := func(ratio string, at time.Time) {
		text := "node: a\nregion: r\nzone: z\nplatformURL: http://127.0.0.1:1\nretryRatio: " + ratio + "\n"
		qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		qt.Assert(t, os.Chtimes(file, at, at), qt.IsNil)
	}
	at := time.Now().Add(-time.Hour)
	write("0.1", at)
	args := []string{"-config", file}
	s, err := readSettings(args)
	qt.Assert(t, err, qt.IsNil)
	log := new(lockedBuffer)
	n := &node.Node{Settings: *s, Log: zerolog.New(log)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reload(ctx, n, args)
	eventually := func(text string) {
		t.Helper()
		for range 1000 {
			if log.contains(text) {
				return
			}
			_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("never logged: %s", text)
	}
	time.Sleep(50 * time.Millisecond) // until the signal handler is installed
	write("0.3", at)
	eventually("RetryRatio")
	write("many", at)
	eventually("changed settings refused")
}

// TestHangupWhileStopping sends SIGHUP after the node has begun to stop. The signal terminated
// the process, here that of the test, if its handler was removed too early.
func TestHangupWhileStopping(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n := &node.Node{Log: zerolog.Nop()}
	go func() {
		reload(ctx, n, nil)
		close(done)
	}()
	time.Sleep(50 * time.Millisecond) // until the signal handler is installed
	cancel()
	<-done
	for range 3 {
		qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	}
	time.Sleep(50 * time.Millisecond)
}
