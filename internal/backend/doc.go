// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package backend is a stand-in for an upstream, for tests, the demonstration
// and the experiments. It takes a set time for each request, announces itself to its
// node, can be told to be slow or to fail, and keeps a record of the requests
// that it ran, which is the proof of what callers were told.
package backend
