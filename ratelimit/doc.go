// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package ratelimit asks other nodes whether an organisation's requests are within its rate
// limit, and answers them. What is decided is package quota's business: this one has the
// clock, the connections and the callers that wait.
//
// Nothing is sent or kept while no organisation has a rate limit.
package ratelimit
