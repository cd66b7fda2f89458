// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package watch limits and counts the cost of monitoring upstreams and nodes.
//
// All monitoring traffic of a node, which is load reports on responses, pings and
// exchanges of digests, is charged to one Budget of bytes per second. The cost is
// therefore independent of the number of callers. A message that exceeds the budget
// is not sent; nothing waits for it.
package watch
