// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package tablefetch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/chunk"
)

var start = time.Unix(0, 0)

// content returns an object of a size, which differs by version in one place.
func content(version uint64, bytesTotal int) []byte {
	r := rand.New(rand.NewPCG(1, 1))
	data := make([]byte, 0, bytesTotal)
	for len(data) < bytesTotal {
		data = fmt.Appendf(data, "route-%x;", r.Uint64())
	}
	return append(data, fmt.Sprint(version)...)
}

// newState returns a State without a table in force.
func newState(seed uint64) *State {
	return &State{Random: rand.New(rand.NewPCG(seed, seed))}
}

// offerOf returns the offer of a node that has all of an object.
func offerOf(version uint64, o *chunk.Object) Offer {
	return Offer{
		Version:  version,
		Root:     o.Root(),
		Complete: true,
	}
}

// parts returns the wanted chunks of an object.
func parts(o *chunk.Object, want []int) (list []Part) {
	for _, i := range want {
		list = append(list, Part{Position: i, Data: o.Chunk(i)})
	}
	return list
}

// TestFetchFromSeveral fetches a table from three nodes at once. No chunk may be requested twice.
func TestFetchFromSeveral(t *testing.T) {
	o := chunk.New(content(2, 1<<20))
	s := newState(1)
	for _, id := range []string{"a", "b", "c", "d"} {
		qt.Assert(t, s.AddOffer(id, offerOf(2, o), start), qt.IsTrue)
	}
	requests, _ := s.Next(start)
	qt.Assert(t, requests, qt.HasLen, 1)
	qt.Assert(t, requests[0].Kind, qt.Equals, Index)
	s.IndexReceived(requests[0].Source, offerOf(2, o), o.Index(), start)
	requested := make(map[int]bool)
	now := start
	for s.Assembly().Missing() > 0 {
		requests, _ := s.Next(now)
		qt.Assert(t, len(requests) > 0 && len(requests) <= maxRequests, qt.IsTrue)
		for _, r := range requests {
			for _, i := range r.Want {
				qt.Assert(t, requested[i], qt.IsFalse, qt.Commentf("chunk %d requested twice", i))
				requested[i] = true
			}
		}
		now = now.Add(10 * time.Millisecond)
		for _, r := range requests {
			_, err := s.ChunksReceived(r.Source, r.Root, parts(o, r.Want), 0, now)
			qt.Assert(t, err, qt.IsNil)
		}
	}
	_, data, err := s.Assembly().Object()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bytes.Equal(data, content(2, 1<<20)), qt.IsTrue)
}

