// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
)

// resetConn is a connection on which the upstream sends a part of a response without a length and
// then a reset, while the request is being written. The write gets the reset and the read that
// follows it an end, as in Linux, where a socket reports an error to one call only.
type resetConn struct {
	net.Conn
	response io.Reader
	written  chan struct{} // closed once a write has got the reset
	once     sync.Once
	readyAt  int // bytes of the request after which the reset comes
	mu       sync.Mutex
	bytes    int
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err == io.EOF {
		<-c.written
	}
	return n, err
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes += len(p); c.bytes < c.readyAt {
		return len(p), nil
	}
	defer c.once.Do(func() { close(c.written) })
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (c *resetConn) Close() error                     { return nil }
func (c *resetConn) SetDeadline(time.Time) error      { return nil }
func (c *resetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }

// TestResetWhileUploading guards against a part of a response that is passed on as a whole one: the
// upstream resets the connection while the request is being written, and the response has no length.
func TestResetWhileUploading(t *testing.T) {
	const partBytes = 3000
	const head = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\n\r\n"
	upload := strings.Repeat("x", 4<<20)
	t.Run("told to the write", func(t *testing.T) {
		conn := &resetConn{
			response: strings.NewReader(head + strings.Repeat("y", partBytes)),
			written:  make(chan struct{}),
			readyAt:  len(upload) / 2,
		}
		transport := &upstream.Transport{
			Names: testNames,
			Dial:  func(context.Context, string) (net.Conn, error) { return conn, nil },
		}
		r, failed := transport.Send(request(t.Context(), http.MethodPost, upload, "Test-Id", "1"), nil)
		qt.Assert(t, failed == nil, qt.IsTrue)
		body, err := io.ReadAll(r.Body)
		qt.Check(t, isTruncated(err), qt.IsTrue, qt.Commentf("%d bytes, %v", len(body), err))
	})
	t.Run("over TCP", func(t *testing.T) {
		const rounds = 200
		addr := serveConns(t, func(n int, c net.Conn) {
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, head+strings.Repeat("y", partBytes))
			_, _ = io.CopyN(io.Discard, r, int64(n%7)*10_000)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		whole := 0
		for range rounds {
			transport := &upstream.Transport{
				Addr:  addr,
				Names: testNames,
			}
			r, failed := transport.Send(request(t.Context(), http.MethodPost, upload, "Test-Id", "1"), nil)
			if failed != nil {
				continue
			}
			if _, err := io.ReadAll(r.Body); err == nil {
				whole++
			}
		}
		qt.Check(t, whole, qt.Equals, 0, qt.Commentf("of %d responses that were reset", rounds))
	})
}

// TestEarlyEndWhileUploading checks that a whole response without a length, to an upload that the
// upstream does not read to its end, is passed on: the end of the connection is orderly.
func TestEarlyEndWhileUploading(t *testing.T) {
	addr := serveConns(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\n\r\nmine")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	})
	for range 50 {
		transport := &upstream.Transport{
			Addr:  addr,
			Names: testNames,
		}
		r, failed := transport.Send(request(t.Context(), http.MethodPost, strings.Repeat("x", 4<<20), "Test-Id", "1"), nil)
		qt.Assert(t, failed == nil, qt.IsTrue)
		body, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "mine")
	}
}
