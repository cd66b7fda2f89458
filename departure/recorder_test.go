// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package departure_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/departure"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/internal/sleep"
)

// fakePeers are the other nodes of a test.
type fakePeers struct {
	delay      time.Duration // of each answer
	confirmed  int
	others     int
	reconciled chan struct{}
	// attestsAt is from when on an answer attests, after the start of the test. Zero means never.
	attestsAt  time.Duration
	started    time.Time
	records    []departure.Record
	asked      int
	replicated []departure.Record
	recovered  bool
}

func (p *fakePeers) Replicate(ctx context.Context, r departure.Record) departure.Replication {
	p.asked++
	p.replicated = append(p.replicated, r)
	sleep.For(ctx, p.delay)
	result := departure.Replication{
		Needed: min(2, p.others),
		Others: p.others,
	}
	if ctx.Err() == nil {
		result.Confirmed = p.confirmed
	}
	return result
}

func (p *fakePeers) Reconciled() <-chan struct{} { return p.reconciled }

func (p *fakePeers) Recover(ctx context.Context) (answered, attested bool) {
	p.asked++
	sleep.For(ctx, p.delay)
	return p.others > 0, p.attestsAt > 0 && time.Since(p.started) >= p.attestsAt
}

func (p *fakePeers) Recovered() { p.recovered = true }

func (p *fakePeers) Departures() []departure.Record { return p.records }

func (p *fakePeers) IsFirstInZone() bool { return true }

// recoverAtOnce has a recorder find that there is nothing to recover.
func recoverAtOnce(ctx context.Context, d *departure.Recorder) {
	discovered := make(chan struct{})
	close(discovered)
	d.FirstStart = true
	d.DiscoveryDone = discovered
	d.Recover(ctx)
}

// TestRecordAwaitsRecovery guards against the acknowledgement of a departure that the platform alone has
// because the other nodes were not known yet: the next process asks those first.
func TestRecordAwaitsRecovery(t *testing.T) {
	for name, test := range map[string]struct {
		reconciled time.Duration // when the node has received the state of another
		after      time.Duration
		fails      bool
	}{
		"known soon":     {reconciled: 100 * time.Millisecond, after: 104 * time.Millisecond},
		"known too late": {reconciled: time.Second, after: 700 * time.Millisecond, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &fakePeers{
					delay:      2 * time.Millisecond,
					confirmed:  2,
					others:     9,
					attestsAt:  1,
					started:    time.Now(),
					reconciled: make(chan struct{}),
				}
				d := &departure.Recorder{
					Node:     "n",
					Peers:    peers,
					Registry: newRegistry(new(objectapitest.Memory), "n"),
					Log:      zerolog.Nop(),
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go d.Run(ctx)
				go d.Recover(ctx)
				time.AfterFunc(test.reconciled, func() { close(peers.reconciled) })
				synctest.Wait()
				began := time.Now()
				err := d.Record(ctx, "i-1", 0)
				qt.Check(t, err != nil, qt.Equals, test.fails, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, test.after)
			})
		})
	}
}

