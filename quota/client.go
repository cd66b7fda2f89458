// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"maps"
	"slices"
	"time"
)

// Client is a node's side: it knows where the node's right is, and the tokens that were
// granted and not used. It is not safe for use by several goroutines at once.
type Client struct {
	incarnation uint64 // that of the process, which grows
	sequence    uint64 // of the last Ask
	nodes       int    // that have a right, or 0 if that isn't known
	// holder is the home that may hold the node's right, until then by the node's clock.
	// It is empty if it is known that none does, or if nobody knows which.
	holder     string
	holdsUntil time.Duration
	// echoes are what was heard last of homes, and avoided are those that did not answer,
	// with until when.
	clockSamples map[string]clockSample
	avoidedUntil map[string]time.Duration
	failures     map[string]int     // in a row
	lastSequence map[string]uint64  // the Number of the last Ask to each
	coordinator  string             // that is asked now
	tokens       map[string][]Token // by organisation, that were granted and not used
}

// echo is what was heard last of a home.
type clockSample struct {
	coordinator uint32        // its id, which tells its starts apart
	clock       time.Duration // by the home's clock, as it was sent
	received    time.Duration // by the node's clock
}

// Token is the right to run one request.
type Token struct {
	organisation string
	coordinator  string
	requestedAt  time.Duration // when it was asked for
}

// NewClient returns a Client. Start is larger than at earlier starts of the node. Its right
// may still be where the process before has deposited it.
func NewClient(start uint64, now time.Duration) *Client {
	return &Client{
		incarnation:  start,
		holdsUntil:   now + LeaseDuration,
		clockSamples: make(map[string]clockSample),
		avoidedUntil: make(map[string]time.Duration),
		failures:     make(map[string]int),
		lastSequence: make(map[string]uint64),
		tokens:       make(map[string][]Token),
	}
}

// SetNodes takes in the number of nodes that have a right. Zero means that it isn't known:
// the right isn't deposited then.
func (c *Client) SetNodes(n int) { c.nodes = n }

// Leaves returns the home that holds the node's right and is to give it back, as another
// one is asked now, or "". One that does not answer isn't asked to.
func (c *Client) PreviousHolder(now time.Duration) string {
	if now >= c.holdsUntil || c.holder == c.coordinator || c.avoids(c.holder, now) {
		return ""
	}
	return c.holder
}

// Ask returns the next Ask to a home, which deposits the node's right there unless it may
// be elsewhere, and returns the tokens of that home that are left over.
func (c *Client) NextRequest(coordinator string, wanted []TokenCount, now time.Duration) *Request {
	r := c.newRequest(coordinator, now)
	r.Wanted = wanted
	r.Returned = c.takeUnused(coordinator, now)
	switch {
	case c.failures[coordinator] > 0:
		r.Nodes = Unchanged // a home that does not answer isn't to hold the right for longer
	case r.Coordinator != 0 && c.nodes > 0 && (now >= c.holdsUntil || c.holder == coordinator):
		r.Nodes = c.nodes
		c.holder = coordinator
		c.holdsUntil = now + LeaseDuration
	}
	return r
}

// Due returns the time until the next Ask is due even if no token is wanted.
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

// Probe returns an Ask that finds out whether a home answers. It takes back the right if
// the home holds it.
func (c *Client) ProbeRequest(coordinator string, now time.Duration) *Request {
	return c.newRequest(coordinator, now)
}

// ask returns an Ask that names the home's last Answer, if that is young enough to count.
func (c *Client) newRequest(coordinator string, now time.Duration) *Request {
	c.sequence++
	c.lastSequence[coordinator] = c.sequence
	e := c.clockSamples[coordinator]
	r := &Request{
		Incarnation: c.incarnation,
		Sequence:    c.sequence,
	}
	if e.coordinator != 0 && now-e.received < stateRetention {
		r.Coordinator = e.coordinator
		r.Clock = e.clock
		r.Elapsed = now - e.received
	}
	return r
}

// leftOver takes the tokens of a home out that can still be returned, and drops those whose
// time is over.
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

// Answered takes in the answer to an Ask that was sent at a time.
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
		c.holdsUntil = now // the home has said so
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
	// avoid is how long a home is passed over that has not answered maxFailures questions in
	// a row.
	avoidTime   = 5 * time.Second
	maxFailures = 2
)

// Next returns the home to ask now, given those that nodes are to choose from, the first
// one first. A home that comes before the present one takes its place once it has answered
// a probe; the result is whom to probe, or "".
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

// avoids returns whether a home is passed over now.
func (c *Client) avoids(coordinator string, now time.Duration) bool {
	return now < c.avoidedUntil[coordinator]
}

// heard returns whether a home has answered lately.
func (c *Client) responded(coordinator string, now time.Duration) bool {
	e, ok := c.clockSamples[coordinator]
	return ok && now-e.received < LeaseDuration
}

// Failed takes in that a home did not answer.
func (c *Client) RecordFailure(coordinator string, now time.Duration) {
	c.failures[coordinator]++
	if c.failures[coordinator] >= maxFailures {
		c.avoidedUntil[coordinator] = now + avoidTime
		delete(c.failures, coordinator)
		delete(c.clockSamples, coordinator)
	}
}

// Retain forgets what is known of all homes but the given ones.
func (c *Client) Retain(candidates []string) {
	drop := func(coordinator string) bool {
		return coordinator != c.holder && coordinator != c.coordinator && !slices.Contains(candidates, coordinator)
	}
	maps.DeleteFunc(c.clockSamples, func(coordinator string, _ clockSample) bool { return drop(coordinator) })
	maps.DeleteFunc(c.avoidedUntil, func(coordinator string, _ time.Duration) bool { return drop(coordinator) })
	maps.DeleteFunc(c.failures, func(coordinator string, _ int) bool { return drop(coordinator) })
	maps.DeleteFunc(c.lastSequence, func(coordinator string, _ uint64) bool { return drop(coordinator) })
}

// hold keeps a token until it is taken.
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

// GiveBack takes a token back whose request is known not to have run. It can be used again
// in its time only: later it might be one more than fits into a window.
func (c *Client) ReturnToken(t Token, now time.Duration) {
	if now-t.requestedAt < TokenLifetime && t.organisation != "" {
		c.addToken(t)
	}
}
