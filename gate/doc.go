// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package gate controls all access to the upstream beside this node. It receives calls from
// peers, admits, queues or refuses them, has the upstream run the admitted ones, and sends the
// responses back.
//
// Every request to the upstream passes through its Gate, so the Gate knows the upstream's load
// exactly. Other nodes learn the load from the reports that the Gate adds to its responses, within
// the bandwidth budget for load reports.
package gate
