// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/platform/platformtest"
)

// rateLimitedSystem is a system of five nodes whose route /b/ needs a key. The organisations small
// and big have the keys k-small and k-big.
type rateLimitedSystem struct {
	*testSystem
	sent atomic.Int64
}

func newRateLimitedSystem(t *testing.T, rate, burst float64) *rateLimitedSystem {
	l := &rateLimitedSystem{testSystem: newTestSystem(t)}
	l.limit(1, rate, burst)
	for i := range 5 {
		l.addIn([]string{"y", "z"}[i%2], "b")
	}
	l.awaitServing()
	return l
}

// limit writes a configuration with the rate limit of the organisation small.
func (l *rateLimitedSystem) limit(version int, rate, burst float64) {
	l.store.Put("config", "main", rawJSON(fmt.Sprintf(`{"version":"r%d","services":[{"name":"b","healthPath":"/healthz"}],
 "tenants":[{"name":"small","apiKeys":["k-small"],"ratePerS":%g,"burst":%g},{"name":"big","apiKeys":["k-big"],"ratePerS":10000,"burst":10000}],
 "virtualHosts":[{"host":"h.example","paths":[%s]}]}`, version, rate, burst, route("b", "idempotent", "b"))))
}

// request sends a request with a key to a node.
func (l *rateLimitedSystem) request(key string, n *testNode) (status int, after time.Duration) {
	l.t.Helper()
	id := l.sent.Add(1)
	r, err := http.NewRequest("PUT", "http://"+n.settings.CallerAddress+"/b/x", strings.NewReader(""))
	qt.Assert(l.t, err, qt.IsNil)
	r.Host = "h.example"
	r.Header.Set(platformtest.RequestID, fmt.Sprint("l-", id))
	r.Header.Set(platformtest.Timeout, "900")
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, 0
	}
	_ = response.Body.Close()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// awaitServing waits until each node admits requests.
func (l *rateLimitedSystem) awaitServing() {
	l.t.Helper()
	for _, n := range l.nodes {
		l.eventually("each node serves", func() bool {
			status, _ := l.request("k-big", n)
			return status == 200
		})
	}
}

// organisations returns the organisations that a node reports.
func (l *rateLimitedSystem) organisations(n *testNode) map[string]operator.Organisation {
	r, err := http.Get("http://" + n.settings.OperatorAddress + "/v1/organisations")
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	var list []operator.Organisation
	if json.NewDecoder(r.Body).Decode(&list) != nil {
		return nil
	}
	found := make(map[string]operator.Organisation)
	for _, o := range list {
		found[o.Organisation] = o
	}
	return found
}

// TestRateLimit has an organisation send far more than its rate limit to all nodes at once: it is
// admitted up to the limit, and another one is served meanwhile.
func TestRateLimit(t *testing.T) {
	const rate, burst = 20, 10
	l := newRateLimitedSystem(t, rate, burst)
	l.eventually("the coordinator has had all shares for long enough to report that the limit is reached", func() bool {
		status, _ := l.request("k-small", l.nodes[1])
		return status == 429
	})
	before := l.organisations(l.nodes[0])
	began := time.Now()
	var admitted, refused int
	for time.Since(began) < 3*time.Second {
		for _, n := range l.nodes {
			switch status, after := l.request("k-small", n); status {
			case 200:
				admitted++
			case 429:
				refused++
				qt.Check(t, after > 0, qt.IsTrue)
			default:
				t.Errorf("status %d", status)
			}
		}
		status, _ := l.request("k-big", l.nodes[0])
		qt.Check(t, status, qt.Equals, 200)
	}
	took := time.Since(began).Seconds()
	most := (rate*took+burst)*(1+0.1) + 20
	t.Logf("%d admitted and %d refused in %.1f s", admitted, refused, took)
	qt.Check(t, float64(admitted) <= most, qt.IsTrue, qt.Commentf("%d of at most %.0f", admitted, most))
	qt.Check(t, float64(admitted) >= rate*took*0.8, qt.IsTrue, qt.Commentf("%d", admitted))
	qt.Check(t, refused > admitted, qt.IsTrue)

	reported := l.organisations(l.nodes[0])
	qt.Check(t, reported["small"].RefusedOverLimit > 0, qt.IsTrue)
	qt.Check(t, reported["small"].TotalRate > 0, qt.IsTrue)
	qt.Check(t, reported["small"].Rate, qt.Equals, float64(rate))
	qt.Check(t, reported["big"].RefusedOverLimit, qt.Equals, before["big"].RefusedOverLimit)
}

// TestRateLimitAcrossRestarts restarts all nodes, one after the other and then all at once, during a
// burst of requests to all of them, in the middle of which the limit is lowered.
func TestRateLimitAcrossRestarts(t *testing.T) {
	l := newRateLimitedSystem(t, 40, 40)
	const (
		callers = 4 // at each node
		window  = 5 * time.Second
		// delay is the longest time that a response may take: callers allow 900 ms.
		delay = 900 * time.Millisecond
	)
	var mu sync.Mutex
	var admitted []time.Time
	var lowered time.Time
	began := time.Now()
	call := func(n *testNode, until time.Time) {
		for time.Now().Before(until) {
			if status, _ := l.request("k-small", n); status == 200 {
				mu.Lock()
				admitted = append(admitted, time.Now())
				mu.Unlock()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	burst := func(d time.Duration) {
		until := time.Now().Add(d)
		var all sync.WaitGroup
		for _, n := range l.nodes {
			for range callers {
				all.Go(func() { call(n, until) })
			}
		}
		all.Wait()
	}
	for _, n := range l.nodes {
		n.stop()
		l.run(n)
		burst(time.Second)
	}
	l.limit(2, 10, 10)
	burst(2 * time.Second) // in which all nodes receive the limit
	lowered = time.Now()
	for _, n := range l.nodes {
		n.stop()
	}
	for _, n := range l.nodes {
		l.run(n)
	}
	l.awaitServing()
	burst(2 * time.Second)
	totalSeconds := time.Since(began).Seconds()
	loweredSeconds := time.Since(lowered).Seconds()
	var after int
	for _, at := range admitted {
		if at.After(lowered) {
			after++
		}
	}
	t.Logf("%d admitted in %.1f s, %d in the last %.1f s", len(admitted), totalSeconds, after, loweredSeconds)
	qt.Check(t, float64(len(admitted)) <= (40*totalSeconds+40)*1.1+20, qt.IsTrue)
	qt.Check(t, float64(after) <= (10*loweredSeconds+10)*1.1+20, qt.IsTrue)
	qt.Check(t, after > 0, qt.IsTrue)
	most := (40*(window+delay).Seconds()+40)*1.1 + 20
	for i, from := range admitted {
		n := sort.Search(len(admitted)-i, func(k int) bool { return admitted[i+k].Sub(from) > window })
		qt.Assert(t, float64(n) <= most, qt.IsTrue, qt.Commentf("%d admitted in a window, at most %.0f", n, most))
	}
}
