// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package tcp opens TCP connections that notice when their peer has fallen
// silent.
//
// The kernel sends what is not acknowledged again for a quarter of an hour
// before it gives up. Peers that lose power, or connections that a device on the
// way has forgotten, look like slow ones until then.
package tcp
