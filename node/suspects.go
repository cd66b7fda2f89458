// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"net/http"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/quarantine"
)

// listSuspects responds with the suspected requests.
func (n *Node) listSuspects(w http.ResponseWriter, _ *http.Request) {
	list := []operator.Suspect{}
	for _, assessment := range n.suspects.All() {
		suspect := operator.Suspect{
			Fingerprint: assessment.Fingerprint.String(),
			State:       assessment.State.String(),
			Crashes:     assessment.Crashes,
			Upstreams:   assessment.Upstreams,
			LastCrash:   assessment.LastCrash.UTC(),
		}
		if assessment.State == quarantine.Blocked {
			until := assessment.BlockedUntil.UTC()
			suspect.BlockedUntil = &until
		}
		list = append(list, suspect)
	}
	writeJSON(w, list)
}

// releaseSuspect lets a request run again, as if it had completed now. All nodes disregard the
// crashes of upstreams before that; those that come after count.
func (n *Node) releaseSuspect(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := quarantine.Parse(r.PathValue("print"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if n.suspects.Assess(fingerprint).State == quarantine.Unsuspected {
		http.Error(w, "not suspected", http.StatusNotFound)
		return
	}
	if n.blocklist != nil {
		if err := n.blocklist.Release(r.Context(), fingerprint); err != nil {
			http.Error(w, "the platform keeps the block: "+err.Error(), http.StatusBadGateway)
			return
		}
	}
	n.Log.Info().Stringer("print", fingerprint).Msg("request released")
	n.control.Report(quarantine.NewCompletionReport(fingerprint))
	w.WriteHeader(http.StatusNoContent)
}
