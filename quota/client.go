// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"maps"
	"slices"
	"time"
)

// Client is the node's side of the protocol. It tracks which coordinator holds the node's
// share, and the granted tokens that are unused. It is not safe for concurrent use.
type Client struct {
	incarnation uint64 // of the process; it grows with each start
	sequence    uint64 // of the last Request
	nodes       int    // among which rate limits are divided, or 0 if not known
	// holder is the coordinator that may hold the node's share, until the time holdsUntil of
	// the node's clock. It is empty if it is known that none does, or if it is not known which.
	holder     string
	holdsUntil time.Duration
	// clockSamples come from the last responses of coordinators. avoidedUntil has the
	// coordinators that did not respond.
	clockSamples map[string]clockSample
	avoidedUntil map[string]time.Duration
	failures     map[string]int     // consecutive ones
	lastSequence map[string]uint64  // of the last Request to each
	coordinator  string             // that is used now
	tokens       map[string][]Token // unused ones, by organisation
}

// clockSample is a reading of a coordinator's clock, from its last response.
type clockSample struct {
	coordinator uint32        // Response.Coordinator
	clock       time.Duration // the reading, when the response was sent
	received    time.Duration // when the response arrived, by the node's clock
}

// Token is the permission to run one request.
type Token struct {
	organisation string
	coordinator  string
	requestedAt  time.Duration // by the node's clock
}

// NewClient returns a Client. The incarnation must be larger than at earlier starts of the
// node. Its share may still be held where the previous process has delegated it.
func NewClient(incarnation uint64, now time.Duration) *Client {
	return &Client{
		incarnation:  incarnation,
		holdsUntil:   now + LeaseDuration,
		clockSamples: make(map[string]clockSample),
		avoidedUntil: make(map[string]time.Duration),
		failures:     make(map[string]int),
		lastSequence: make(map[string]uint64),
		tokens:       make(map[string][]Token),
	}
}

// SetNodes sets the number of nodes among which rate limits are divided. Zero means that it
// isn't known: the share isn't delegated then.
func (c *Client) SetNodes(n int) { c.nodes = n }

// PreviousHolder returns the coordinator that holds the node's share and has to release it
// because another one is used now, or "" if there is none or if it does not respond.
func (c *Client) PreviousHolder(now time.Duration) string {
	if now >= c.holdsUntil || c.holder == c.coordinator || c.avoids(c.holder, now) {
		return ""
	}
	return c.holder
}

// NextRequest returns the next Request to a coordinator. It delegates the node's share to the
// coordinator unless another one may hold it, and returns unused tokens of that coordinator.
func (c *Client) NextRequest(coordinator string, wanted []TokenCount, now time.Duration) *Request {
	r := c.newRequest(coordinator, now)
	r.Wanted = wanted
	r.Returned = c.takeUnused(coordinator, now)
	switch {
	case c.failures[coordinator] > 0:
		r.Nodes = Unchanged // don't extend the lease of a coordinator that does not respond
	case r.Coordinator != 0 && c.nodes > 0 && (now >= c.holdsUntil || c.holder == coordinator):
		r.Nodes = c.nodes
		c.holder = coordinator
		c.holdsUntil = now + LeaseDuration
	}
	return r
}

// NextRenewal returns the time until the next Request is needed even if no token is wanted.
func (c *Client) NextRenewal(now time.Duration) time.Duration {
	switch {
	case c.nodes == 0:
		return RenewInterval
	case now >= c.holdsUntil:
		return 0
	case c.holder == c.coordinator:
		return max(0, c.holdsUntil-LeaseDuration+RenewInterval-now)
	default:
		return min(RenewInterval, c.holdsUntil-now)
	}
}

// ProbeRequest returns a Request that tests whether a coordinator responds. It withdraws the
// share if the coordinator holds it.
func (c *Client) ProbeRequest(coordinator string, now time.Duration) *Request {
	return c.newRequest(coordinator, now)
}

// newRequest returns a Request that refers to the coordinator's last Response, if that is
// recent enough to be useful.
func (c *Client) newRequest(coordinator string, now time.Duration) *Request {
	c.sequence++
	c.lastSequence[coordinator] = c.sequence
	sample := c.clockSamples[coordinator]
	r := &Request{
		Incarnation: c.incarnation,
		Sequence:    c.sequence,
	}
	if sample.coordinator != 0 && now-sample.received < stateRetention {
		r.Coordinator = sample.coordinator
		r.Clock = sample.clock
		r.Elapsed = now - sample.received
	}
	return r
}

