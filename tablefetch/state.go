// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package tablefetch

import (
	"math/rand/v2"
	"time"

	"sassafrasfront.example/chunk"
)

const (
	// maxRequests is the number of nodes from which chunks are requested at once, without those whose responses are overdue.
	maxRequests = 3
	// maxParallelTime is the expected time of a response above which chunks are requested from one node at a time.
	maxParallelTime = 250 * time.Millisecond
	// maxOpenRequests is the number of nodes from which chunks are requested at once, with those.
	maxOpenRequests = 6
	// claimedChunks is the number of chunks in a request to a node that has all of them.
	claimedChunks = 8
	// hedgeTimeout is the time without received bytes after which what one node was asked for is requested from another as
	// well.
	hedgeTimeout = 150 * time.Millisecond
	// slowFactor is how many times as long as at the highest rate of this fetch a node may take to send chunks until they
	// are requested from another as well.
	slowFactor = 3
	// stallTimeout is the time without received bytes after which a later version replaces the one that is being
	// fetched.
	stallTimeout = 300 * time.Millisecond
	// retryPause is the wait after a failure of a node, doubled for each further one, and after a response
	// without a new chunk.
	retryPause = 30 * time.Millisecond
	// maxFailures is the number of failures in a row after which a node is no longer asked.
	maxFailures = 3
	// requestBytes is the size of the chunks that one request asks for, at most about.
	requestBytes = 16 << 10
	// maxSources is the number of nodes whose offers are kept.
	maxSources = 16
)

// Kind is the kind of a Request.
type Kind int

// The kinds.
const (
	// Index requests the index of the table.
	Index Kind = iota
	// Chunks requests chunks.
	Chunks
	// Whole requests the whole table at once, from a node whose software has no indexes.
	Whole
)

// Request is a request to send to another node. Its end has to be reported by IndexReceived, ChunksReceived or
// Failed.
type Request struct {
	// Source is the node.
	Source string
	// Kind is what is requested.
	Kind Kind
	// Version is the version of the table, and Root the digest of its index, which is the zero value if any later
	// version will do.
	Version uint64
	Root    chunk.Digest
	// Want are the positions of the wanted chunks, in the order in which they are preferred.
	Want []int
}

// Offer is a version of the table that a node has, or has a part of.
type Offer struct {
	// Version is the version.
	Version uint64
	// Root is the digest of its index, or the zero value if the node's software has no indexes.
	Root chunk.Digest
	// Complete is whether the node has all of it.
	Complete bool
}

// source is a node that has offered a version.
type source struct {
	Offer
	notBefore time.Time // no request is sent to it until then
	failures  int       // in a row
	asked     bool      // whether a request is in progress
	askedAt   time.Time
	heardAt   time.Time // when bytes were last received from it
	hasSent   bool      // whether its last response had chunks
	claimed   []int     // the first chunks of that request, which are not requested from other nodes
}

// State is what one node knows of the versions that others offer, and has received of the one that it fetches. The
// exported fields are set before the first call. It is not safe for concurrent use.
type State struct {
	// Random is the source of random numbers.
	Random *rand.Rand

	active   uint64 // version in force
	held     []*chunk.Object
	sources  map[string]*source
	version  uint64          // that is being fetched, or 0
	assembly *chunk.Assembly // of that version, or nil until its index is received
	partial  *chunk.Assembly // the last one that was abandoned, or nil
	progress time.Time       // when the fetch of the version began, or last made progress
	began    time.Time
	received uint64    // bytes of chunks that were missing, since then
	heardAt  time.Time // when bytes were last received from a node that has been asked
	bestRate float64   // highest rate at which a node has sent chunks lately, in bytes per second
}

// SetActive records that a version is in force, with its chunks and those of earlier ones that may be reused. A
// fetch of that version or an earlier one ends.
func (s *State) SetActive(version uint64, held ...*chunk.Object) {
	s.active = max(s.active, version)
	s.held = held
	for id, o := range s.sources {
		if o.Version <= s.active && !o.asked {
			delete(s.sources, id)
		}
	}
	if s.version <= s.active {
		s.abandon()
	}
}

