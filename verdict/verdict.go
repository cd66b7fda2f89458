// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package verdict

// Verdict says whether a request has run at an upstream.
//
// The zero value is MayHaveRun, so that a verdict that was not set is the safe
// one.
type Verdict uint8

const (
	// MayHaveRun means that there is no proof either way.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request has reached an upstream's
	// application.
	NotRun
	// Ran means that an upstream has answered the request.
	Ran
)

// String returns the name of v, as used in headers, logs and metrics.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "mayHaveRun"
	}
}

// Parse returns the verdict with the given name. The second result is false
// if there is no such verdict.
func Parse(name string) (Verdict, bool) {
	switch name {
	case "notRun":
		return NotRun, true
	case "mayHaveRun":
		return MayHaveRun, true
	case "ran":
		return Ran, true
	}
	return MayHaveRun, false
}
