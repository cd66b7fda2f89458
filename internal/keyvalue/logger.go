// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package keyvalue

import (
	"fmt"
	"io"
	"strconv"
	"strings"
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
	out := zerolog.ConsoleWriter{
		Out:              zerolog.SyncWriter(w),
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		FormatTimestamp:  pair("time"),
		FormatLevel:      pair("level"),
		FormatMessage:    pair("event"),
		FormatFieldValue: value,
		FormatErrFieldValue: func(v any) string {
			return value(v)
		},
	}
	return zerolog.New(out).Level(l).With().Timestamp().Logger()
}

// pair returns a formatter for one part of an event.
func pair(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + value(v) }
}

// value returns a value, quoted if need be.
func value(v any) string {
	s := fmt.Sprint(v)
	if b, ok := v.([]byte); ok {
		s = string(b)
	}
	if unquoted, err := strconv.Unquote(s); err == nil {
		s = unquoted // the library has quoted some strings already
	}
	needs := s == "" || strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r == '"' || r == '=' || r == '\\' || !strconv.IsPrint(r)
	})
	if needs {
		return strconv.Quote(s)
	}
	return s
}
