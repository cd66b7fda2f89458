// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package canary carries out what package rollout decides: it reads orders from the platform,
// has the nodes beside the upstreams report to a judge, and records the outcome.
//
// The judge of a service is the first of its candidates that answers. An upstream on trial
// runs requests only while a judge has answered its node's reports lately, so that a node
// which is cut off sends a faulty version nothing for long.
package canary
