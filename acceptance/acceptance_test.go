// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/gossip"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

func accepted(sequence, source uint64, deleted bool) *objectapi.Object {
	return objectapi.NewObject(operator.KindAccepted, "pledgebook", operator.Accepted{
		Sequence:      sequence,
		SourceVersion: source,
		Deleted:       deleted,
	}).WithResourceVersion("7")
}

func TestDecide(t *testing.T) {
	valid, invalid := []byte(`{"hosts":["a"]}`), []byte(`{"hosts":[]}`)
	tests := map[string]struct {
		current  *objectapi.Object
		source   uint64
		spec     []byte
		sequence uint64 // of the object to write, or 0 for none
		deleted  bool
		invalid  bool
	}{
		"first":                             {source: 1, spec: valid, sequence: 1},
		"newer":                             {current: accepted(4, 8, false), source: 9, spec: valid, sequence: 5},
		"the same again":                    {current: accepted(4, 9, false), source: 9, spec: valid},
		"older, by a paused representative": {current: accepted(4, 9, false), source: 8, spec: valid},
		"invalid":                           {current: accepted(4, 8, false), source: 9, spec: invalid, invalid: true},
		"invalid and old":                   {current: accepted(4, 9, false), source: 8, spec: invalid},
		"deleted":                           {current: accepted(4, 8, false), source: 9, sequence: 5, deleted: true},
		"deleted before":                    {current: accepted(4, 8, true), source: 9},
		"never existed":                     {source: 9},
		"missing from an old list":          {current: accepted(4, 9, false), source: 8},
		"created again":                     {current: accepted(4, 8, true), source: 9, spec: valid, sequence: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := acceptance.Decide(acceptance.Intent{Name: "pledgebook", Source: test.source, Spec: test.spec}, test.current, time.Now())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(d.Errors) > 0, qt.Equals, test.invalid)
			if test.sequence == 0 {
				qt.Check(t, d.Write == nil, qt.IsTrue)
				return
			}
			qt.Assert(t, d.Write != nil, qt.IsTrue)
			a, err := objectapi.DecodeSpec[operator.Accepted](d.Write)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, a.Sequence, qt.Equals, test.sequence)
			qt.Check(t, a.Deleted, qt.Equals, test.deleted)
			if test.current != nil {
				qt.Check(t, d.Write.Metadata.ResourceVersion, qt.Equals, "7")
			}
		})
	}
}

func start(t *testing.T) (*objectapitest.Server, *objectapi.Client) {
	t.Helper()
	s := new(objectapitest.Server)
	h := httptest.NewServer(s)
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	return s, &objectapi.Client{JSONClient: objectapi.JSONClient{URL: h.URL, Timeout: time.Second}, Namespace: "test"}
}

// pausedAPI is an API that calls between after its first Get, as if its user were paused
// between its read and its write.
type pausedAPI struct {
	objectapi.API
	between func()
}

func (p *pausedAPI) Get(ctx context.Context, kind, name string) (*objectapi.Object, error) {
	o, err := p.API.Get(ctx, kind, name)
	if f := p.between; f != nil {
		p.between = nil
		f()
	}
	return o, err
}

// TestPausedRepresentativeIsHarmless guards against an old configuration that overwrites a newer
// one: a representative is paused after its read, while another one accepts a newer intent.
func TestPausedRepresentativeIsHarmless(t *testing.T) {
	ctx := context.Background()
	_, api := start(t)
	old := acceptance.Intent{Name: "a", Source: 5, Spec: []byte(`{"hosts":["old"]}`)}
	next := acceptance.Intent{Name: "a", Source: 6, Spec: []byte(`{"hosts":["next"]}`)}
	slow := &pausedAPI{API: api, between: func() {
		_, err := acceptance.Accept(ctx, api, next)
		qt.Assert(t, err, qt.IsNil)
	}}
	result, err := acceptance.Accept(ctx, slow, old)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result.Written, qt.IsFalse)
	a, err := objectapi.DecodeSpec[operator.Accepted](result.Object)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, a.Service.Hosts, qt.DeepEquals, []string{"next"})
	qt.Check(t, a.Sequence, qt.Equals, uint64(1))
}

// TestRepresentativesRace has three representatives accept a series of intents concurrently
// while responses are lost. The sequences that they see must form one history, and the last
// intent must be active at the end.
func TestRepresentativesRace(t *testing.T) {
	ctx := context.Background()
	s, api := start(t)
	s.SetFaults(objectapitest.Faults{LoseWrites: 0.2})
	const intents = 30
	var mu sync.Mutex
	history := make(map[uint64]uint64) // source by sequence
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() {
			var last uint64
			for i := uint64(1); i <= intents; {
				in := acceptance.Intent{Name: "a", Source: i, Spec: fmt.Appendf(nil, `{"hosts":["h%d"]}`, i)}
				result, err := acceptance.Accept(ctx, api, in)
				if err != nil {
					continue
				}
				i++
				a, err := objectapi.DecodeSpec[operator.Accepted](result.Object)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, a.Sequence >= last, qt.IsTrue)
				last = a.Sequence
				mu.Lock()
				if was, ok := history[a.Sequence]; ok {
					qt.Check(t, was, qt.Equals, a.SourceVersion, qt.Commentf("two values at sequence %d", a.Sequence))
				}
				history[a.Sequence] = a.SourceVersion
				mu.Unlock()
			}
		})
	}
	all.Wait()
	o, err := api.Get(ctx, operator.KindAccepted, "a")
	qt.Assert(t, err, qt.IsNil)
	a, err := objectapi.DecodeSpec[operator.Accepted](o)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, a.SourceVersion, qt.Equals, uint64(intents))
	qt.Check(t, a.Service.Hosts, qt.DeepEquals, []string{fmt.Sprintf("h%d", intents)})
}

func TestConfigFromAcceptedObject(t *testing.T) {
	d, err := acceptance.Decide(acceptance.Intent{Name: "a", Source: 1, Spec: []byte(`{"hosts":["x"],"policy":"random"}`)}, nil, time.Now())
	qt.Assert(t, err, qt.IsNil)
	a, err := objectapi.DecodeSpec[operator.Accepted](d.Write)
	qt.Assert(t, err, qt.IsNil)
	c := acceptance.FromAccepted("a", a)
	s, err := c.Service()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Policy, qt.Equals, "random")
	qt.Check(t, c.GossipVersion(), qt.Equals, gossip.Version{Minor: 1})
}
