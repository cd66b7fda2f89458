// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package upstream speaks to the one back end that a node stands beside: it
// sends requests to it over HTTP/1.1, takes its announcements, and watches
// whether it accepts connections.
//
// The Transport here exists because the one of net/http sends some requests
// twice by itself when a reused connection closes: GETs, and any request with
// an Idempotency-Key header whose body can be had again. A request given to
// this Transport is written at most once, and each failure says whether the
// upstream may have run it. Framing, chunking and parsing are net/http's.
package upstream