// abandon ends the fetch. What it has received is kept for the next one.
func (s *State) abandon() {
	s.version = 0
	if s.assembly != nil {
		s.partial = s.assembly
	}
	s.assembly = nil
	for _, o := range s.sources {
		o.claimed = nil
	}
}

// AddOffer records an offer of another node. It returns whether the version is later than the one in force.
func (s *State) AddOffer(id string, offer Offer, now time.Time) bool {
	if offer.Version <= s.active {
		return false
	}
	if s.sources == nil {
		s.sources = make(map[string]*source)
	}
	o := s.sources[id]
	switch {
	case o == nil && len(s.sources) >= maxSources:
		return true
	case o == nil:
		s.sources[id] = &source{Offer: offer}
	case offer.Version > o.Version || offer.Version == o.Version && (offer.Complete || !o.Complete):
		o.Offer = offer
		o.failures = 0
	}
	if s.version == 0 {
		s.start(now)
	}
	return true
}

// start begins to fetch the latest version that is offered, if there is one.
func (s *State) start(now time.Time) {
	latest := s.latest()
	if latest <= s.active {
		return
	}
	s.version = latest
	s.progress = now
	s.began = now
	s.received = 0
	s.bestRate = 0
}

// latest returns the latest version that is offered, or 0.
func (s *State) latest() (v uint64) {
	for _, o := range s.sources {
		v = max(v, o.Version)
	}
	return v
}

// Fetching returns the version that is being fetched and when its fetch began, or 0 if there is none.
func (s *State) Fetching() (version uint64, began time.Time) { return s.version, s.began }

// ReceivedBytes returns the number of bytes of chunks that were received since the fetch began and that were missing.
func (s *State) ReceivedBytes() uint64 { return s.received }

// Progress returns when the fetch in progress began or last received something.
func (s *State) Progress() time.Time {
	if s.heardAt.After(s.progress) {
		return s.heardAt
	}
	return s.progress
}

// Heard records that bytes have been received from a node that has been asked, maybe of an incomplete response.
func (s *State) Heard(id string, now time.Time) {
	if o := s.sources[id]; o != nil && o.asked {
		o.heardAt = now
		s.heardAt = now
	}
}

// Asked returns the nodes from which a response is pending.
func (s *State) Asked() (ids []string) {
	for id, o := range s.sources {
		if o.asked {
			ids = append(ids, id)
		}
	}
	return ids
}

// Assembly returns what has been received of the version that is being fetched, or nil if its index is not
// known yet.
func (s *State) Assembly() *chunk.Assembly { return s.assembly }

// Next returns the requests to send now, and the time at which to call Next again unless something is received
// before. The time is zero if there is nothing to fetch.
func (s *State) Next(now time.Time) (requests []Request, again time.Time) {
	latest := s.latest()
	if s.version > latest || s.version != 0 && s.version < latest && now.Sub(s.Progress()) >= stallTimeout {
		s.abandon()
	}
	if s.version == 0 {
		s.start(now)
	}
	if s.version == 0 || s.assembly != nil && s.assembly.Missing() == 0 {
		return nil, time.Time{}
	}
	for {
		r, ok := s.nextRequest(now)
		if !ok {
			break
		}
		requests = append(requests, r)
	}
	return requests, s.nextTime(now)
}

// nextRequest returns one request to send now, if there is one.
func (s *State) nextRequest(now time.Time) (Request, bool) {
	open, overdue := s.openRequests(now)
	if open-overdue >= s.parallelRequests() || open >= maxOpenRequests || s.assembly == nil && open > overdue {
		return Request{}, false
	}
	id, o := s.choose(now)
	if o == nil {
		return Request{}, false
	}
	r := Request{
		Source:  id,
		Version: s.version,
	}
	switch {
	case o.Root.IsZero():
		r.Kind = Whole
	case s.assembly == nil:
		r.Kind = Index
		r.Root = o.Root
	default:
		r.Kind = Chunks
		r.Root = s.assembly.Root()
		if r.Want = s.want(o, now); len(r.Want) == 0 {
			return Request{}, false
		}
	}
	o.asked = true
	o.askedAt = now
	return r, true
}

