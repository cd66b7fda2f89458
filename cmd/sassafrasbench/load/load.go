// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package load is an open-loop load generator: it sends requests at a fixed rate, however long
// responses take, and measures latencies from the time at which each request should have been
// sent. It checks each response and records its verdict.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasfront.example/internal/backend"
)

// Plan specifies the requests to send.
type Plan struct {
	// Rate is the number of requests per second.
	Rate float64
	// Duration is the time over which requests are sent.
	Duration time.Duration
	// Target returns the URL that the i-th request is sent to.
	Target func(i int) string
	// Host is the host of the service.
	Host string
	// PostFraction is the fraction of the requests that are POSTs, which are not idempotent.
	PostFraction float64
	// Header holds header fields that are sent with each request.
	Header http.Header
	// Prefix is the prefix of the request IDs. It is unique to the plan.
	Prefix string
}

// Result holds the outcomes of the requests. A useful response has status 200 and the expected
// body. Times are in microseconds.
type Result struct {
	Sent, Useful, Refused, Failed, Incomplete, WrongBody int
	// FailedIdempotent counts the idempotent requests among Failed and Incomplete.
	FailedIdempotent int
	// Times are the latencies of useful responses, RefusalTimes those of refusals.
	Times, RefusalTimes *hdrhistogram.Histogram
	// Verdicts are the verdicts in the responses, by request ID. They are empty for
	// requests without a response.
	Verdicts map[string]string
	// Causes counts the failed requests by the cause in their responses.
	Causes map[string]int
	// Posts are the IDs of the requests that are not idempotent.
	Posts map[string]bool
}

const (
	maxMicros = int64(60 * time.Second / time.Microsecond)
	// maxConns bounds the number of idle connections to each node.
	maxConns = 2000
)

// Run sends the requests of the plan and waits for their responses.
func Run(ctx context.Context, p Plan) *Result {
	r := &Result{
		Times:        hdrhistogram.New(1, maxMicros, 3),
		RefusalTimes: hdrhistogram.New(1, maxMicros, 3),
		Verdicts:     make(map[string]string),
		Causes:       make(map[string]int),
		Posts:        make(map[string]bool),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxConns}
	defer transport.CloseIdleConnections()
	var mu sync.Mutex
	var all sync.WaitGroup
	start := time.Now()
	total := int(p.Rate * p.Duration.Seconds())
	for i := 0; i < total && ctx.Err() == nil; i++ {
		sendTime := start.Add(time.Duration(float64(i) / p.Rate * float64(time.Second)))
		if d := time.Until(sendTime); d > 0 {
			time.Sleep(d)
		}
		all.Go(func() {
			o := p.send(ctx, transport, i, sendTime)
			mu.Lock()
			defer mu.Unlock()
			r.add(o)
		})
	}
	all.Wait()
	return r
}

// outcome is the outcome of a request.
type outcome struct {
	id, verdict           string
	cause                 string
	post                  bool
	status                int
	duration              time.Duration
	wrongBody, incomplete bool
}

// send sends request i, whose latency is measured from the given time.
func (p *Plan) send(ctx context.Context, transport http.RoundTripper, i int, sendTime time.Time) outcome {
	o := outcome{
		id:   fmt.Sprintf("%s-%d", p.Prefix, i),
		post: float64(i%100) < 100*p.PostFraction,
	}
	method := http.MethodGet
	var body io.Reader
	if o.post {
		method = http.MethodPost
		body = strings.NewReader("intention")
	}
	request, err := http.NewRequestWithContext(ctx, method, p.Target(i), body)
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // prevents retries by the transport
	request.Host = p.Host
	for k, v := range p.Header {
		request.Header[k] = v
	}
	request.Header.Set(backend.IDHeader, o.id)
	response, err := transport.RoundTrip(request)
	if err != nil {
		o.incomplete = true
		return o
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	o.duration = time.Since(sendTime)
	o.status = response.StatusCode
	o.verdict = response.Header.Get("Sassafras-Verdict")
	o.incomplete = err != nil
	var problem struct {
		Cause string `json:"cause"`
	}
	if o.status >= 400 && json.Unmarshal(data, &problem) == nil {
		o.cause = problem.Cause
	}
	o.wrongBody = err == nil && o.status == http.StatusOK && !strings.HasPrefix(string(data), o.id+" ")
	return o
}

func (r *Result) add(o outcome) {
	r.Sent++
	r.Verdicts[o.id] = o.verdict
	if o.post {
		r.Posts[o.id] = true
	}
	if o.cause != "" {
		r.Causes[o.cause]++
	}
	micros := min(maxMicros, o.duration.Microseconds())
	switch {
	case o.incomplete:
		r.Incomplete++
	case o.wrongBody:
		r.WrongBody++
	case o.status == http.StatusOK:
		r.Useful++
		_ = r.Times.RecordValue(micros)
	case o.verdict == "notRun":
		r.Refused++
		_ = r.RefusalTimes.RecordValue(micros)
	default:
		r.Failed++
	}
	if !o.post && o.status != http.StatusOK && o.verdict != "notRun" {
		r.FailedIdempotent++
	}
}

// Quantile returns the q-quantile of the latencies of useful responses, in milliseconds.
func (r *Result) Quantile(q float64) float64 { return float64(r.Times.ValueAtQuantile(100*q)) / 1000 }

// RefusalQuantile returns the q-quantile of the latencies of refusals, in milliseconds.
func (r *Result) RefusalQuantile(q float64) float64 {
	return float64(r.RefusalTimes.ValueAtQuantile(100*q)) / 1000
}

// CountViolations counts the violated guarantees, given the number of runs of each request.
func (r *Result) CountViolations(runs map[string]int) (doubleRuns, falseNotRun int) {
	for id, verdict := range r.Verdicts {
		if r.Posts[id] && runs[id] > 1 {
			doubleRuns++
		}
		if verdict == "notRun" && runs[id] > 0 {
			falseNotRun++
		}
	}
	return doubleRuns, falseNotRun
}

// prefixCounter numbers the prefixes.
var prefixCounter atomic.Int64

// Prefix returns a new unique prefix that begins with name.
func Prefix(name string) string { return fmt.Sprintf("%s%d", name, prefixCounter.Add(1)) }
