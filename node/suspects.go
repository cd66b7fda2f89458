// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"net/http"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/quarantine"
)

// listSuspects answers with the requests that are suspected.
func (n *Node) listSuspects(w http.ResponseWriter, _ *http.Request) {
	list := []operator.Suspect{}
	for _, j := range n.suspects.All() {
		s := operator.Suspect{
			Fingerprint: j.Fingerprint.String(),
			State:       j.State.String(),
			Crashes:     j.Crashes,
			Upstreams:   j.Upstreams,
			LastCrash:   j.LastCrash.UTC(),
		}
		if j.State == quarantine.Blocked {
			until := j.BlockedUntil.UTC()
			s.BlockedUntil = &until
		}
		list = append(list, s)
	}
	reply(w, list)
}

// releaseSuspect lets a request run again, as if it had run to its end now. Ends of
// upstreams before are forgotten at all nodes; those that come after count.
func (n *Node) releaseSuspect(w http.ResponseWriter, r *http.Request) {
	p, err := quarantine.Parse(r.PathValue("print"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if n.suspects.Assess(p).State == quarantine.Unsuspected {
		http.Error(w, "not suspected", http.StatusNotFound)
		return
	}
	if n.blocked != nil {
		if err := n.blocked.Release(r.Context(), p); err != nil {
			http.Error(w, "the platform keeps the block: "+err.Error(), http.StatusBadGateway)
			return
		}
	}
	n.Log.Info().Stringer("print", p).Msg("request released")
	n.control.Report(quarantine.NewCompletionReport(p))
	w.WriteHeader(http.StatusNoContent)
}
