// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package organisation knows the organisations on whose behalf callers send requests, by
// the keys that they show, and what each of them is allowed.
//
// A key is kept as its digest only, so that neither a table of routes, which travels
// between nodes, nor anything that is made from one gives a key away. The package does no
// input or output and starts no goroutine.
package organisation
