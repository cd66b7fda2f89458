// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package backend is a fake upstream for tests, the demonstration and the experiments. It
// takes a configured time for each request, announces itself to its node, can be made slow or
// faulty, and records the requests that it ran, against which the responses that callers got
// are checked.
package backend
