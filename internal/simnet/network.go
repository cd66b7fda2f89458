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
// methods may be called from any goroutine of the bubble that it was made in.
type Network struct {
	// Rate is what each direction of a host's link carries, in bytes per second. Zero means
	// no bound.
	LinkBandwidth float64
	// Delay is what a packet takes beside its time on the links.
	Latency time.Duration
	// Window is what may be on its way on a connection, and unread at its receiver, in bytes.
	WindowBytes int
	// Buffer is what a sender's kernel holds of a connection, in bytes. Zero means no bound:
	// writers that wait for a lock which one holds that waits for room stop the bubble's clock.
	SendBufferBytes int
	// Timeout is how long what was written may be without any acknowledgement. Zero means
	// for ever.
	UserTimeout time.Duration

	mu    sync.Mutex // guards all that the network consists of
	hosts map[string]*Host
}

// packetSize is the most that one packet carries, in bytes.
const packetBytes = 1500

// Host is an instance with one process, which may listen at one address: its name.
type Host struct {
	network          *Network
	name             string
	uplink, downlink *link
	listener         *listener

	poweredOff     bool
	suspendedUntil time.Time // the process does nothing until then
	endpoints      []*endpoint
	failures       []ConnFailure
	lastReceived   map[*Host]time.Time
}

// Break is the end of a connection that a host's kernel has found broken, or broken off.
type ConnFailure struct {
	// Peer is the host at the other end.
	Peer string
	// At is when the kernel ended it.
	At time.Time
	// Err is what the process is told.
	Err error
}

// Breaks returns the connections of the host that its kernel has ended, in order.
func (h *Host) ConnFailures() []ConnFailure {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return slices.Clone(h.failures)
}

// Host returns the host of the given name, and adds it if there is none.
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
		lastReceived: make(map[*Host]time.Time),
	}
	h.uplink = &link{host: h}
	h.downlink = &link{host: h}
	n.hosts[name] = h
	return h
}

// Heard returns when the last packet from another host, be it an acknowledgement, has come,
// or the zero time.
func (h *Host) LastReceived(from *Host) time.Time {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.lastReceived[from]
}

// Listen returns a listener at the host's name. There is one at a time.
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

// Dial opens a connection to the host whose name is addr. It waits for as long as ctx lasts
// if the host does not answer.
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

// carry brings a packet from one host to the other and then calls land, with the lock
// held. What hosts send to each other lands in the order in which it was sent. The lock is
// held.
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

// after calls f later, with the lock held.
func (n *Network) schedule(d time.Duration, f func()) {
	locked := func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		f()
	}
	if d <= 0 {
		// A bubble's timers that are due at once and set by several threads crash the
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
	busy        bool      // whether the first of the queue is being carried
	pausedUntil time.Time // nothing is carried until then
	inFlight    []func()  // what has been carried and is on its way
}

// packet is what waits for its turn on a link.
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

// next has the first packet of the queue carried.
func (l *link) next() {
	if l.busy || len(l.queue) == 0 {
		return
	}
	l.busy = true
	n := l.host.network
	var transmissionTime time.Duration
	if n.LinkBandwidth > 0 {
		transmissionTime = time.Duration(float64(l.queue[0].size) / n.LinkBandwidth * float64(time.Second))
	}
	n.schedule(max(transmissionTime, time.Until(l.pausedUntil)), l.transmitted)
}

// carried takes the first packet off the queue, unless the link has fallen silent meanwhile.
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

// SilenceUp has nothing leave the host for a time. What is sent meanwhile leaves after it.
func (h *Host) PauseUplink(d time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.uplink.pausedUntil = time.Now().Add(d)
}

// Silence has nothing leave or reach the host for a time. What is sent meanwhile is carried
// after it.
func (h *Host) PauseLink(d time.Duration) {
	h.PauseUplink(d)
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.downlink.pausedUntil = time.Now().Add(d)
}

// Suspend has the host's process neither read nor write for a time, while its kernel goes on.
// What it writes by the bubble's clock meanwhile is taken for written at the end of that time.
func (h *Host) SuspendProcess(d time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.suspendedUntil = time.Now().Add(d)
	h.network.schedule(d, h.wake)
}

// Lose has the next packet of each connection that the host sends on be lost, and its
// repetitions as well, so often in all. What comes after it waits. Each repetition comes
// after twice the time of the one before.
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

// retransmission is the time after which a lost packet is first sent again.
const retransmissionTimeout = 200 * time.Millisecond

// PowerOff ends the host without a word: it sends and acknowledges nothing any more.
func (h *Host) PowerOff() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.poweredOff = true
}

// Reset has the host's kernel end its connections, as it does when the process is killed
// with bytes unread.
func (h *Host) ResetConnections() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for _, e := range h.endpoints {
		e.fail(net.ErrClosed)
		e.reset()
	}
	h.endpoints = nil
}

// wake has the operations of the host's process look again at what they wait for.
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

// take hands a connection to the process, and returns whether it listens.
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
