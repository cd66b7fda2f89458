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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

var testNames = upstream.FieldNames{
	RequestID:        "Test-Id",
	Timeout:          "Test-Timeout",
	ExpectedInstance: "Test-Expected",
	Instance:         "Test-Instance",
	NotRun:           "Test-Not-Run",
	Signature:        "Test-Signature",
	Load:             "Test-Load",
}

// TestResponseFields checks how the fields of a response decide on the result of a request.
func TestResponseFields(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nmine"
	tests := map[string]struct {
		response string
		want     verdict.Cause
		body     string
		status   int
		reused   bool
	}{
		"whole":                        {response: ok, body: "mine", status: 200, reused: true},
		"late response first":          {response: "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nother" + ok, body: "mine", status: 200},
		"late chunked response first":  {response: "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" + ok, body: "mine", status: 200},
		"late large response first":    {response: "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2000000) + ok, body: "mine", status: 200},
		"late response without an end": {response: "HTTP/1.1 200 OK\r\nTest-Id: 0\r\n\r\n" + ok, want: verdict.ResponseMalformed},
		"duplicate response after":     {response: ok + ok, body: "mine", status: 200},
		"success without signature":    {response: "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 4\r\n\r\nmine", want: verdict.ResponseMalformed},
		"failure without signature":    {response: "HTTP/1.1 500 No\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n", status: 500, reused: true},
		"503, not run":                 {response: "HTTP/1.1 503 No\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", want: verdict.UpstreamRefused},
		"429, not run":                 {response: "HTTP/1.1 429 No\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", want: verdict.UpstreamRefused},
		"503 that may have run":        {response: "HTTP/1.1 503 No\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n", want: verdict.ResponseMalformed},
		"another upstream's address":   {response: "HTTP/1.1 421 No\r\nTest-Instance: x\r\nContent-Length: 0\r\n\r\n", want: verdict.WrongUpstream},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			connections := make(chan int, 4)
			addr := serveConns(t, func(n int, c net.Conn) {
				connections <- n
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, test.response)
				}
			})
			transport := &upstream.Transport{Addr: addr, MaxIdleConns: 1, Names: testNames}
			response, failed := transport.Send(request(context.Background(), "GET", "", "Test-Id", "1"), nil)
			if test.want != "" {
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, failed.Cause, qt.Equals, test.want)
				return
			}
			qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			qt.Check(t, response.StatusCode, qt.Equals, test.status)
			body, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, test.body)
			time.Sleep(5 * time.Millisecond)
			_, _ = transport.Send(request(context.Background(), "GET", "", "Test-Id", "1"), nil)
			qt.Check(t, len(connections) == 1, qt.Equals, test.reused)
		})
	}
}

func TestParseLoad(t *testing.T) {
	tests := map[string]struct {
		text string
		want upstream.Load
		ok   bool
	}{
		"three fields":         {"3,1,8", upstream.Load{Running: 3, Waiting: 1, Slots: 8, Slowdown: 1}, true},
		"with slowdown":        {"3,1,8,400", upstream.Load{Running: 3, Waiting: 1, Slots: 8, Slowdown: 4}, true},
		"additional field":     {"3,1,8,100,7", upstream.Load{Running: 3, Waiting: 1, Slots: 8, Slowdown: 1}, true},
		"too few":              {"3,1", upstream.Load{}, false},
		"negative":             {"-3,1,8", upstream.Load{}, false},
		"zero slowdown":        {"3,1,8,0", upstream.Load{}, false},
		"words":                {"a,b,c", upstream.Load{}, false},
		"not a number":         {"1,2,3,NaN", upstream.Load{}, false},
		"infinite":             {"1,2,3,+Inf", upstream.Load{}, false},
		"implausible slowdown": {"1,2,3,1e300", upstream.Load{}, false},
		"implausible slots":    {"1,2,300000000000", upstream.Load{}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := upstream.ParseLoad(test.text)
			qt.Check(t, err == nil, qt.Equals, test.ok)
			if test.ok {
				qt.Check(t, got, qt.Equals, test.want)
			}
		})
	}
}

// FuzzParseLoad checks that whatever is accepted as a load is within the bounds.
func FuzzParseLoad(f *testing.F) {
	f.Add("3,1,8,400")
	f.Add("1,2,3,NaN")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := upstream.ParseLoad(text)
		if err != nil {
			return
		}
		if l.Running < 0 || l.Waiting < 0 || l.Slots < 0 || !(l.Slowdown > 0 && l.Slowdown < 1e6) {
			t.Fatalf("%q: %+v", text, l)
		}
	})
}
