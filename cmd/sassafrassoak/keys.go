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
	// keyedRoute is the one route that needs a key.
	keyedRoute = "k"
	// keyHolder is the name of the organisation whose keys are replaced all the while.
	keyHolder = "org"
	// replaceEvery is the time between two replacements of a key, validKeys the number of
	// keys that are valid at once, and triedKeys that of the latest keys, valid or not, which
	// callers show.
	keyReplaceInterval = 400 * time.Millisecond
	validKeys          = 2
	triedKeys          = 8
	// revokeWithin is the nodes' bound, below the times for which processes are paused and
	// links silenced.
	maxRevokeDelay = time.Second
)

// keyring is the keys of an organisation, the latest last.
type keyring struct {
	mu      sync.Mutex
	keys    []string
	revoked map[string]time.Time // when the version without it was acknowledged
}

// add adds a key and returns those that are valid from now on.
func (k *keyring) add() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = append(k.keys, fmt.Sprintf("key-%d", len(k.keys)))
	return k.keys[max(0, len(k.keys)-validKeys):]
}

// acknowledged takes in that the version with the valid keys has been acknowledged.
func (k *keyring) markRevoked(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i := len(k.keys) - validKeys - 1; i >= 0 {
		k.revoked[k.keys[i]] = at
	}
}

// any returns one of the latest keys.
func (k *keyring) random() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[len(k.keys)-1-rand.IntN(min(triedKeys, len(k.keys)))]
}

// replaceKeys replaces a key now and then.
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

// checkKeys returns which requests ran with a key that had been revoked for longer than the
// bound when they were sent, and which upstreams were told of a key, or of an organisation
// that is not the key's.
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
				violations = append(violations, fmt.Sprintf("key passed on: request %s", o.id))
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
