// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package upstream talks to the one back end beside which a node runs: it sends requests to it
// over HTTP/1.1, receives its announcements, and probes whether it accepts connections.
//
// The Transport of net/http is not used because it retries some requests when a reused connection
// closes: GETs, and any request with an Idempotency-Key header whose body can be obtained again.
// A request given to this package's Transport is written at most once, and each failure says
// whether the upstream may have run the request. Framing, chunking and parsing are those of
// net/http.
package upstream
