// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package logfmt provides loggers that write one line of key=value pairs for
// each event. Values with spaces, quotes or control characters are quoted, so
// that no value can be mistaken for another pair or line.
package logfmt
