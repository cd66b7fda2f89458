// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package ratelimit enforces the rate limits of organisations: it requests tokens from other
// nodes, and grants tokens to them. Package quota makes the decisions; this package has the
// clock, the connections and the callers that wait.
//
// Nothing is sent or kept while no organisation has a rate limit.
package ratelimit