// takeUnused removes and returns the tokens of a coordinator that can still be returned to it,
// and drops expired tokens.
func (c *Client) takeUnused(coordinator string, now time.Duration) []TokenCount {
	var list []TokenCount
	for _, name := range slices.Sorted(maps.Keys(c.tokens)) {
		var kept []Token
		var returned int
		for _, t := range c.tokens[name] {
			switch {
			case t.coordinator == coordinator && now-t.requestedAt < TokenLifetime/2:
				returned++
			case now-t.requestedAt < TokenLifetime:
				kept = append(kept, t)
			}
		}
		if returned > 0 {
			list = append(list, TokenCount{
				Organisation: name,
				Tokens:       returned,
			})
		}
		if len(kept) == 0 {
			delete(c.tokens, name)
		} else {
			c.tokens[name] = kept
		}
	}
	return list
}

// HandleResponse handles the Response to a Request that was sent at the given time.
func (c *Client) HandleResponse(coordinator string, r *Request, response *Response, sent, now time.Duration) {
	delete(c.failures, coordinator)
	delete(c.avoidedUntil, coordinator)
	c.clockSamples[coordinator] = clockSample{
		coordinator: response.Coordinator,
		clock:       response.Clock,
		received:    now,
	}
	if r.Nodes == 0 && r.Sequence == c.lastSequence[coordinator] && c.holder == coordinator {
		c.holder = ""
		c.holdsUntil = now // the coordinator has confirmed it
	}
	for _, g := range response.Grants {
		for range min(g.Tokens, maxCount) {
			c.addToken(Token{
				organisation: g.Organisation,
				coordinator:  coordinator,
				requestedAt:  sent,
			})
		}
	}
}

const (
	// avoidTime is how long a coordinator is avoided that did not respond to maxFailures
	// consecutive requests.
	avoidTime   = 5 * time.Second
	maxFailures = 2
)

// ChooseCoordinator returns the coordinator to use now, given the candidates in order of
// preference. A coordinator that is preferred to the present one replaces it once it has
// responded to a probe. The second result is the coordinator to probe, or "".
func (c *Client) ChooseCoordinator(candidates []string, now time.Duration) (coordinator, probe string) {
	best := candidates[len(candidates)-1]
	for _, candidate := range candidates {
		if !c.avoids(candidate, now) {
			best = candidate
			break
		}
	}
	switch {
	case c.coordinator == best:
	case c.coordinator == "" || c.avoids(c.coordinator, now) || c.responded(best, now):
		c.coordinator = best
	default:
		return c.coordinator, best
	}
	return c.coordinator, ""
}

// avoids returns whether a coordinator is avoided now.
func (c *Client) avoids(coordinator string, now time.Duration) bool {
	return now < c.avoidedUntil[coordinator]
}

// responded returns whether a coordinator has responded recently.
func (c *Client) responded(coordinator string, now time.Duration) bool {
	sample, ok := c.clockSamples[coordinator]
	return ok && now-sample.received < LeaseDuration
}

// RecordFailure records that a coordinator did not respond.
func (c *Client) RecordFailure(coordinator string, now time.Duration) {
	c.failures[coordinator]++
	if c.failures[coordinator] >= maxFailures {
		c.avoidedUntil[coordinator] = now + avoidTime
		delete(c.failures, coordinator)
		delete(c.clockSamples, coordinator)
	}
}

// Retain drops the state of all coordinators but the given ones and those in use.
func (c *Client) Retain(candidates []string) {
	drop := func(coordinator string) bool {
		return coordinator != c.holder && coordinator != c.coordinator && !slices.Contains(candidates, coordinator)
	}
	maps.DeleteFunc(c.clockSamples, func(coordinator string, _ clockSample) bool { return drop(coordinator) })
	maps.DeleteFunc(c.avoidedUntil, func(coordinator string, _ time.Duration) bool { return drop(coordinator) })
	maps.DeleteFunc(c.failures, func(coordinator string, _ int) bool { return drop(coordinator) })
	maps.DeleteFunc(c.lastSequence, func(coordinator string, _ uint64) bool { return drop(coordinator) })
}

// addToken keeps a token until it is taken.
func (c *Client) addToken(t Token) { c.tokens[t.organisation] = append(c.tokens[t.organisation], t) }

// Take takes a token, if there is one that may be used.
func (c *Client) Take(organisation string, now time.Duration) (Token, bool) {
	list := c.tokens[organisation]
	for len(list) > 0 && now-list[0].requestedAt >= TokenLifetime {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(c.tokens, organisation)
		return Token{}, false
	}
	c.tokens[organisation] = list[1:]
	return list[0], true
}

// ReturnToken takes back the token of a request that is known not to have run. It can be used
// again only during its lifetime, as later it could exceed the limit of a window.
func (c *Client) ReturnToken(t Token, now time.Duration) {
	if now-t.requestedAt < TokenLifetime && t.organisation != "" {
		c.addToken(t)
	}
}
