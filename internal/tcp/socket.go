// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// SetUserTimeout changes the time for which written data of a connection may be
// unacknowledged. Zero means the kernel's default. Data for which the receiver has no room
// counts as unacknowledged, although its kernel responds: a receiver that reads late is then
// mistaken for an unreachable one. A connection that is not a socket is left unchanged.
func SetUserTimeout(c net.Conn, userTimeout time.Duration) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, userTimeout)
	}
	return eris.Wrap(err, "set the user timeout")
}

// errNotSocket means that a connection has no file descriptor.
var errNotSocket = eris.New("not a socket")

// UnacknowledgedBytes returns how many bytes that were written to a connection the peer's
// kernel has not acknowledged (SIOCOUTQ, see tcp(7)).
func UnacknowledgedBytes(c net.Conn) (n int, err error) {
	err = onSocket(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, eris.Wrap(err, "unacknowledged bytes")
}

// onSocket calls f with the file descriptor of a connection.
func onSocket(c net.Conn, f func(fd int) error) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return errNotSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = f(int(fd)) }); err != nil {
		return err
	}
	return failure
}

// AckState describes what the peer's kernel has acknowledged of the data written to a connection.
type AckState struct {
	// Outstanding is whether there is unacknowledged data.
	Outstanding bool
	// PeerWindowFull is whether the peer's kernel has advertised a window without room for a
	// segment, as its process does not read.
	PeerWindowFull bool
	// Retransmitting is whether the latest retransmission of outstanding data, or the latest
	// zero-window probe, has not been answered.
	Retransmitting bool
	// SinceLastAck is the time since the latest acknowledgement.
	SinceLastAck time.Duration
}

// errNoTCPInfo means that the kernel has no state of a connection.
var errNoTCPInfo = eris.New("no TCP state of the connection")

// ReadAckState returns the AckState of an open connection (TCP_INFO, see tcp(7)). An error
// means that the kernel does not provide it.
func ReadAckState(c net.Conn) (a AckState, err error) {
	n, err := UnacknowledgedBytes(c)
	if err != nil {
		return a, err
	}
	var info *unix.TCPInfo
	err = onSocket(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	switch {
	case err != nil:
		return a, eris.Wrap(err, "acknowledgements")
	case info.Snd_mss == 0 || info.Rto == 0:
		return a, errNoTCPInfo
	}
	return AckState{
		Outstanding:    n > 0,
		PeerWindowFull: info.Snd_wnd < info.Snd_mss,
		Retransmitting: info.Retransmits > 0 || info.Probes > 0,
		SinceLastAck:   time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// EnableKeepAlive makes the kernel probe the peer of an idle connection at the given interval,
// and end the connection after count probes in a row without a response. The kernel of a
// terminated process responds with a reset, and that of a running process acknowledges, however
// long the process sends nothing. A connection that is not a TCP socket is left unchanged.
func EnableKeepAlive(c net.Conn, interval time.Duration, count int) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	// With a user timeout, the first lost probe would end the connection.
	if err := SetUserTimeout(c, 0); err != nil {
		return err
	}
	err := t.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     interval,
		Interval: interval,
		Count:    count,
	})
	return eris.Wrap(err, "enable keep-alive probes")
}

// tcpClose is the state of a connection that neither side can use any more (TCP_CLOSE in tcp(7)).
const tcpClose = 7

// WasReset returns whether the peer has reset a connection, also if another call has received the error:
// the kernel reports it once. An error means that the kernel does not tell.
func WasReset(c net.Conn) (reset bool, err error) {
	err = onSocket(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		if info.State == 0 {
			return errNoTCPInfo
		}
		reset = info.State == tcpClose
		return nil
	})
	return reset, eris.Wrap(err, "state of the connection")
}
