// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package organisation manages the organisations on whose behalf callers send requests: the keys that identify
// them, and their limits.
//
// Only the digest of a key is stored, so that neither a table of routes, which is sent between nodes, nor data
// derived from one discloses a key. The package does no input or output and starts no goroutine.
package organisation
