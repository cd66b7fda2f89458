// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// revokeWithin is short, so that a node that is cut off soon refuses requests.
const revokeWithin = time.Second

// keyedSystem is a system whose callers need keys, except for the route /open/.
type keyedSystem struct {
	*testSystem
	near, far   *testNode // far reaches the platform through a proxy that can be switched off
	unreachable atomic.Bool
	version     int
	sent        int
}

// newKeyedSystem returns a system in which the keys are active.
func newKeyedSystem(t *testing.T, keys ...string) *keyedSystem {
	k := &keyedSystem{testSystem: newTestSystem(t)}
	k.revokeWithin = revokeWithin
	k.organisations(keys...)
	k.near = k.add("b")
	storeURL, _ := url.Parse(k.url)
	proxy := httputil.NewSingleHostReverseProxy(storeURL)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.unreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	k.url = server.URL
	k.far = k.add("b", k.near.settings.PeerAddress)
	for _, n := range []*testNode{k.near, k.far} {
		k.eventually("open to all", func() bool { return k.request(n, "/open/x", "").status == 200 })
		if len(keys) > 0 {
			k.eventually("the key is active", func() bool { return k.request(n, "/b/x", keys[0]).status == 200 })
		}
	}
	return k
}

// organisations writes the next version of the configuration: an organisation for each of the keys.
func (k *keyedSystem) organisations(keys ...string) {
	k.version++
	var list []string
	for _, key := range keys {
		list = append(list, fmt.Sprintf(`{"name":"org-%[1]s","apiKeys":["%[1]s"],"priority":0}`, key))
	}
	open := strings.Replace(route("open", "idempotent", "b"), `{`, `{"public":true,`, 1)
	k.store.Put("config", "main", rawJSON(fmt.Sprintf(`{"version":"r%d","services":[{"name":"b","healthPath":"/healthz"}],"tenants":[%s],"virtualHosts":[{"host":"h.example","paths":[%s,%s]}]}`,
		k.version, strings.Join(list, ","), route("b", "idempotent", "b"), open)))
}

// keyedResponse is what a caller received.
type keyedResponse struct {
	callerResponse
	id   string
	body string
}

// request sends a request, with or without a key, that names an organisation of its own.
func (k *keyedSystem) request(n *testNode, path, key string) keyedResponse {
	k.sent++
	id := fmt.Sprint("k-", k.sent)
	r, _ := http.NewRequest(http.MethodPut, "http://"+n.settings.CallerAddress+path, nil)
	r.Host = "h.example"
	r.Header.Set(platformtest.RequestID, id)
	r.Header.Set(platformtest.Timeout, "900")
	r.Header.Set(platformtest.Organisation, "forged")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return keyedResponse{id: id}
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return keyedResponse{
		callerResponse: callerResponse{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")},
		id:             id,
		body:           string(data),
	}
}

// findRun returns the run of a request, or nil.
func (k *keyedSystem) findRun(id string) *platformtest.Run {
	for _, n := range k.nodes {
		for _, r := range n.upstream.Runs() {
			if r.ID == id {
				return &r
			}
		}
	}
	return nil
}

// TestKeys sends requests with and without keys: the upstream receives the organisation, and
// never the key.
func TestKeys(t *testing.T) {
	k := newKeyedSystem(t, "one", "two")
	for name, row := range map[string]struct {
		path, key    string
		status       int
		organisation string
	}{
		"a key":         {"/b/x", "one", 200, "org-one"},
		"another":       {"/b/x", "two", 200, "org-two"},
		"none":          {"/b/x", "", 401, ""},
		"nobody's":      {"/b/x", "three", 401, ""},
		"a name":        {"/b/x", "org-one", 401, ""},
		"public":        {"/open/x", "", 200, ""},
		"public, a key": {"/open/x", "one", 200, ""},
		"no route":      {"/c/x", "one", 404, ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, n := range []*testNode{k.near, k.far} {
				got := k.request(n, row.path, row.key)
				qt.Assert(t, got.status, qt.Equals, row.status, qt.Commentf("%s", got.body))
				run := k.findRun(got.id)
				qt.Assert(t, run != nil, qt.Equals, row.status == 200)
				if run != nil {
					qt.Check(t, run.Organisation, qt.Equals, row.organisation)
					qt.Check(t, run.Authorization, qt.Equals, "")
				}
				if row.key != "" && row.status != 200 {
					qt.Check(t, strings.Contains(got.body, `"`+row.key), qt.IsFalse)
				}
			}
		})
	}
}

