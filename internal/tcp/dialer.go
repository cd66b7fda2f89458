// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dialer whose connections are opened within the given timeout, and fail
// with ETIMEDOUT once written data has been unacknowledged for userTimeout (TCP_USER_TIMEOUT,
// see RFC 5482).
func Dialer(timeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(raw syscall.RawConn, userTimeout time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
