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
const packetSize = 1500

// Host is an instance with one process, which may listen at one address: its name.
type Host struct {
	network  *Network
	name     string
	up, down *link
	listener *listener

	off       bool
	suspended time.Time // the process does nothing until then
	ends      []*end
	breaks    []ConnFailure
	heard     map[*Host]time.Time
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
	return slices.Clone(h.breaks)
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
		network: n,
		name:    name,
		heard:   make(map[*Host]time.Time),
	}
	h.up = &link{host: h}
	h.down = &link{host: h}
	n.hosts[name] = h
	return h
}

// Heard returns when the last packet from another host, be it an acknowledgement, has come,
// or the zero time.
func (h *Host) LastReceived(from *Host) time.Time {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.heard[from]
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
	n.carry(h, to, 0, func() {
		failure := error(syscall.ECONNREFUSED)
		if to.listener.take(far) {
			to.ends = append(to.ends, far)
			failure = nil
		}
		n.carry(to, h, 0, func() { opened <- failure })
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
	h.ends = append(h.ends, near)
	return near, nil
}

// carry brings a packet from one host to the other and then calls land, with the lock
// held. What hosts send to each other lands in the order in which it was sent. The lock is
// held.
func (n *Network) carry(from, to *Host, size int, land func()) {
	from.up.push(size, func() {
		to.down.push(size, func() {
			to.down.landing = append(to.down.landing, func() {
				to.heard[from] = time.Now()
				land()
			})
			n.after(n.Latency, func() {
				next := to.down.landing[0]
				to.down.landing = to.down.landing[1:]
				if !to.off {
					next()
				}
			})
		})
	})
}

// after calls f later, with the lock held.
func (n *Network) after(d time.Duration, f func()) {
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
	host    *Host
	queue   []packet
	busy    bool      // whether the first of the queue is being carried
	silent  time.Time // nothing is carried until then
	landing []func()  // what has been carried and is on its way
}

// packet is what waits for its turn on a link.
type packet struct {
	size    int
	carried func()
}

func (l *link) push(size int, carried func()) {
	l.queue = append(l.queue, packet{
		size:    size,
		carried: carried,
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
	var takes time.Duration
	if n.LinkBandwidth > 0 {
		takes = time.Duration(float64(l.queue[0].size) / n.LinkBandwidth * float64(time.Second))
	}
	n.after(max(takes, time.Until(l.silent)), l.carried)
}

// carried takes the first packet off the queue, unless the link has fallen silent meanwhile.
func (l *link) carried() {
	l.busy = false
	if wait := time.Until(l.silent); wait > 0 {
		l.next()
		return
	}
	p := l.queue[0]
	l.queue = l.queue[1:]
	if !l.host.off {
		p.carried()
	}
	l.next()
}

// SilenceUp has nothing leave the host for a time. What is sent meanwhile leaves after it.
func (h *Host) PauseUplink(d time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.up.silent = time.Now().Add(d)
}

// Silence has nothing leave or reach the host for a time. What is sent meanwhile is carried
// after it.
func (h *Host) PauseLink(d time.Duration) {
	h.PauseUplink(d)
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.down.silent = time.Now().Add(d)
}

// Suspend has the host's process neither read nor write for a time, while its kernel goes on.
// What it writes by the bubble's clock meanwhile is taken for written at the end of that time.
func (h *Host) SuspendProcess(d time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.suspended = time.Now().Add(d)
	h.network.after(d, h.wake)
}

// Lose has the next packet of each connection that the host sends on be lost, and its
// repetitions as well, so often in all. What comes after it waits. Each repetition comes
// after twice the time of the one before.
func (h *Host) DropPackets(times int) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	var wait time.Duration
	for i := range times {
		wait += retransmission << i
	}
	for _, e := range h.ends {
		e.out.lost = wait
	}
}

// retransmission is the time after which a lost packet is first sent again.
const retransmission = 200 * time.Millisecond

// PowerOff ends the host without a word: it sends and acknowledges nothing any more.
func (h *Host) PowerOff() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.off = true
}

// Reset has the host's kernel end its connections, as it does when the process is killed
// with bytes unread.
func (h *Host) ResetConnections() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for _, e := range h.ends {
		e.fail(net.ErrClosed)
		e.reset()
	}
	h.ends = nil
}

// wake has the operations of the host's process look again at what they wait for.
func (h *Host) wake() {
	for _, e := range h.ends {
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
func (l *listener) take(c net.Conn) bool {
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
