// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package blocklist stores on the platform which requests are blocked because upstreams crash on them, so that
// they stay blocked when all nodes restart at once. Requests that are only suspected are not stored.
package blocklist
