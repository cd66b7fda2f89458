// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package caller takes HTTP requests from callers and answers them.
//
// A Handler decides what a request is, whether it can be carried at all, and
// what its headers become on the way; where it is sent is the business of a
// Dispatcher. An answer that is cut on the way reaches the caller as a cut.
// A failure is answered at once with a problem document (RFC 9457), a header
// with the verdict, and the time to come back if the request was not run.
//
// Header fields follow RFC 9110, section 7.6: those that are meant for one hop
// are not passed on, Via and Forwarded (RFC 7239) are added to.
package caller
