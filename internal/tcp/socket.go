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

// SetSilence changes for how long what was written to a connection may be without an
// acknowledgement. Zero means as long as the kernel allows by itself. Data for which the
// receiver has no room counts as unacknowledged, though its kernel answers: a receiver that
// reads late is then taken for a silent one. A connection that is no socket is left as it is.
func SetUserTimeout(c net.Conn, userTimeout time.Duration) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, userTimeout)
	}
	return eris.Wrap(err, "set the bound on silence")
}

// errNoSocket is that a connection is none of the kernel's.
var errNotSocket = eris.New("no socket")

// Unacknowledged returns how many bytes that were written to a connection the peer's kernel has not
// acknowledged (SIOCOUTQ, see tcp(7)).
func UnacknowledgedBytes(c net.Conn) (n int, err error) {
	err = onSocket(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, eris.Wrap(err, "unacknowledged bytes")
}

// onSocket calls f with the descriptor of a connection.
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

// Acknowledgement says what the peer's kernel has answered to what was written to a connection.
type AckState struct {
	// Outstanding is whether anything has not been acknowledged.
	Outstanding bool
	// Full is whether the peer's kernel has said that it has no room for more, as its process reads
	// nothing.
	PeerWindowFull bool
	// Repeated is whether the latest repetition of what is outstanding, or the latest question for
	// room, has not been answered.
	Retransmitting bool
	// Age is the time since the latest acknowledgement of anything.
	SinceLastAck time.Duration
}

// errNoState is that the kernel tells nothing of a connection.
var errNoTCPInfo = eris.New("no state of the connection")

// Acknowledged returns the Acknowledgement of a connection that is open (TCP_INFO, see tcp(7)). An
// error means that the kernel does not tell.
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

// Probe has the kernel ask the peer's for a connection on which nothing is said, each time that
// the given time has passed, and end it after count questions in a row without an answer. The
// kernel of a process that is gone answers by a reset, and that of one that works, however long
// it says nothing, acknowledges. A connection that is no TCP socket is left as it is.
func EnableKeepAlive(c net.Conn, interval time.Duration, count int) error {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	// With a bound on silence the first question that is lost would end the connection.
	if err := SetUserTimeout(c, 0); err != nil {
		return err
	}
	err := t.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     interval,
		Interval: interval,
		Count:    count,
	})
	return eris.Wrap(err, "probe a connection")
}
