// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"sassafrasfront.example/platform/platformtest"
)

// requestHead returns the head of a request without its last line end. Extra lines end with one.
func requestHead(method, path string, i int, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: crowd-%d\r\n%s: 5000\r\n%s",
		method, path, crowdHost, platformtest.RequestID, i, platformtest.Timeout, extra)
}

// shortFields returns n fields with different names of three bytes and no value.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := range n {
		b.WriteByte(letters[i/26/26%26])
		b.WriteByte(letters[i/26%26])
		b.WriteByte(letters[i%26])
		b.WriteString(":\n")
	}
	return b.String()
}

// sendText returns a function that sends the text that f returns.
func sendText(f func(i int) string) func(int, net.Conn) error {
	return func(i int, c net.Conn) error {
		_, err := io.WriteString(c, f(i))
		return err
	}
}

// shortOfEnd returns a function that sends a request with a body of the given number of bytes that lacks
// its last one.
func shortOfEnd(method, path string, bodyBytes int) func(int, net.Conn) error {
	body := strings.Repeat("x", bodyBytes-1)
	return func(i int, c net.Conn) error {
		_, err := io.WriteString(c, requestHead(method, path, i, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)))
		if err == nil {
			_, err = io.WriteString(c, body)
		}
		return err
	}
}

// oneByteChunks returns n chunks of one byte, without the last chunk.
func oneByteChunks(n int) string { return strings.Repeat("1\r\nx\r\n", n) }

