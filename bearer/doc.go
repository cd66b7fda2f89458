// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package bearer reads the keys that callers send as bearer tokens, and removes them from
// forwarded requests. See RFC 6750.
package bearer
