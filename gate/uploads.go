// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"github.com/rotisserie/eris"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// maxUploadFraction is the fraction of the slots that calls may hold whose bodies are still being sent.
// Callers that stop within a body would otherwise keep all others from the upstream until their deadlines.
const maxUploadFraction = 0.75

// errTooManyUploads refuses a call whose body is sent while it runs.
var errTooManyUploads = eris.New("too many slots are held by requests whose bodies are still being sent")

// beginUpload records an admitted call whose body is sent while it runs, or returns why it is refused. The
// function end must be called at the end of the call. It does nothing for other calls.
func (g *Gate) beginUpload(in *peer.InboundCall, b *binding) (end func(), refused *verdict.Error) {
	if !in.Call.Streams || in.Call.EarlyBody {
		return func() {}, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for u := range g.uploads {
		if u.BodyReceived() {
			delete(g.uploads, u)
		}
	}
	if len(g.uploads) >= max(1, int(maxUploadFraction*float64(g.usableSlots(b.announcement)))) {
		return nil, verdict.New(verdict.Refused, errTooManyUploads).WithRetryAfter(g.admit.Report().ServiceTime)
	}
	if g.uploads == nil {
		g.uploads = make(map[*peer.InboundCall]struct{})
	}
	g.uploads[in] = struct{}{}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.uploads, in)
	}, nil
}
