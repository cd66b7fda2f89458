// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package rollout decides how a service's requests are moved to another version of its
// upstreams.
//
// An Order is an operator's wish, a State how far it is carried out. A version on trial gets a
// small share of the requests, at a few of its upstreams, so that each of these carries what
// one of the present version does. A Judge compares what gates count at both versions at the
// same time, by class of request, and moves on in steps or stops. It keeps nothing that gates
// don't report again, so that any node may take its place. The package does no input or output
// and starts no goroutine.
package rollout
