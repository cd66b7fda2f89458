// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package retry decides whether and when a request is sent again.
//
// There are two reasons to send a request again. After a failure, a Policy decides by the
// verdict, the number of attempts, the deadline and a Budget. While an idempotent request
// is slow, a hedged attempt is sent after the HedgeDelay, which is based on the quantiles of
// a Latency, and another Budget bounds the number of these.
//
// The package does no input or output and starts no goroutine.
package retry