// http2Frame returns a frame of RFC 9113, section 4.1.
func http2Frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	b = append(b, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// http2Streams returns an HTTP/2 connection's bytes up to the heads of n requests with the given
// number of short fields each, whose bodies do not end.
func http2Streams(n, fields int, path string) []byte {
	const (
		headers, settings, continuation = 1, 4, 9
		endHeaders                      = 4
		maxFrameBytes                   = 16 << 10
	)
	var block bytes.Buffer
	literal := func(name, value string) { // RFC 7541, section 6.2.2
		block.WriteByte(0)
		for _, s := range []string{name, value} {
			block.WriteByte(byte(len(s)))
			block.WriteString(s)
		}
	}
	block.Write([]byte{0x83, 0x86}) // :method POST, :scheme http
	literal(":path", path)
	literal(":authority", crowdHost)
	literal(strings.ToLower(platformtest.RequestID), "crowd")
	for line := range strings.Lines(shortFields(fields)) {
		literal(line[:3], "")
	}
	var b bytes.Buffer
	b.WriteString("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	b.Write(http2Frame(settings, 0, 0, nil))
	for i := range n {
		kind := byte(headers)
		for rest := block.Bytes(); len(rest) > 0; kind = continuation {
			part := rest[:min(len(rest), maxFrameBytes)]
			rest = rest[len(part):]
			var flags byte
			if len(rest) == 0 {
				flags = endHeaders
			}
			b.Write(http2Frame(kind, flags, uint32(2*i+1), part))
		}
	}
	return b.Bytes()
}

// drip sends the text that f returns in pieces that arrive one by one.
func drip(pieces int, f func(i int) string) func(int, net.Conn) error {
	return func(i int, c net.Conn) error {
		text := f(i)
		for n := range pieces {
			if _, err := io.WriteString(c, text[len(text)*n/pieces:len(text)*(n+1)/pieces]); err != nil {
				return err
			}
		}
		return nil
	}
}

// okResponse returns an upstream's response to a request that it has run.
func okResponse(r platformtest.Run, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		platformtest.RequestID, r.ID, platformtest.Signature, platformtest.Sign(r.Upstream, r.ID), len(body), body)
}

// TestCrowd guards against clients that end or occupy a node: each crowd sends what a node must
// bound to one node of two, and stays connected. Both must live within their memory and descriptors, and
// serve ordinary requests, while the crowd is connected and after it has left.
func TestCrowd(t *testing.T) {
	const (
		route   = "/b/crowd"
		noRoute = "/nowhere"
		large   = "/b/large" // has a large response
	)
	largeBody := strings.Repeat("y", 4<<20)
	crowds := map[string]crowd{
		"half heads": {address: atCaller, clients: 500, send: sendText(func(i int) string {
			return requestHead("GET", route, i, "X-Long: ") + strings.Repeat("x", 250_000)
		})},
		"half heads of short fields": {address: atCaller, clients: 500, send: sendText(func(i int) string {
			return requestHead("GET", route, i, shortFields(40_000))
		})},
		"half heads that return": {address: atCaller, clients: 500, returns: true, send: sendText(func(i int) string {
			return requestHead("GET", route, i, "X-Long: ") + strings.Repeat("x", 250_000)
		})},
		"heads in small pieces": {address: atCaller, clients: 400, send: drip(100, func(i int) string {
			return requestHead("GET", route, i, shortFields(2_000))
		})},
		"short fields without a route": {address: atCaller, clients: 400, send: sendText(func(i int) string {
			return requestHead("POST", noRoute, i, strings.Repeat("a:\n", 60_000)+"Content-Length: 5\r\n\r\nx")
		})},
		"legal short fields without a route": {address: atCaller, clients: 650, send: sendText(func(i int) string {
			return requestHead("POST", noRoute, i, shortFields(3_000)+"Content-Length: 5\r\n\r\nx")
		})},
		"legal short fields": {address: atCaller, clients: 650, send: sendText(func(i int) string {
			return requestHead("POST", route, i, shortFields(3_000)+"Content-Length: 5\r\n\r\nx")
		})},
		"fewer short fields": {address: atCaller, clients: 650, send: sendText(func(i int) string {
			return requestHead("POST", route, i, shortFields(230)+"Content-Length: 5\r\n\r\nx")
		})},
		"short fields sent ahead": {address: atCaller, clients: 300, returns: true, send: sendText(func(i int) string {
			return strings.Repeat(requestHead("GET", route, i, shortFields(3_000)+"\r\n"), 20)
		})},
		"requests sent ahead": {address: atCaller, clients: 100, returns: true, send: sendText(func(i int) string {
			return strings.Repeat(requestHead("GET", route, i, "\r\n"), 5_000)
		})},
		"requests without a route sent ahead": {address: atCaller, clients: 100, returns: true, send: sendText(func(i int) string {
			return strings.Repeat(requestHead("GET", noRoute, i, "\r\n"), 5_000)
		})},
		"inline bodies":                      {address: atCaller, clients: 650, send: shortOfEnd("POST", route, 8_000)},
		"small bodies":                       {address: atCaller, clients: 650, send: shortOfEnd("POST", route, 16_000)},
		"spooled bodies":                     {address: atCaller, clients: 650, send: shortOfEnd("POST", route, 250_000)},
		"spooled bodies that may not repeat": {address: atCaller, clients: 650, send: shortOfEnd("POST", "/a/crowd", 250_000)},
		"large bodies":                       {address: atCaller, clients: 60, send: shortOfEnd("POST", route, crowdMaxBodyBytes)},
		"bodies without a route":             {address: atCaller, clients: 650, send: shortOfEnd("POST", noRoute, 250_000)},
		"small chunks": {address: atCaller, clients: 300, send: sendText(func(i int) string {
			return requestHead("POST", route, i, "Transfer-Encoding: chunked\r\n\r\n") + oneByteChunks(20_000)
		})},
		"chunks over the limit": {address: atCaller, clients: 40, send: sendText(func(i int) string {
			const chunkBytes = 64 << 10
			chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
			return requestHead("POST", route, i, "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat(chunk, 2*crowdMaxBodyBytes/chunkBytes)
		})},
		"lengths over the limit": {address: atCaller, clients: 60, send: sendText(func(i int) string {
			return requestHead("POST", route, i, fmt.Sprintf("Content-Length: %d\r\n\r\n", 25*crowdMaxBodyBytes)) + strings.Repeat("x", 4<<20)
		})},
		"expectations": {address: atCaller, clients: 650, send: sendText(func(i int) string {
			return requestHead("POST", route, i, shortFields(200)+"Expect: 100-continue\r\nContent-Length: 200000\r\n\r\n")
		})},
		"upgrades": {address: atCaller, clients: 650, send: sendText(func(i int) string {
			return requestHead("POST", route, i, shortFields(200)+"Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 5\r\n\r\nx")
		})},
		"trailers": {address: atCaller, clients: 400, send: sendText(func(i int) string {
			return requestHead("POST", route, i, "Transfer-Encoding: chunked\r\n\r\n") + "1\r\nx\r\n0\r\n" + shortFields(10_000)
		})},
		"idle connections":                {address: atCaller, clients: 1_500, returns: true, send: sendText(func(int) string { return "" })},
		"connections to readyz":           {address: atOperator, clients: 1_500, returns: true, send: sendText(func(int) string { return "" })},
		"connections to the peer address": {address: atPeer, clients: 1_500, returns: true, send: sendText(func(int) string { return "" })},
		"connections to announcements":    {address: atAnnounce, clients: 1_500, returns: true, send: sendText(func(int) string { return "" })},
		"half requests":                   {address: atCaller, clients: 1_500, returns: true, send: sendText(func(int) string { return "GET / HTTP/1.1\r\nHo" })},
		"unread large responses":          {address: atCaller, clients: 400, send: sendText(func(i int) string { return requestHead("GET", large, i, "\r\n") })},
		"HTTP/2 streams":                  {address: atCaller, clients: 60, reads: true, send: sendText(func(int) string { return string(http2Streams(100, 2_000, route)) })},
		"HTTP/2 half heads": {address: atCaller, clients: 500, reads: true, send: sendText(func(int) string {
			all := http2Streams(1, 30_000, route)
			return string(all[:len(all)-100])
		})},
		"half heads at readyz": {address: atOperator, clients: 400, send: sendText(func(int) string {
			return "GET /readyz HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 900_000)
		})},
		"short fields at readyz": {address: atOperator, clients: 400, send: sendText(func(int) string {
			return "POST /readyz HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", 60_000) + "Content-Length: 5\r\n\r\nx"
		})},
		"bodies at readyz": {address: atOperator, clients: 600, send: sendText(func(int) string {
			return "GET /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 200_000)
		})},
		"unread metrics": {address: atOperator, clients: 300, returns: true, send: sendText(func(int) string {
			return strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 300)
		})},
		"half heads at announcements": {address: atAnnounce, clients: 400, send: sendText(func(int) string {
			return "POST " + platformtest.HeartbeatPath + "i HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 900_000)
		})},
		"bodies at announcements": {address: atAnnounce, clients: 600, send: sendText(func(int) string {
			return "POST " + platformtest.HeartbeatPath + "i HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\nx"
		})},
		"half frames": {address: atPeer, clients: 200, send: sendText(func(int) string {
			return "\x00\x1f\xff\xff\x01" + strings.Repeat("x", 1<<20)
		})},
	}
	for name, c := range crowds {
		t.Run(strings.ReplaceAll(name, "/", " "), func(t *testing.T) {
			s := newCrowdSystem(t, crowdMaxBodyBytes, func(r platformtest.Run) string {
				if strings.HasPrefix(r.Path, large) {
					return okResponse(r, largeBody)
				}
				return okResponse(r, "served")
			})
			end := c.start(s.entry)
			s.expectServed("beside the crowd")
			s.expectBounded("beside the crowd")
			end()
			s.expectServed("after the crowd")
			s.expectBounded("after the crowd")
		})
	}
}
