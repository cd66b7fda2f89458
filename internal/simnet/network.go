// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simnet

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Network connects hosts. The exported fields are set before the first host is added. Its
// methods may be called from any goroutine of the synctest bubble in which it was created.
type Network struct {
	// LinkBandwidth is the bandwidth of each direction of a host's link, in bytes per second.
	// Zero means no bound.
	LinkBandwidth float64
	// Latency is the time that a packet takes in addition to its transmission on the links.
	Latency time.Duration
	// WindowBytes bounds the bytes of a connection that are in flight or unread at the receiver.
	WindowBytes int
	// SendBufferBytes is the size of the send buffer of a connection. Zero means no bound. With
	// a bound, a writer that blocks while it holds a lock for which others wait stops the
	// bubble's clock.
	SendBufferBytes int
	// UserTimeout is how long written data may be without any acknowledgement. Zero means
	// no bound.
	UserTimeout time.Duration

	mu    sync.Mutex // guards the state of the network, its hosts and connections
	hosts map[string]*Host
}

// packetBytes is the largest payload of a packet.
const packetBytes = 1500

// Host is an instance with one process, which may listen at one address, the host's name.
type Host struct {
	network          *Network
	name             string
	uplink, downlink *link
	listener         *listener

	bandwidth      float64 // of each direction of the link, in bytes per second; 0 means no bound
	poweredOff     bool
	suspendedUntil time.Time // the process neither reads nor writes until then
	endpoints      []*endpoint
	failures       []ConnFailure
	lastReceived   map[*Host]time.Time
}

// ConnFailure is the failure of a connection, as found by a host's kernel.
type ConnFailure struct {
	// Peer is the host at the other end of the connection.
	Peer string
	// At is when the kernel ended the connection.
	At time.Time
	// Err is the error that the process gets.
	Err error
}

// ConnFailures returns the failures of the host's connections, in order.
func (h *Host) ConnFailures() []ConnFailure {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return slices.Clone(h.failures)
}

// Host returns the host with the given name, and adds it if there is none.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts[name]; h != nil {
		return h
	}
	if n.hosts == nil {
		n.hosts = make(map[string]*Host)
	}
	h := &Host{
		network:      n,
		name:         name,
		bandwidth:    n.LinkBandwidth,
		lastReceived: make(map[*Host]time.Time),
	}
	h.uplink = &link{host: h}
	h.downlink = &link{host: h}
	n.hosts[name] = h
	return h
}

// LastReceived returns when the last packet from another host, including acknowledgements,
// has arrived, or the zero time.
func (h *Host) LastReceived(from *Host) time.Time {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.lastReceived[from]
}

// Listen returns a listener at the host's name. A new listener replaces the previous one.
func (h *Host) Listen() net.Listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.listener = &listener{
		host:   h,
		accept: make(chan net.Conn, 64),
		closed: make(chan struct{}),
	}
	return h.listener
}

// Dial opens a connection to the host whose name is addr. If the host does not respond, Dial
// waits until ctx ends.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n := h.network
	to := n.Host(addr)
	near, far := h.connect(to)
	opened := make(chan error, 1)
	n.mu.Lock()
	n.transmit(h, to, 0, func() {
		failure := error(syscall.ECONNREFUSED)
		if to.listener.enqueue(far) {
			to.endpoints = append(to.endpoints, far)
			failure = nil
		}
		n.transmit(to, h, 0, func() { opened <- failure })
	})
	n.mu.Unlock()
	select {
	case err := <-opened:
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h.endpoints = append(h.endpoints, near)
	return near, nil
}

// transmit sends a packet from one host to another and then calls deliver with the lock held.
// Packets between two hosts arrive in the order in which they were sent. The lock is held.
func (n *Network) transmit(from, to *Host, size int, deliver func()) {
	from.uplink.push(size, func() {
		to.downlink.push(size, func() {
			to.downlink.inFlight = append(to.downlink.inFlight, func() {
				to.lastReceived[from] = time.Now()
				deliver()
			})
			n.schedule(n.Latency, func() {
				next := to.downlink.inFlight[0]
				to.downlink.inFlight = to.downlink.inFlight[1:]
				if !to.poweredOff {
					next()
				}
			})
		})
	})
}

// schedule calls f later, with the lock held.
func (n *Network) schedule(d time.Duration, f func()) {
	locked := func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		f()
	}
	if d <= 0 {
		// Timers of a bubble that expire at once and were set by several threads crash the
		// race detector of Go 1.26.
		go locked()
		return
	}
	time.AfterFunc(d, locked)
}