// TestRecordIsSafe guards against a departure that is acknowledged while only processes know of it: it may
// be once the platform has it and other nodes have confirmed it, within the second that the upstream waits.
func TestRecordIsSafe(t *testing.T) {
	const never = time.Hour
	const ms = time.Millisecond
	tests := map[string]struct {
		peers       fakePeers
		platform    time.Duration // delay of the platform, 0 for none
		platformErr error
		fails       bool
		after       time.Duration
	}{
		"both confirm":                        {peers: fakePeers{delay: 2 * ms, confirmed: 2, others: 9}, platform: 5 * ms, after: 5 * ms},
		"the platform is slow":                {peers: fakePeers{delay: 2 * ms, confirmed: 2, others: 9}, platform: 250 * ms, after: 250 * ms},
		"the platform is very slow":           {peers: fakePeers{delay: 2 * ms, confirmed: 2, others: 9}, platform: 600 * ms, after: 600 * ms},
		"the platform does not respond":       {peers: fakePeers{delay: 2 * ms, confirmed: 2, others: 9}, platform: never, fails: true, after: 700 * ms},
		"the platform fails":                  {peers: fakePeers{delay: 2 * ms, confirmed: 2, others: 9}, platform: 5 * ms, platformErr: errAway, fails: true, after: 700 * ms},
		"no platform":                         {peers: fakePeers{delay: 2 * ms, confirmed: 2, others: 9}, after: 2 * ms},
		"one other node":                      {peers: fakePeers{delay: 2 * ms, confirmed: 1, others: 1}, platform: 5 * ms, after: 5 * ms},
		"other nodes are slow":                {peers: fakePeers{delay: 400 * ms, confirmed: 2, others: 9}, platform: 5 * ms, after: 400 * ms},
		"too few other nodes confirm":         {peers: fakePeers{delay: 2 * ms, confirmed: 1, others: 9}, platform: 5 * ms, fails: true, after: 700 * ms},
		"other nodes do not respond":          {peers: fakePeers{delay: never, others: 9}, platform: 5 * ms, fails: true, after: 700 * ms},
		"other nodes fail":                    {peers: fakePeers{delay: 2 * ms, others: 9}, platform: 5 * ms, fails: true, after: 700 * ms},
		"no other node":                       {peers: fakePeers{}, platform: 5 * ms, after: 5 * ms},
		"no other node, the platform is slow": {peers: fakePeers{}, platform: 600 * ms, after: 600 * ms},
		"none responds":                       {peers: fakePeers{delay: never, others: 9}, platform: never, fails: true, after: 700 * ms},
		"no other node, the platform fails":   {peers: fakePeers{}, platform: 5 * ms, platformErr: errAway, fails: true, after: 700 * ms},
		"no platform, other nodes fail":       {peers: fakePeers{delay: 2 * ms, others: 9}, fails: true, after: 700 * ms},
		"neither another node nor a platform": {peers: fakePeers{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := test.peers
				api := new(objectapitest.Memory)
				api.Delay = test.platform
				api.SetErr(test.platformErr)
				d := &departure.Recorder{
					Node:  "n",
					Peers: &peers,
					Log:   zerolog.Nop(),
				}
				if test.platform > 0 {
					d.Registry = newRegistry(api, "n")
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go d.Run(ctx)
				recoverAtOnce(ctx, d)
				synctest.Wait()
				peers.asked = 0
				began := time.Now()
				err := d.Record(ctx, "i-1", 0)
				qt.Check(t, err != nil, qt.Equals, test.fails, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, test.after)
				if test.fails {
					return
				}
				asked, calls := peers.asked, api.CallCount()
				qt.Check(t, d.Record(ctx, "i-1", 0), qt.IsNil)
				qt.Check(t, peers.asked, qt.Equals, asked, qt.Commentf("a repeated call costs nothing"))
				qt.Check(t, api.CallCount(), qt.Equals, calls)
			})
		})
	}
}

// TestUnsavedRecordIsWrittenLater checks that a departure which other nodes have confirmed is written
// to the platform once that responds again, and acknowledged then.
func TestUnsavedRecordIsWrittenLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := new(objectapitest.Memory)
		api.SetErr(errAway)
		peers := &fakePeers{confirmed: 2, others: 9}
		d := &departure.Recorder{
			Node:     "n",
			Peers:    peers,
			Registry: newRegistry(api, "n"),
			Log:      zerolog.Nop(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)
		recoverAtOnce(ctx, d)
		synctest.Wait()
		qt.Assert(t, d.Record(ctx, "i-1", 0), qt.ErrorIs, departure.ErrNotSafe)
		time.Sleep(10 * time.Second)
		api.SetErr(nil)
		time.Sleep(10 * time.Second)
		asked := peers.asked
		qt.Check(t, d.Record(ctx, "i-1", 0), qt.IsNil)
		qt.Check(t, peers.asked, qt.Equals, asked, qt.Commentf("they have confirmed it before"))
		list, err := newRegistry(api, "n").Load(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, startIDs(list), qt.DeepEquals, []string{"i-1"})

		api.Clear()
		d.Rewrite()
		time.Sleep(10 * time.Second)
		list, err = newRegistry(api, "n").Load(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, startIDs(list), qt.DeepEquals, []string{"i-1"})
	})
}