// TestKeysChange adds and removes keys by new versions of the configuration, among them one that
// can't be decoded and a key that is added and removed at once.
func TestKeysChange(t *testing.T) {
	k := newKeyedSystem(t, "one")
	k.organisations("one", "two")
	for _, n := range []*testNode{k.near, k.far} {
		k.eventually("the added key is accepted", func() bool { return k.request(n, "/b/x", "two").status == 200 })
	}
	k.organisations("two")
	for _, n := range []*testNode{k.near, k.far} {
		k.eventually("the removed key is not", func() bool { return k.request(n, "/b/x", "one").status == 401 })
		qt.Check(t, k.request(n, "/b/x", "two").status, qt.Equals, 200)
	}
	k.organisations("two", "two")
	k.organisations("two", "three")
	k.organisations("two")
	k.organisations("two", "four")
	for _, n := range []*testNode{k.near, k.far} {
		k.eventually("the last version is active", func() bool { return k.request(n, "/b/x", "four").status == 200 })
		qt.Check(t, k.request(n, "/b/x", "three").status, qt.Equals, 401)
		qt.Check(t, k.request(n, "/b/x", "two").status, qt.Equals, 200)
	}
}

// TestKeyRevokedWithoutPlatform cuts a node off from the platform while its key is revoked: the
// node receives the change from the other one. Without the other, it refuses what needs a key
// once the bound has passed, and only that, until it reaches the platform again.
func TestKeyRevokedWithoutPlatform(t *testing.T) {
	k := newKeyedSystem(t, "one", "two")
	k.unreachable.Store(true)
	for deadline := time.Now().Add(2 * revokeWithin); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		k.request(k.far, "/b/x", "two")
	}
	k.eventually("the other node sends it a freshness proof", func() bool { return k.request(k.far, "/b/x", "two").status == 200 })
	k.organisations("two")
	k.eventually("the other node sends it the change", func() bool { return k.request(k.far, "/b/x", "one").status == 401 })

	k.near.stop()
	k.organisations()
	acknowledged := time.Now()
	var refused keyedResponse
	for last := false; !last; {
		last = time.Since(acknowledged) > revokeWithin+100*time.Millisecond
		sent := time.Now()
		got := k.request(k.far, "/b/x", "two")
		if sent.Sub(acknowledged) > revokeWithin {
			refused = got
			qt.Check(t, k.findRun(got.id), qt.IsNil, qt.Commentf("sent %v after its key was revoked", sent.Sub(acknowledged)))
		}
	}
	qt.Check(t, refused.status, qt.Equals, 503, qt.Commentf("%s", refused.body))
	qt.Check(t, strings.Contains(refused.body, "notFresh"), qt.IsTrue, qt.Commentf("%s", refused.body))
	qt.Check(t, refused.retryAfter, qt.Equals, "0.500")
	qt.Check(t, k.far.ready(), qt.IsFalse)
	qt.Check(t, k.request(k.far, "/b/x", "unknown").status, qt.Equals, 503, qt.Commentf("it may have been added"))
	qt.Check(t, k.request(k.far, "/b/x", "").status, qt.Equals, 401)
	qt.Check(t, k.request(k.far, "/open/x", "").status, qt.Equals, 200)

	k.unreachable.Store(false)
	k.eventually("it reaches the platform again", func() bool { return k.request(k.far, "/b/x", "two").status == 401 })
	qt.Check(t, k.far.ready(), qt.IsTrue)
}
