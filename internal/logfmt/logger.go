// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// The lines of many nodes are sorted by time, which needs more precision than seconds.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes events of at least the given level to w. An unknown
// level counts as info.
func New(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(&formatter{out: w}).Level(l).With().Timestamp().Logger()
}
