// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package spool keeps the body of a request while it comes in, so that it can be sent on
// without waiting for its end and sent again from its start.
package spool
