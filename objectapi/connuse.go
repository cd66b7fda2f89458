// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// connUse records which connection a call was made on: one that has been open for long may have fallen silent.
type connUse struct {
	got atomic.Pointer[httptrace.GotConnInfo]
}

// trace returns a context for the call.
func (u *connUse) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { u.got.Store(&i) },
	})
}

// reused returns whether the connection had been used before, and for how long it was idle until the call.
func (u *connUse) reused() (idle time.Duration, reused bool) {
	if i := u.got.Load(); i != nil && i.Reused {
		return i.IdleTime, true
	}
	return 0, false
}

// annotate adds the use of the connection to the error of the call.
func (u *connUse) annotate(err error) error {
	switch i := u.got.Load(); {
	case i == nil:
		return eris.Wrap(err, "no connection")
	case i.Reused:
		return eris.Wrapf(err, "connection used before, idle for %v", i.IdleTime.Round(time.Millisecond))
	}
	return eris.Wrap(err, "new connection")
}
