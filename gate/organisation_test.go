// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestOrganisationDisplacement has an organisation fill a gate's queue before another's call
// arrives: the last of its calls is refused without having run, and the other's runs.
func TestOrganisationDisplacement(t *testing.T) {
	inside, goOn := make(chan struct{}), make(chan struct{})
	r := newFixture(t, 1, func(http.ResponseWriter, *http.Request) {
		inside <- struct{}{}
		<-goOn
	})
	config := operator.Service{Queue: operator.Queue{MaxLength: 2, MaxWait: operator.Duration(time.Minute)}}.WithDefaults()
	r.gate.Configure(&config)
	waiting := 0
	send := func(organisation string) <-chan *verdict.Error {
		done := make(chan *verdict.Error, 1)
		go func() {
			m := &peer.Call{Service: "service", Organisation: organisation, Method: "POST", Target: "/", Remaining: time.Minute}
			x, failure := r.client.Start(context.Background(), m, nil)
			if failure == nil {
				_, failure = x.Wait()
				x.Close()
			}
			done <- failure
		}()
		return done
	}
	wait := func(organisation string) <-chan *verdict.Error {
		done := send(organisation)
		waiting++
		for r.gate.Load().Waiting < waiting {
			time.Sleep(time.Millisecond)
		}
		return done
	}
	runs := send("big")
	<-inside
	first, last := wait("big"), wait("big")
	other := send("small")
	failure := <-last
	qt.Assert(t, failure != nil, qt.IsTrue)
	qt.Check(t, failure.Cause, qt.Equals, verdict.Refused)
	qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
	qt.Check(t, r.gate.Load().Displaced, qt.Equals, uint64(1))
	goOn <- struct{}{}
	for _, done := range []<-chan *verdict.Error{runs, other, first} {
		qt.Check(t, <-done == nil, qt.IsTrue)
		if done != first {
			<-inside
			goOn <- struct{}{}
		}
	}
}