// parallelRequests returns the number of nodes from which chunks are requested at once. It is 1 until the rate is known, and on a
// slow link, over which responses that come at once are all late.
func (s *State) parallelRequests() int {
	if s.bestRate == 0 || s.SlowRate() > 0 {
		return 1
	}
	return maxRequests
}

// SlowRate returns the rate at which chunks have been received, in bytes per second, if the node's link seems to be slow, and 0
// otherwise.
func (s *State) SlowRate() float64 {
	if s.bestRate == 0 || s.expectedTime() <= maxParallelTime {
		return 0
	}
	return s.bestRate
}

// expectedTime returns the expected time of a response with chunks. The rate must be known.
func (s *State) expectedTime() time.Duration {
	return time.Duration(requestBytes / s.bestRate * float64(time.Second))
}

// openRequests returns the number of requests in progress, and that of those from which a response is overdue.
func (s *State) openRequests(now time.Time) (open, overdue int) {
	for _, o := range s.sources {
		if !o.asked {
			continue
		}
		open++
		if s.overdue(o, now) {
			overdue++
		}
	}
	return open, overdue
}

// overdue returns whether a node that has been asked takes too long. While bytes of other nodes arrive, the node's own link may
// be what is slow, and a second copy of the same chunks would make it slower.
func (s *State) overdue(o *source, now time.Time) bool {
	heard := later(o.askedAt, later(o.heardAt, s.heardAt))
	if s.bestRate == 0 {
		return now.Sub(heard) >= hedgeTimeout
	}
	expected := s.expectedTime()
	return now.Sub(heard) >= max(hedgeTimeout, expected/2) || now.Sub(o.askedAt) >= max(hedgeTimeout, slowFactor*expected)
}

// later returns the later time.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// choose returns a node to send a request to, or nil. Nodes whose last request has failed come after all others. Where one node
// is asked at a time, that is one which has sent chunks before: the link of another may be slow as well. Nodes that have
// all of the version come first, and nodes whose software has no indexes last: they are chosen while no other has offered the version.
func (s *State) choose(now time.Time) (id string, chosen *source) {
	best, ties := 0, 0
	for other, o := range s.sources {
		rank := o.rank(s.version)
		if o.failures == 0 && rank > 0 {
			rank += highestRank
		}
		if s.parallelRequests() == 1 && o.hasSent && rank > 0 {
			rank += 2 * highestRank
		}
		if rank == 0 || o.asked || now.Before(o.notBefore) || o.Root.IsZero() && !s.onlyWhole() {
			continue
		}
		if rank < best {
			continue
		}
		if rank > best {
			best, ties = rank, 0
		}
		ties++
		if s.Random.IntN(ties) == 0 {
			id, chosen = other, o
		}
	}
	return id, chosen
}

// highestRank is the highest result of rank.
const highestRank = 4

// rank returns how likely a node has the chunks of a version; 0 means not at all.
func (o *source) rank(version uint64) int {
	switch {
	case o.Version < version:
		return 0
	case o.Root.IsZero():
		return 1
	case o.Version == version && o.Complete:
		return highestRank
	case o.Version == version:
		return 3
	}
	return 2
}

// onlyWhole returns whether no node with indexes has offered the version that is being fetched.
func (s *State) onlyWhole() bool {
	for _, o := range s.sources {
		if o.Version >= s.version && !o.Root.IsZero() {
			return false
		}
	}
	return true
}

// want returns the chunks to request from a node, beginning at a random one: a few that are requested from no other if it has
// all, and otherwise all that are missing and requested from no other, as it sends the first of them that it has. Once all missing
// ones are requested, those of overdue requests are requested again.
func (s *State) want(o *source, now time.Time) []int {
	claimed := make(map[int]bool)
	for _, other := range s.sources {
		if other.asked && !s.overdue(other, now) {
			for _, i := range other.claimed {
				claimed[i] = true
			}
		}
	}
	var list []int
	n := len(s.assembly.Index())
	limit := n
	if o.Complete && o.Version == s.version {
		limit = claimedChunks
	}
	first := s.Random.IntN(n)
	for k := range n {
		i := (first + k) % n
		if !s.assembly.Has(i) && !claimed[i] {
			list = append(list, i)
		}
		if len(list) == limit {
			break
		}
	}
	o.claimed = list[:min(len(list), claimedChunks)]
	return list
}

