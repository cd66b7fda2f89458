// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package spool stores the body of a request while it is received, so that it can be forwarded
// without waiting for its end and sent again from its start.
package spool
