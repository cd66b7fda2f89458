// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package objectapitest is a small fake of the platform's object API, for tests, the
// demonstration and the experiments. It keeps objects in memory, implements the part of the
// protocol that package objectapi uses, counts every call, and can be configured to fail in
// the ways in which the platform does.
package objectapitest
