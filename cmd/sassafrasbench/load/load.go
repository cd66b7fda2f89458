// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package load sends requests at a fixed rate, whatever becomes of them, and
// counts their times from the moment at which each should have been sent. It
// checks each answer, and keeps what callers were told.
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

// Plan says what to send.
type Plan struct {
	// Rate is the number of requests per second.
	Rate float64
	// Duration is for how long to send.
	Duration time.Duration
	// Targets returns the URL that a request is sent to.
	Target func(i int) string
	// Host is the host of the service.
	Host string
	// Posts is the share of the requests that are not idempotent.
	PostFraction float64
	// Header is sent with each request.
	Header http.Header
	// Prefix starts the ids of the requests. It is unique to the plan.
	Prefix string
}

// Result is what became of the requests. Times are in microseconds.
type Result struct {
	Sent, Useful, Refused, Failed, Incomplete, WrongBody int
	// FailedIdempotent counts those of Failed and Cut that are idempotent.
	FailedIdempotent int
	// Times are those of useful answers, RefusalTimes those of refusals.
	Times, RefusalTimes *hdrhistogram.Histogram
	// Told is what the caller was told of each request, by id: the verdict, or
	// empty for a cut.
	Verdicts map[string]string
	// Causes counts the failures that callers were told of, by cause.
	Causes map[string]int
	// Posts are the ids of the requests that are not idempotent.
	Posts map[string]bool
}

const (
	maxMicros = int64(60 * time.Second / time.Microsecond)
	// maxConns bounds the idle connections to each node.
	maxConns = 2000
)

// Run sends the requests of the plan and waits for all of them.
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

// outcome is what became of one request.
type outcome struct {
	id, verdict           string
	cause                 string
	post                  bool
	status                int
	took                  time.Duration
	wrongBody, incomplete bool
}

// one sends request i, which should have been sent at the given time.
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
	request.GetBody = nil // nothing is sent twice by the library
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
	o.took = time.Since(sendTime)
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
	micros := min(maxMicros, o.took.Microseconds())
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

// P returns the q-quantile of the times of useful answers, in milliseconds.
func (r *Result) Quantile(q float64) float64 { return float64(r.Times.ValueAtQuantile(100*q)) / 1000 }

// RefusalP returns the q-quantile of the times of refusals, in milliseconds.
func (r *Result) RefusalQuantile(q float64) float64 {
	return float64(r.RefusalTimes.ValueAtQuantile(100*q)) / 1000
}

// Broken counts the broken promises, given the number of runs of each request.
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

// Counter gives each plan a prefix of its own.
var prefixCounter atomic.Int64

// Prefix returns a new prefix.
func Prefix(name string) string { return fmt.Sprintf("%s%d", name, prefixCounter.Add(1)) }