// nextTime returns when Next has to be called again if nothing is received before.
func (s *State) nextTime(now time.Time) time.Time {
	again := now.Add(stallTimeout)
	for _, o := range s.sources {
		at := o.notBefore
		if o.asked {
			at = later(o.askedAt, o.heardAt).Add(hedgeTimeout)
		}
		if o.asked && !at.After(now) {
			at = now.Add(hedgeTimeout / 2)
		}
		if at.After(now) && at.Before(again) {
			again = at
		}
	}
	return again
}

// IndexReceived records the index of the version that a node has, or has a part of.
func (s *State) IndexReceived(id string, offer Offer, index chunk.Index, now time.Time) {
	s.ended(id, now)
	if !s.AddOffer(id, offer, now) {
		return
	}
	if s.assembly != nil || offer.Version < s.version {
		return
	}
	s.version = offer.Version
	s.assembly = chunk.NewAssembly(index, s.partial, s.held...)
	s.progress = now
}

// Part is a chunk of an object.
type Part struct {
	// Position is its position in the index.
	Position int
	// Data is the compressed chunk.
	Data []byte
}

// ChunksReceived records the response of a node to a request for chunks of the version with the given root. A
// node without any of them is asked again after the given time, or after a pause if that is 0. It returns the
// number of bytes that were missing, and an error if a chunk is another one than the index says.
func (s *State) ChunksReceived(id string, root chunk.Digest, parts []Part, retryAfter time.Duration, now time.Time) (added int, err error) {
	if s.assembly != nil && s.assembly.Root() == root {
		s.recordRate(id, parts, now)
		for _, p := range parts {
			isNew, err := s.assembly.Put(p.Position, p.Data)
			if err != nil {
				s.Failed(id, now)
				return added, err
			}
			if isNew {
				added += len(p.Data)
				s.received += uint64(len(p.Data))
				s.progress = now
			}
		}
	}
	s.ended(id, now)
	if o := s.sources[id]; o != nil && len(parts) == 0 {
		o.hasSent = false
		o.notBefore = now.Add(max(retryAfter, retryPause))
	}
	return added, nil
}

// recordRate records how fast a node has sent chunks.
func (s *State) recordRate(id string, parts []Part, now time.Time) {
	o := s.sources[id]
	size := 0
	for _, p := range parts {
		size += len(p.Data)
	}
	if o == nil || size == 0 || !now.After(o.askedAt) {
		return
	}
	o.hasSent = true
	s.bestRate = max(rateDecay*s.bestRate, float64(size)/now.Sub(o.askedAt).Seconds())
}

// rateDecay is what remains of an earlier rate with each response: a link may have become slower.
const rateDecay = 0.7

// ended records that a node has responded.
func (s *State) ended(id string, now time.Time) {
	o := s.sources[id]
	if o == nil {
		return
	}
	o.asked = false
	o.claimed = nil
	o.failures = 0
	if o.Version <= s.active {
		delete(s.sources, id)
	}
}

// Failed records that a request to a node has failed.
func (s *State) Failed(id string, now time.Time) {
	o := s.sources[id]
	if o == nil {
		return
	}
	o.asked = false
	o.claimed = nil
	o.failures++
	o.hasSent = false
	o.notBefore = now.Add(retryPause << o.failures)
	if o.failures >= maxFailures || o.Version <= s.active {
		delete(s.sources, id)
	}
}

// Remove removes a node that has nothing to offer, and its claims.
func (s *State) Remove(id string) { delete(s.sources, id) }

// Drop ends the fetch of a version that is not valid. It is not fetched again from the nodes that have offered it.
func (s *State) Drop(version uint64) {
	for id, o := range s.sources {
		if o.Version <= version {
			delete(s.sources, id)
		}
	}
	if s.version == version {
		s.abandon()
	}
}
