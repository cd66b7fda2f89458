// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
)

const (
	// maxEndlessBytes is the number of bytes that an upstream which sends without end may send until its
	// connection is closed: both sockets' buffers are full by then.
	maxEndlessBytes = 16 << 20
	// endlessTimeout bounds the time until then.
	endlessTimeout = 10 * time.Second
)

// sendEndless writes a prefix and then the repeated bytes until the connection is closed, with a pause
// between two writes, and returns how many it has written.
func sendEndless(c net.Conn, prefix, repeated string, pause time.Duration) (written int64, err error) {
	n, err := io.WriteString(c, prefix)
	written = int64(n)
	for err == nil {
		time.Sleep(pause)
		n, err = io.WriteString(c, repeated)
		written += int64(n)
	}
	return written, err
}

// endlessOutcome is how the writing of bytes without end has ended.
type endlessOutcome struct {
	written int64
	err     error
}

// serveEndless serves one response to each request, without end, and returns the address and the outcomes.
func serveEndless(t *testing.T, prefix, repeated string, pause time.Duration) (addr string, outcomes chan endlessOutcome) {
	outcomes = make(chan endlessOutcome, 16)
	addr = serveConns(t, func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(endlessTimeout))
		var o endlessOutcome
		o.written, o.err = sendEndless(c, prefix, repeated, pause)
		outcomes <- o
	})
	return addr, outcomes
}

// checkClosed checks that the upstream has found its connection closed.
func checkClosed(t *testing.T, outcomes chan endlessOutcome) {
	t.Helper()
	var o endlessOutcome
	select {
	case o = <-outcomes:
	case <-time.After(2 * endlessTimeout):
		t.Fatal("there was no further connection")
	}
	qt.Check(t, o.written <= maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", o.written))
	var timeout net.Error
	qt.Check(t, errors.As(o.err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("the connection is still open after %d bytes: %v", o.written, o.err))
}

// TestHealthBytesWithoutEnd guards against a process that runs out of memory, and against health checks that
// read what is left of an earlier response, as an upstream sends bytes without end that are no response.
func TestHealthBytesWithoutEnd(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nTest-Instance: i\r\nContent-Length: 2\r\n\r\n{}"
	many := strings.Repeat("x", 4<<10)
	tests := map[string]struct {
		prefix, repeated string
		pause            time.Duration
		healthy          bool
	}{
		"before the head":          {repeated: many},
		"in a field":               {prefix: "HTTP/1.1 200 OK\r\nX: ", repeated: many},
		"fields":                   {prefix: "HTTP/1.1 200 OK\r\n", repeated: strings.Repeat("X: x\r\n", 1<<9)},
		"in the size of a chunk":   {prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: strings.Repeat("0", 4<<10)},
		"a body":                   {prefix: "HTTP/1.1 200 OK\r\nTest-Instance: i\r\n\r\n", repeated: many, healthy: true},
		"after the response":       {prefix: whole, repeated: many, healthy: true},
		"a response nobody waited": {prefix: whole, repeated: strings.ReplaceAll(whole, "i\r\n", "j\r\n"), pause: 5 * time.Millisecond, healthy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, outcomes := serveEndless(t, test.prefix, test.repeated, test.pause)
			var seen []string
			poller := &upstream.Poller{
				Names:          testNames,
				Timeout:        time.Second,
				LoadReported:   func(upstream.Load) {},
				NoticeReceived: func(start string, _ upstream.Notice) { seen = append(seen, start) },
			}
			defer poller.Close()
			for range 3 {
				poller.Poll(t.Context(), addr, "/healthz")
				time.Sleep(20 * time.Millisecond)
			}
			poller.Close()
			want := []string(nil)
			if test.healthy {
				want = []string{"i", "i", "i"}
			}
			qt.Check(t, seen, qt.DeepEquals, want)
			for range 3 {
				checkClosed(t, outcomes)
			}
		})
	}
}
