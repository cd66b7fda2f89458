// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package retry decides whether and when a request is sent a second time.
//
// There are two reasons for a second sending. After a failure a Plan decides
// by the verdict, the number of tries, the deadline and a Budget. While an
// idempotent request is slow, a Latency says after which time a second copy
// should be sent, and another Budget bounds how many such copies there are.
//
// The package does no input or output and starts no goroutine.
package retry
