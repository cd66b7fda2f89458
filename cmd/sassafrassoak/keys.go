// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

const (
	// keyedRoute is the only route that requires a key.
	keyedRoute = "k"
	// keyHolder is the name of the organisation whose keys are replaced continuously.
	keyHolder = "org"
	// keyReplaceInterval is the time between two key replacements, validKeys the number of
	// keys that are valid at the same time, and triedKeys the number of latest keys, valid or
	// revoked, that callers use.
	keyReplaceInterval = 400 * time.Millisecond
	validKeys          = 2
	triedKeys          = 8
	// maxRevokeDelay is the value of the nodes' revokeWithin setting. It is below the times
	// for which processes are paused and links are silent.
	maxRevokeDelay = time.Second
)

// keyring holds the keys of an organisation, the newest last.
type keyring struct {
	mu      sync.Mutex
	keys    []string
	revoked map[string]time.Time // when the version without the key was acknowledged
}

// add adds a key and returns the keys that are valid from then on.
func (k *keyring) add() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = append(k.keys, fmt.Sprintf("key-%d", len(k.keys)))
	return k.keys[max(0, len(k.keys)-validKeys):]
}

// markRevoked records when the version without the newly revoked key was acknowledged.
func (k *keyring) markRevoked(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i := len(k.keys) - validKeys - 1; i >= 0 {
		k.revoked[k.keys[i]] = at
	}
}

// random returns one of the latest keys.
func (k *keyring) random() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[len(k.keys)-1-rand.IntN(min(triedKeys, len(k.keys)))]
}

// replaceKeys replaces a key periodically until stop is closed.
func (c *cluster) replaceKeys(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(keyReplaceInterval):
			c.configure(func() { c.currentKeys = c.keys.add() })
			c.keys.markRevoked(time.Now())
		}
	}
}

// checkKeys finds requests that were sent after the revocation bound of their key and ran, and
// upstreams that received a key, or an organisation other than that of the key. At least one
// request with a key must have been served.
func (c *cluster) checkKeys(list []outcome, runs map[string][]platformtest.Run) []string {
	var violations []string
	var served int
	for _, o := range list {
		if o.status == http.StatusOK && o.route == keyedRoute {
			served++
		}
		revokedAt, isRevoked := c.keys.revoked[o.key]
		for _, r := range runs[o.id] {
			switch {
			case isRevoked && o.sentAt.After(revokedAt.Add(maxRevokeDelay)):
				violations = append(violations, fmt.Sprintf("ran with a revoked key: request %s sent %v after the bound", o.id, o.sentAt.Sub(revokedAt.Add(maxRevokeDelay))))
			case r.Authorization != "":
				violations = append(violations, fmt.Sprintf("key forwarded to the upstream: request %s", o.id))
			case (o.route == keyedRoute) != (r.Organisation == keyHolder) || o.route != keyedRoute && r.Organisation != "":
				violations = append(violations, fmt.Sprintf("ran on behalf of %q: request %s", r.Organisation, o.id))
			}
		}
	}
	if served == 0 {
		violations = append(violations, "no request with a key was served")
	}
	return violations
}