// link is one direction of a host's link. The network's lock guards it.
type link struct {
	host        *Host
	queue       []packet
	busy        bool      // whether the first packet of the queue is being transmitted
	pausedUntil time.Time // nothing is transmitted until then
	inFlight    []func()  // deliver packets that have been transmitted and are in flight
}

// packet is a packet that waits in the queue of a link.
type packet struct {
	size        int
	transmitted func()
}

func (l *link) push(size int, transmitted func()) {
	l.queue = append(l.queue, packet{
		size:        size,
		transmitted: transmitted,
	})
	l.next()
}

// next transmits the first packet of the queue.
func (l *link) next() {
	if l.busy || len(l.queue) == 0 {
		return
	}
	l.busy = true
	n := l.host.network
	var transmissionTime time.Duration
	if l.host.bandwidth > 0 {
		transmissionTime = time.Duration(float64(l.queue[0].size) / l.host.bandwidth * float64(time.Second))
	}
	n.schedule(max(transmissionTime, time.Until(l.pausedUntil)), l.transmitted)
}

// transmitted takes the first packet off the queue, unless the link has been paused meanwhile.
func (l *link) transmitted() {
	l.busy = false
	if wait := time.Until(l.pausedUntil); wait > 0 {
		l.next()
		return
	}
	p := l.queue[0]
	l.queue = l.queue[1:]
	if !l.host.poweredOff {
		p.transmitted()
	}
	l.next()
}

// SetBandwidth sets the bandwidth of each direction of the host's link, in bytes per second. Zero
// means no bound.
func (h *Host) SetBandwidth(bandwidth float64) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.bandwidth = bandwidth
}

// PauseUplink stops packets from leaving the host for a time. They are sent afterwards.
func (h *Host) PauseUplink(d time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.uplink.pausedUntil = time.Now().Add(d)
}

// PauseLink stops packets from leaving or reaching the host for a time. They are transmitted
// afterwards.
func (h *Host) PauseLink(d time.Duration) {
	h.PauseUplink(d)
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.downlink.pausedUntil = time.Now().Add(d)
}

// SuspendProcess makes the host's process neither read nor write for a time, while its kernel
// continues. Data written meanwhile, by the bubble's clock, counts as written at the end.
func (h *Host) SuspendProcess(d time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.suspendedUntil = time.Now().Add(d)
	h.network.schedule(d, h.wake)
}

// DropPackets loses the next packet that is sent on each connection of the host, and its
// retransmissions, the given number of times in all. Later packets wait for it. The delay of
// each retransmission is twice that of the one before.
func (h *Host) DropPackets(times int) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	var wait time.Duration
	for i := range times {
		wait += retransmissionTimeout << i
	}
	for _, e := range h.endpoints {
		e.out.retransmitDelay = wait
	}
}

// retransmissionTimeout is the time after which a lost packet is first retransmitted.
const retransmissionTimeout = 200 * time.Millisecond

// PowerOff stops the host without notice: it no longer sends or acknowledges anything.
func (h *Host) PowerOff() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.poweredOff = true
}

// ResetConnections makes the host's kernel reset its connections, as it does when the process
// is killed with unread data.
func (h *Host) ResetConnections() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for _, e := range h.endpoints {
		e.fail(net.ErrClosed)
		e.reset()
	}
	h.endpoints = nil
}

// SilenceConnections loses all packets of the host's open connections from now on, those in flight included. Neither
// process is told. New connections work.
func (h *Host) SilenceConnections() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for _, e := range h.endpoints {
		e.silenced = true
		e.remote.silenced = true
	}
}

// SilenceConnectionsTo does what SilenceConnections does, with the connections to one host.
func (h *Host) SilenceConnectionsTo(other *Host) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for _, e := range h.endpoints {
		if e.remote.host == other {
			e.silenced = true
			e.remote.silenced = true
		}
	}
}

// wake makes pending operations of the host's process check their conditions again.
func (h *Host) wake() {
	for _, e := range h.endpoints {
		e.send()
		e.wake.Broadcast()
	}
}

// listener implements net.Listener.
type listener struct {
	host   *Host
	accept chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// enqueue passes a connection to the process, and returns whether it listens.
func (l *listener) enqueue(c net.Conn) bool {
	if l == nil {
		return false
	}
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.accept <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.host.name) }

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (a address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
