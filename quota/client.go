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
	start  uint64 // that of the process, which grows
	number uint64 // of the last Ask
	nodes  int    // that have a right, or 0 if that isn't known
	// holder is the home that may hold the node's right, until then by the node's clock.
	// It is empty if it is known that none does, or if nobody knows which.
	holder string
	until  time.Duration
	// echoes are what was heard last of homes, and avoided are those that did not answer,
	// with until when.
	echoes   map[string]echo
	avoided  map[string]time.Duration
	failures map[string]int     // in a row
	sent     map[string]uint64  // the Number of the last Ask to each
	home     string             // that is asked now
	tokens   map[string][]Token // by organisation, that were granted and not used
}

// echo is what was heard last of a home.
type echo struct {
	home     uint32        // its id, which tells its starts apart
	clock    time.Duration // by the home's clock, as it was sent
	received time.Duration // by the node's clock
}

// Token is the right to run one request.
type Token struct {
	organisation string
	home         string
	asked        time.Duration // when it was asked for
}

// NewClient returns a Client. Start is larger than at earlier starts of the node. Its right
// may still be where the process before has deposited it.
func NewClient(start uint64, now time.Duration) *Client {
	return &Client{
		start:    start,
		until:    now + LeaseDuration,
		echoes:   make(map[string]echo),
		avoided:  make(map[string]time.Duration),
		failures: make(map[string]int),
		sent:     make(map[string]uint64),
		tokens:   make(map[string][]Token),
	}
}

// SetNodes takes in the number of nodes that have a right. Zero means that it isn't known:
// the right isn't deposited then.
func (c *Client) SetNodes(n int) { c.nodes = n }

// Leaves returns the home that holds the node's right and is to give it back, as another
// one is asked now, or "". One that does not answer isn't asked to.
func (c *Client) PreviousHolder(now time.Duration) string {
	if now >= c.until || c.holder == c.home || c.avoids(c.holder, now) {
		return ""
	}
	return c.holder
}

// Ask returns the next Ask to a home, which deposits the node's right there unless it may
// be elsewhere, and returns the tokens of that home that are left over.
func (c *Client) NextRequest(home string, wants []TokenCount, now time.Duration) *Request {
	a := c.ask(home, now)
	a.Wanted = wants
	a.Returned = c.leftOver(home, now)
	switch {
	case c.failures[home] > 0:
		a.Nodes = Unchanged // a home that does not answer isn't to hold the right for longer
	case a.Coordinator != 0 && c.nodes > 0 && (now >= c.until || c.holder == home):
		a.Nodes = c.nodes
		c.holder = home
		c.until = now + LeaseDuration
	}
	return a
}

// Due returns the time until the next Ask is due even if no token is wanted.
func (c *Client) NextRenewal(now time.Duration) time.Duration {
	switch {
	case c.nodes == 0:
		return RenewInterval
	case now >= c.until:
		return 0
	case c.holder == c.home:
		return max(0, c.until-LeaseDuration+RenewInterval-now)
	default:
		return min(RenewInterval, c.until-now)
	}
}

// Probe returns an Ask that finds out whether a home answers. It takes back the right if
// the home holds it.
func (c *Client) ProbeRequest(home string, now time.Duration) *Request { return c.ask(home, now) }

// ask returns an Ask that names the home's last Answer, if that is young enough to count.
func (c *Client) ask(home string, now time.Duration) *Request {
	c.number++
	c.sent[home] = c.number
	e := c.echoes[home]
	a := &Request{
		Incarnation: c.start,
		Sequence:    c.number,
	}
	if e.home != 0 && now-e.received < forget {
		a.Coordinator = e.home
		a.Clock = e.clock
		a.Elapsed = now - e.received
	}
	return a
}

// leftOver takes the tokens of a home out that can still be returned, and drops those whose
// time is over.
func (c *Client) leftOver(home string, now time.Duration) []TokenCount {
	var list []TokenCount
	for _, name := range slices.Sorted(maps.Keys(c.tokens)) {
		var kept []Token
		var returned int
		for _, t := range c.tokens[name] {
			switch {
			case t.home == home && now-t.asked < TokenLifetime/2:
				returned++
			case now-t.asked < TokenLifetime:
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
func (c *Client) HandleResponse(home string, a *Request, answer *Response, sent, now time.Duration) {
	delete(c.failures, home)
	delete(c.avoided, home)
	c.echoes[home] = echo{
		home:     answer.Coordinator,
		clock:    answer.Clock,
		received: now,
	}
	if a.Nodes == 0 && a.Sequence == c.sent[home] && c.holder == home {
		c.holder = ""
		c.until = now // the home has said so
	}
	for _, g := range answer.Grants {
		for range min(g.Tokens, maxCount) {
			c.hold(Token{
				organisation: g.Organisation,
				home:         home,
				asked:        sent,
			})
		}
	}
}

const (
	// avoid is how long a home is passed over that has not answered maxFailures questions in
	// a row.
	avoid       = 5 * time.Second
	maxFailures = 2
)

// Next returns the home to ask now, given those that nodes are to choose from, the first
// one first. A home that comes before the present one takes its place once it has answered
// a probe; the result is whom to probe, or "".
func (c *Client) ChooseCoordinator(homes []string, now time.Duration) (home, probe string) {
	best := homes[len(homes)-1]
	for _, h := range homes {
		if !c.avoids(h, now) {
			best = h
			break
		}
	}
	switch {
	case c.home == best:
	case c.home == "" || c.avoids(c.home, now) || c.heard(best, now):
		c.home = best
	default:
		return c.home, best
	}
	return c.home, ""
}

// avoids returns whether a home is passed over now.
func (c *Client) avoids(home string, now time.Duration) bool {
	return now < c.avoided[home]
}

// heard returns whether a home has answered lately.
func (c *Client) heard(home string, now time.Duration) bool {
	e, ok := c.echoes[home]
	return ok && now-e.received < LeaseDuration
}

// Failed takes in that a home did not answer.
func (c *Client) RecordFailure(home string, now time.Duration) {
	c.failures[home]++
	if c.failures[home] >= maxFailures {
		c.avoided[home] = now + avoid
		delete(c.failures, home)
		delete(c.echoes, home)
	}
}

// Retain forgets what is known of all homes but the given ones.
func (c *Client) Retain(homes []string) {
	drop := func(home string) bool { return home != c.holder && home != c.home && !slices.Contains(homes, home) }
	maps.DeleteFunc(c.echoes, func(home string, _ echo) bool { return drop(home) })
	maps.DeleteFunc(c.avoided, func(home string, _ time.Duration) bool { return drop(home) })
	maps.DeleteFunc(c.failures, func(home string, _ int) bool { return drop(home) })
	maps.DeleteFunc(c.sent, func(home string, _ uint64) bool { return drop(home) })
}

// hold keeps a token until it is taken.
func (c *Client) hold(t Token) { c.tokens[t.organisation] = append(c.tokens[t.organisation], t) }

// Take takes a token, if there is one that may be used.
func (c *Client) Take(organisation string, now time.Duration) (Token, bool) {
	list := c.tokens[organisation]
	for len(list) > 0 && now-list[0].asked >= TokenLifetime {
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
	if now-t.asked < TokenLifetime && t.organisation != "" {
		c.hold(t)
	}
}
