// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package watch bounds and counts what watching upstreams and nodes costs.
//
// All watching of one node, which is load reports on answers, pings and
// exchanges of digests, draws on one Budget of bytes per second. The cost is
// therefore the same however many callers there are; what there is no budget
// for is left out, and nothing waits for it.
package watch
