// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package node joins the parts of the system into the process that runs beside
// each upstream: the entry for callers, the gate of the upstream, and the
// control state.
//
// Run returns after a planned stop, which cuts no request in flight: the gate
// refuses new work at once, peers and callers learn of it, what runs is let end,
// and only then do connections close.
package node
