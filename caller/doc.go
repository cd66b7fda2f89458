// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package caller receives HTTP requests from callers and responds to them.
//
// A Handler finds the service of a request, checks whether the request can be forwarded, and
// rewrites its header; a Dispatcher chooses the upstream and sends it. If a response is
// truncated on the way, the response to the caller is truncated too. For a failure the caller
// receives at once a problem document (RFC 9457), a header field with the verdict, and, if the
// request was not run, the time after which it may retry.
//
// Header fields are handled as in RFC 9110, section 7.6: hop-by-hop fields are not forwarded,
// and Via and Forwarded (RFC 7239) are extended.
package caller
