// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package blocklist keeps on the platform which requests are blocked for ending upstreams, so
// that they stay blocked where all nodes start anew at once. What else is suspected only
// the nodes know.
package blocklist
