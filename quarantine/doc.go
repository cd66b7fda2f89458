// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quarantine keeps requests that end upstreams away from them.
//
// A request may end each upstream that begins to run it, and may come again at any
// node. What it looks like is its Fingerprint.
package quarantine
