// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Lines of many nodes are put in order by their times.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes to w the events of the given level and
// above. The level is one that settings allow; any other counts as info.
func New(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(&formatter{out: w}).Level(l).With().Timestamp().Logger()
}