// TestRecover checks what a process waits for before it announces its upstream, and how long. It guards
// against a departure that the platform has and that is lost because nodes claim to know all that was
// confirmed.
func TestRecover(t *testing.T) {
	const never = time.Hour
	const ms = time.Millisecond
	tests := map[string]struct {
		peers       fakePeers
		reconciled  time.Duration // when the node has received the state of another
		platform    time.Duration // delay of the platform, 0 for none
		platformErr error
		discovery   time.Duration // when the node has had the time to discover others
		firstStart  bool
		after       time.Duration
		want        []string
	}{
		"other nodes claim to know":                    {peers: fakePeers{delay: 2 * ms, others: 9, attestsAt: 1}, reconciled: 50 * ms, platform: 5 * ms, after: 54 * ms, want: []string{"peers", "platform"}},
		"other nodes must know, the platform is away":  {peers: fakePeers{delay: 2 * ms, others: 9, attestsAt: 1}, reconciled: 50 * ms, platform: never, after: 300 * ms, want: []string{"peers"}},
		"other nodes must know, the platform fails":    {peers: fakePeers{delay: 2 * ms, others: 9, attestsAt: 1}, reconciled: 50 * ms, platform: 5 * ms, platformErr: errAway, after: 52 * ms, want: []string{"peers"}},
		"all nodes have started":                       {peers: fakePeers{delay: 2 * ms, others: 9}, reconciled: 50 * ms, platform: 5 * ms, after: 54 * ms, want: []string{"peers", "platform"}},
		"all nodes have started, found late":           {peers: fakePeers{delay: 2 * ms, others: 9}, reconciled: 400 * ms, platform: 5 * ms, after: 404 * ms, want: []string{"peers", "platform"}},
		"all nodes have started, the platform is slow": {peers: fakePeers{delay: 2 * ms, others: 9}, reconciled: 50 * ms, platform: 900 * ms, after: 902 * ms, want: []string{"peers", "platform"}},
		"all nodes have started for the first time":    {peers: fakePeers{delay: 2 * ms, others: 9}, firstStart: true, reconciled: 50 * ms, platform: 5 * ms, after: 52 * ms, want: []string{"peers"}},
		"a new node, the platform is away":             {peers: fakePeers{delay: 2 * ms, others: 9, attestsAt: 5 * time.Second}, reconciled: 50 * ms, platform: never, after: 5102 * ms, want: []string{"peers"}},
		"no other node":                                {peers: fakePeers{}, reconciled: never, platform: 5 * ms, discovery: 2 * time.Second, after: 2 * time.Second, want: []string{"peers", "platform"}},
		"no platform":                                  {peers: fakePeers{delay: 2 * ms, others: 9}, reconciled: 50 * ms, after: 52 * ms, want: []string{"peers"}},
		"neither another node nor a platform":          {peers: fakePeers{}, reconciled: never, discovery: ms, after: ms, want: []string{"peers"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				api := new(objectapitest.Memory)
				qt.Assert(t, newRegistry(api, "n").Save(ctx, []departure.Record{departure.NewRecord("n", "platform", 0)}), qt.IsNil)
				api.Delay = test.platform
				api.SetErr(test.platformErr)
				peers := test.peers
				peers.started = time.Now()
				peers.reconciled = make(chan struct{})
				peers.records = []departure.Record{departure.NewRecord("n", "peers", 0)}
				closeAfter := func(after time.Duration, c chan struct{}) {
					go func() {
						if sleep.For(ctx, after); ctx.Err() == nil {
							close(c)
						}
					}()
				}
				closeAfter(test.reconciled, peers.reconciled)
				discovered := make(chan struct{})
				if test.discovery == 0 {
					test.discovery = 2 * time.Second
				}
				closeAfter(test.discovery, discovered)
				d := &departure.Recorder{
					Node:          "n",
					Peers:         &peers,
					FirstStart:    test.firstStart,
					DiscoveryDone: discovered,
					Log:           zerolog.Nop(),
				}
				if test.platform > 0 {
					d.Registry = newRegistry(api, "n")
				}
				began := time.Now()
				list := d.Recover(ctx)
				qt.Check(t, time.Since(began), qt.Equals, test.after)
				qt.Check(t, startIDs(list), qt.DeepEquals, test.want)
				qt.Check(t, peers.recovered, qt.IsTrue)
				fromPlatform := slices.DeleteFunc(startIDs(list), func(id string) bool { return id != "platform" })
				qt.Check(t, startIDs(peers.replicated), qt.DeepEquals, fromPlatform, qt.Commentf("other nodes keep what the platform had"))
			})
		})
	}
}

// TestUnsavedRecordIsGivenUp guards against calls to a platform that refuses a record which go on for as
// long as the process lives.
func TestUnsavedRecordIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := new(objectapitest.Memory)
		api.SetErr(errAway)
		d := &departure.Recorder{
			Node:     "n",
			Peers:    &fakePeers{confirmed: 2, others: 9},
			Registry: newRegistry(api, "n"),
			Log:      zerolog.Nop(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)
		recoverAtOnce(ctx, d)
		synctest.Wait()
		qt.Assert(t, d.Record(ctx, "i-1", 0), qt.ErrorIs, departure.ErrNotSafe)
		time.Sleep(departure.Retention * 3 / 4)
		calls := api.CallCount()
		qt.Check(t, calls > 1, qt.IsTrue)
		time.Sleep(departure.Retention / 8)
		qt.Check(t, api.CallCount(), qt.Equals, calls)
	})
}
