// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package stall measures for how long a process was not scheduled.
//
// A process that is paused or gets no processor time finds that its deadlines have passed and
// that its peers have been silent. The measured delay distinguishes its own stalls from theirs.
package stall
