// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package stall measures for how long a process did not run.
//
// A process that is paused, or gets no processor, finds that its deadlines have passed and
// that its peers have been silent. How long it stood still tells its own delay from theirs.
package stall
