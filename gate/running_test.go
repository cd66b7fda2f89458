// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/gate"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
)

// TestRunningRequestsContinue guards against the loss of running requests because of what the gate
// learns meanwhile: it may refuse other requests, but must not end running ones.
func TestRunningRequestsContinue(t *testing.T) {
	announced := func(address string) upstream.Announcement {
		return upstream.Announcement{Service: "service", Address: address, Slots: 4, Connections: 4, StartID: "one"}
	}
	events := map[string]func(g *gate.Gate, a upstream.Announcement){
		"the node leaves":          func(g *gate.Gate, _ upstream.Announcement) { g.Drain() },
		"the zone is evacuated":    func(g *gate.Gate, _ upstream.Announcement) { g.SetEvacuated(true) },
		"the version is withheld":  func(g *gate.Gate, _ upstream.Announcement) { g.SetVersionWithheld(true) },
		"it is withdrawn":          func(g *gate.Gate, _ upstream.Announcement) { g.SetAnnouncement(nil) },
		"its service is withdrawn": func(g *gate.Gate, _ upstream.Announcement) { g.Configure(nil) },
		"it says in a response that it leaves": func(g *gate.Gate, a upstream.Announcement) {
			g.HandleNotice(a.StartID, upstream.Notice{Leaving: true, SentAt: time.Now()})
		},
		"it advertises a limit of zero": func(g *gate.Gate, a upstream.Announcement) {
			g.HandleNotice(a.StartID, upstream.Notice{Limited: true, SentAt: time.Now()})
		},
		"it drains":          func(g *gate.Gate, a upstream.Announcement) { a.Draining = true; g.SetAnnouncement(&a) },
		"it has fewer slots": func(g *gate.Gate, a upstream.Announcement) { a.Slots, a.Connections = 1, 1; g.SetAnnouncement(&a) },
		"it has another address": func(g *gate.Gate, a upstream.Announcement) {
			a.Address = "127.0.0.1:1"
			g.SetAnnouncement(&a)
		},
		"it is of another service": func(g *gate.Gate, a upstream.Announcement) { a.Service = "other"; g.SetAnnouncement(&a) },
		"another start, and back": func(g *gate.Gate, a upstream.Announcement) {
			b := a
			b.StartID = "two"
			g.SetAnnouncement(&b)
			g.SetAnnouncement(&a)
		},
		"it becomes cold": func(g *gate.Gate, _ upstream.Announcement) { g.ExtendColdStart(time.Minute) },
	}
	for name, event := range events {
		for _, responding := range []bool{false, true} {
			stage := "before its response"
			if responding {
				stage = "within its response"
			}
			t.Run(name+"/"+stage, func(t *testing.T) {
				inside, goOn := make(chan struct{}), make(chan struct{})
				r := newFixture(t, 4, func(w http.ResponseWriter, _ *http.Request) {
					if responding {
						_, _ = io.WriteString(w, "be")
						w.(http.Flusher).Flush()
					}
					close(inside)
					<-goOn
					if !responding {
						_, _ = io.WriteString(w, "be")
					}
					_, _ = io.WriteString(w, "gun")
				})
				a := announced(r.address)
				r.gate.SetAnnouncement(&a)
				x, failure := r.client.Start(context.Background(), &peer.Call{Service: "service", Method: "POST", Target: "/", Remaining: time.Minute}, nil)
				qt.Assert(t, failure == nil, qt.IsTrue)
				defer x.Close()
				<-inside
				event(r.gate, a)
				close(goOn)
				response, failure := x.Wait()
				qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				body, err := io.ReadAll(response.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(body), qt.Equals, "begun")
			})
		}
	}
}
