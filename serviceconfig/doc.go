// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package serviceconfig derives the configuration of a service from a table of routes: its classes,
// how its requests wait and are retried, and the limits of cold upstreams.
//
// A table says what callers need, such as priorities and latency objectives; this package decides
// how upstreams are used for that. It does no input or output and starts no goroutine.
package serviceconfig
