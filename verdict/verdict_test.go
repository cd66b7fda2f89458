// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package verdict_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/verdict"
)

func TestTableInvariants(t *testing.T) {
	for cause, info := range verdict.Causes {
		t.Run(string(cause), func(t *testing.T) {
			c := qt.New(t)
			e := verdict.New(cause, nil)
			c.Check(e.Verdict(), qt.Equals, info.Verdict)
			switch info.Verdict {
			case verdict.NotRun:
				c.Check(e.MayRepeat(false), qt.Equals, info.RetryElsewhere)
				c.Check(info.Status, qt.Not(qt.Equals), http.StatusBadGateway)
				c.Check(info.Status, qt.Not(qt.Equals), http.StatusGatewayTimeout)
			case verdict.MayHaveRun:
				c.Check(e.MayRepeat(false), qt.IsFalse)
				c.Check(info.Status >= 502 && info.Status != 503, qt.IsTrue)
			case verdict.Ran:
				c.Check(e.MayRepeat(false), qt.IsFalse)
				c.Check(e.MayRepeat(true), qt.IsFalse)
			}
			c.Check(e.WithGivenUp().MayRepeat(true), qt.IsFalse)
		})
	}
}

func TestUnknownCauseIsNotRetried(t *testing.T) {
	c := qt.New(t)
	e := verdict.New("noSuchCause", nil)
	c.Check(e.Verdict(), qt.Equals, verdict.MayHaveRun)
	c.Check(e.MayRepeat(true), qt.IsFalse)
}

func TestAs(t *testing.T) {
	c := qt.New(t)
	inner := verdict.New(verdict.Refused, errors.New("full"))
	c.Check(verdict.As(fmt.Errorf("outer: %w", inner), verdict.PeerLost), qt.Equals, inner)
	c.Check(verdict.As(errors.New("plain"), verdict.PeerLost).Cause, qt.Equals, verdict.PeerLost)
	c.Check(verdict.As(nil, verdict.PeerLost) == nil, qt.IsTrue)
}

func TestParse(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		got, ok := verdict.Parse(v.String())
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, got, qt.Equals, v)
	}
	_, ok := verdict.Parse("perhaps")
	qt.Check(t, ok, qt.IsFalse)
}