// TestFetch plays what single nodes may do.
func TestFetch(t *testing.T) {
	second, third := chunk.New(content(2, 200<<10)), chunk.New(content(3, 200<<10))
	begun := func() *State {
		s := newState(1)
		s.AddOffer("a", offerOf(2, second), start)
		s.Next(start)
		s.IndexReceived("a", offerOf(2, second), second.Index(), start)
		return s
	}
	t.Run("a node that has no indexes", func(t *testing.T) {
		s := newState(1)
		s.AddOffer("a", Offer{Version: 2, Complete: true}, start)
		requests, _ := s.Next(start)
		qt.Assert(t, requests, qt.HasLen, 1)
		qt.Check(t, requests[0].Kind, qt.Equals, Whole)
	})
	t.Run("a node that has no indexes beside one that has", func(t *testing.T) {
		s := newState(1)
		s.AddOffer("a", Offer{Version: 2, Complete: true}, start)
		s.AddOffer("b", offerOf(2, second), start)
		requests, _ := s.Next(start)
		qt.Assert(t, requests, qt.HasLen, 1)
		qt.Check(t, requests[0].Source, qt.Equals, "b")
	})
	t.Run("a node that does not respond", func(t *testing.T) {
		s := begun()
		first, _ := s.Next(start)
		qt.Assert(t, first, qt.HasLen, 1)
		qt.Assert(t, first[0].Source, qt.Equals, "a")
		s.AddOffer("b", offerOf(2, second), start)
		again, _ := s.Next(start.Add(hedgeTimeout - 1))
		qt.Check(t, again, qt.HasLen, 0)
		again, _ = s.Next(start.Add(hedgeTimeout))
		qt.Assert(t, len(again) > 0, qt.IsTrue, qt.Commentf("nothing is requested of the other node"))
		qt.Check(t, again[0].Source, qt.Equals, "b")
	})
	t.Run("all nodes fail", func(t *testing.T) {
		s := begun()
		now := start
		for range 20 {
			requests, _ := s.Next(now)
			for _, r := range requests {
				s.Failed(r.Source, now)
			}
			now = now.Add(time.Second)
		}
		version, _ := s.Fetching()
		qt.Check(t, version, qt.Equals, uint64(0))
	})
	t.Run("what was received counts for a later version", func(t *testing.T) {
		s := begun()
		requests, _ := s.Next(start)
		_, err := s.ChunksReceived("a", second.Root(), parts(second, requests[0].Want), 0, start)
		qt.Assert(t, err, qt.IsNil)
		s.AddOffer("a", offerOf(3, third), start)
		version, _ := s.Fetching()
		qt.Check(t, version, qt.Equals, uint64(2)) // it still makes progress
		now := start.Add(stallTimeout)
		requests, _ = s.Next(now)
		qt.Assert(t, requests, qt.HasLen, 1)
		qt.Check(t, requests[0].Kind, qt.Equals, Index)
		s.IndexReceived("a", offerOf(3, third), third.Index(), now)
		qt.Check(t, len(third.Index())-s.Assembly().Missing() >= claimedChunks-1, qt.IsTrue)
	})
	t.Run("a later version is in force by other means", func(t *testing.T) {
		s := begun()
		s.SetActive(3, third)
		requests, again := s.Next(start)
		qt.Check(t, requests, qt.HasLen, 0)
		qt.Check(t, again.IsZero(), qt.IsTrue)
		qt.Check(t, s.AddOffer("a", offerOf(3, third), start), qt.IsFalse)
	})
	t.Run("an older version is offered", func(t *testing.T) {
		s := newState(1)
		s.SetActive(3, third)
		qt.Check(t, s.AddOffer("a", offerOf(2, second), start), qt.IsFalse)
	})
	t.Run("a wrong chunk", func(t *testing.T) {
		s := begun()
		requests, _ := s.Next(start)
		wrong := []Part{{Position: requests[0].Want[0], Data: second.Chunk((requests[0].Want[0] + 1) % len(second.Index()))}}
		_, err := s.ChunksReceived("a", second.Root(), wrong, 0, start)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, s.Assembly().Missing(), qt.Equals, len(second.Index()))
	})
}

// TestFetchEnds draws nodes that have all or a part of the table, fail, do not respond, send wrong chunks or have later
// versions. If one sound node stays, the latest version is complete in the end, whatever the others do.
func TestFetchEnds(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 7))
		size := 1 + r.IntN(150<<10)
		objects := make(map[uint64]*chunk.Object)
		for v := uint64(2); v <= 4; v++ {
			objects[v] = chunk.New(content(v, size))
		}
		s := newState(seed)
		now := start
		latest := uint64(2)
		for step := 0; ; step++ {
			qt.Assert(t, step < 5000, qt.IsTrue, qt.Commentf("seed %d: no end", seed))
			if latest < 4 && r.IntN(20) == 0 {
				latest++
			}
			s.AddOffer("sound", offerOf(latest, objects[latest]), now)
			for _, id := range []string{"fails", "silent", "wrong", "partial"} {
				if r.IntN(10) == 0 {
					v := 2 + uint64(r.IntN(int(latest-1)))
					s.AddOffer(id, Offer{Version: v, Root: objects[v].Root(), Complete: id != "partial"}, now)
				}
			}
			requests, again := s.Next(now)
			if a := s.Assembly(); a != nil && a.Missing() == 0 {
				version, _ := s.Fetching()
				_, data, err := a.Object()
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, bytes.Equal(data, content(version, size)), qt.IsTrue, qt.Commentf("seed %d", seed))
				if version == 4 {
					break
				}
				s.SetActive(version, objects[version])
				continue
			}
			for _, q := range requests {
				respond(s, q, r, objects, latest, now)
			}
			if len(requests) == 0 && again.After(now) {
				now = again
			}
			now = now.Add(time.Duration(1+r.IntN(20)) * time.Millisecond)
		}
	}
}

