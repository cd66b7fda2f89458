// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package retryafter computes how long callers whose requests were refused wait before they retry.
//
// An upstream that sheds a share of all requests, whether it is full or not, refuses a late retry
// as often as an immediate one. An upstream that is full has room once the overload ends, and
// earlier retries only take the place of other requests.
package retryafter
