// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// legalMaxBodyBytes is the limit on bodies in TestLegalRequest: each byte of one is a chunk.
const legalMaxBodyBytes = 256 << 10

// padded returns the head of a request that has exactly the given number of bytes, with a field as long as that
// takes.
func padded(head string, size int) string {
	const name, end = "X-Long: ", "\r\n\r\n"
	return head + name + strings.Repeat("x", size-len(head)-len(name)-len(end)) + end
}

// TestLegalRequest guards against limits that refuse a single request within those of the configuration:
// on its number of fields, its chunks or its pace. Each is sent to a node in calm.
func TestLegalRequest(t *testing.T) {
	get := requestHead("GET", "/b/legal", 1, "")
	post := requestHead("POST", "/b/legal", 1, "")
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	longPath := requestHead("GET", "/b/"+strings.Repeat("p", 15_000), 1, "")
	tests := map[string]struct {
		request []string // sent one after the other, with pauses
		status  int
		body    string // that the upstream receives
	}{
		"200 fields":                  {request: []string{get + shortFields(200) + "\r\n"}, status: 200},
		"300 fields":                  {request: []string{get + shortFields(300) + "\r\n"}, status: 200},
		"1000 fields":                 {request: []string{get + shortFields(1_000) + "\r\n"}, status: 200},
		"3000 fields":                 {request: []string{get + shortFields(3_000) + "\r\n"}, status: 200},
		"3900 fields":                 {request: []string{get + strings.Repeat("a:\r\n", 3_900) + "\r\n"}, status: 200},
		"largest head":                {request: []string{padded(get, crowdMaxHeaderBytes)}, status: 200},
		"largest head of many fields": {request: []string{padded(get+shortFields(2_500), crowdMaxHeaderBytes)}, status: 200},
		"largest head with long path": {request: []string{padded(longPath, crowdMaxHeaderBytes)}, status: 200},
		"head over the limit":         {request: []string{padded(get, 2*crowdMaxHeaderBytes)}, status: http.StatusRequestHeaderFieldsTooLarge},
		"largest head in pieces":      {request: pieces(padded(get, crowdMaxHeaderBytes), 20), status: 200},
		"largest body":                {request: []string{post + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalMaxBodyBytes) + strings.Repeat("x", legalMaxBodyBytes)}, status: 200, body: strings.Repeat("x", legalMaxBodyBytes)},
		"largest body in chunks":      {request: []string{chunked + oneByteChunks(legalMaxBodyBytes) + "0\r\n\r\n"}, status: 200, body: strings.Repeat("x", legalMaxBodyBytes)},
		"body in chunks and pieces":   {request: pieces(chunked+oneByteChunks(1_000)+"0\r\n\r\n", 20), status: 200, body: strings.Repeat("x", 1_000)},
		"200 trailer fields":          {request: []string{chunked + oneByteChunks(3) + "0\r\n" + strings.ReplaceAll(shortFields(200), "\n", "\r\n") + "\r\n"}, status: 200, body: "xxx"},
		"many fields and a body":      {request: []string{post + shortFields(3_000) + "Content-Length: 3\r\n\r\nxxx"}, status: 200, body: "xxx"},
		"expected body":               {request: []string{post + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", "xxx"}, status: 200, body: "xxx"},
		"body over the limit":         {request: []string{post + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalMaxBodyBytes+1)}, status: http.StatusRequestEntityTooLarge},
	}
	s := newCrowdSystem(t, legalMaxBodyBytes, func(r platformtest.Run) string {
		return okResponse(r, r.Body)
	})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const pause = 50 * time.Millisecond
			c, err := net.Dial("tcp", s.entry.caller)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(answerTimeout))
			for i, part := range test.request {
				if i > 0 {
					time.Sleep(pause)
				}
				_, _ = io.WriteString(c, part) // a refusal may come before the end
			}
			reader := bufio.NewReader(c)
			response, err := http.ReadResponse(reader, nil)
			for err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(reader, nil)
			}
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%.300s", body))
			if test.status == http.StatusOK {
				qt.Check(t, string(body), qt.Equals, platformtest.SummariseBody(test.body))
			}
		})
	}
	s.expectBounded("in calm")
}

// pieces returns text in n pieces.
func pieces(text string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, text[len(text)*i/n:len(text)*(i+1)/n])
	}
	return list
}
