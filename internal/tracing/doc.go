// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package tracing sets up OpenTelemetry traces and carries their context
// through the header fields of the peer protocol.
package tracing