// respond plays the response of a node.
func respond(s *State, q Request, r *rand.Rand, objects map[uint64]*chunk.Object, latest uint64, now time.Time) {
	switch {
	case q.Source == "silent":
	case q.Source == "fails":
		s.Failed(q.Source, now)
	case q.Kind == Index && q.Source == "sound":
		s.IndexReceived(q.Source, offerOf(latest, objects[latest]), objects[latest].Index(), now)
	case q.Kind == Index:
		s.IndexReceived(q.Source, Offer{Version: q.Version, Root: objects[q.Version].Root()}, objects[q.Version].Index(), now)
	case q.Source == "wrong":
		_, _ = s.ChunksReceived(q.Source, q.Root, []Part{{Position: q.Want[0], Data: []byte("no")}}, 0, now)
	case q.Source == "partial":
		list := parts(objects[q.Version], q.Want)
		_, _ = s.ChunksReceived(q.Source, q.Root, list[:r.IntN(min(3, 1+len(list)))], 0, now)
	default:
		_, _ = s.ChunksReceived(q.Source, q.Root, parts(objects[q.Version], q.Want), 0, now)
	}
}

// TestFetchOverSlowLink guards against chunks that are received several times over a slow link, one after the other and from several
// nodes at once, and so never all: the incident CONFIG. Four nodes respond over one link; a response takes as long as its bytes.
func TestFetchOverSlowLink(t *testing.T) {
	for name, row := range map[string]struct {
		rate   float64 // of the link, in bytes per second
		silent string  // node that does not respond
		most   float64 // received bytes, as a multiple of the table
		within float64 // time, as a multiple of that for which the link carries the table once
	}{
		"slow link":                  {20e3, "", 1.01, 1.1},
		"slow link, one node silent": {20e3, "a", 1.2, 1.5},
		"fast link":                  {10e6, "", 1.01, 3},
		"fast link, one node silent": {10e6, "a", 1.2, 30},
	} {
		t.Run(name, func(t *testing.T) {
			o := chunk.New(content(2, 300<<10))
			total := 0
			for i := range o.Index() {
				total += len(o.Chunk(i))
			}
			s := newState(4)
			for _, id := range []string{"a", "b", "c", "d"} {
				qt.Assert(t, s.AddOffer(id, offerOf(2, o), start), qt.IsTrue)
			}
			requests, _ := s.Next(start)
			s.IndexReceived(requests[0].Source, offerOf(2, o), o.Index(), start)
			const step = time.Millisecond
			var pending []Request // the link carries their responses in order
			var carried float64   // bytes of the first of them
			received := 0
			now := start
			for s.Assembly().Missing() > 0 {
				requests, _ := s.Next(now)
				for _, r := range requests {
					if r.Source != row.silent {
						pending = append(pending, r)
					}
				}
				now = now.Add(step)
				if len(pending) == 0 {
					continue
				}
				r := pending[0]
				s.Heard(r.Source, now)
				carried += row.rate * step.Seconds()
				response := parts(o, r.Want)
				size := 0
				for _, p := range response {
					size += len(p.Data)
				}
				if carried < float64(size) {
					continue
				}
				carried = 0
				received += size
				pending = pending[1:]
				_, err := s.ChunksReceived(r.Source, r.Root, response, 0, now)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, now.Sub(start) < time.Minute, qt.IsTrue)
			}
			qt.Check(t, float64(received) <= row.most*float64(total), qt.IsTrue, qt.Commentf("%d bytes received of a table of %d", received, total))
			once := float64(total) / row.rate
			qt.Check(t, now.Sub(start).Seconds() <= row.within*once, qt.IsTrue, qt.Commentf("after %v, the link carries the table in %.3f s", now.Sub(start), once))
		})
	}
}

// TestFailedSourcesComeLast checks that a node whose request has failed is asked again only if there is no other.
func TestFailedSourcesComeLast(t *testing.T) {
	o := chunk.New(content(2, 300<<10))
	s := newState(1)
	s.AddOffer("a", offerOf(2, o), start)
	requests, _ := s.Next(start)
	qt.Assert(t, requests, qt.HasLen, 1)
	s.Failed("a", start)
	partial := offerOf(2, o)
	partial.Complete = false
	s.AddOffer("b", partial, start)
	now := start.Add(time.Second)
	requests, _ = s.Next(now)
	qt.Assert(t, requests, qt.HasLen, 1)
	qt.Check(t, requests[0].Source, qt.Equals, "b")
	s.Failed("b", now)
	requests, _ = s.Next(now.Add(time.Second))
	qt.Check(t, requests, qt.HasLen, 1)
}
