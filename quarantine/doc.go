// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quarantine keeps requests that crash upstreams away from them.
//
// A request may crash every upstream that begins to run it, and may arrive again at any
// node. The requests that are in flight at an upstream when it crashes are suspected. They
// are identified by their Fingerprint, and an Index counts the upstreams that have crashed
// with each of them in flight. A request with two such crashes is isolated: it runs only
// where no other isolated request does. If it is answered, it is cleared, because a request
// that crashes upstreams is never answered. If a third upstream crashes, the request is
// blocked, for ten minutes at first, and for twice as long each time that this happens
// again. So the request that causes the crashes is stopped, and those that were merely in
// flight with it continue to run, even if all upstreams have crashed at once.
//
// A request that many callers send is in flight whenever an upstream crashes. A gate
// therefore counts responses with a ResponseCounter, and does not suspect requests that its
// upstream answers all the time.
//
// Nodes send each other Reports of crashes and of completed suspects. The package does
// no input or output and starts no goroutine.
package quarantine
