package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cutDialTimeout is how long a dial across a cut takes to fail.
const cutDialTimeout = time.Second

// direction identifies the traffic from one VM to another.
type direction struct{ from, to string }

// network simulates the network between the VMs of a fleet. It can cut a single
// direction between two VMs. Stream data sent across a cut is held and delivered
// once the cut is healed, as TCP retransmits it; datagrams are lost.
//
// Lock order: network.mu is a leaf and is not held across I/O.
type network struct {
	mu sync.Mutex
	// vms maps peer addresses to VM names.
	vms map[string]string
	cut map[direction]bool
	// changed is closed and replaced on every change of cut.
	changed chan struct{}
}

func newNetwork() *network {
	return &network{vms: map[string]string{}, cut: map[direction]bool{}, changed: make(chan struct{})}
}

func (n *network) register(vm, peerAddress string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[peerAddress] = vm
}

func (n *network) vmAt(peerAddress string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[peerAddress]
}

func (n *network) setCut(d direction, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[d] = true
	} else {
		delete(n.cut, d)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.changed)
	n.changed = make(chan struct{})
}

// cutState reports whether a direction is cut, and returns a channel that is
// closed when any cut changes.
func (n *network) cutState(d direction) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[d], n.changed
}

// waitOpen waits until a direction is not cut and returns true, or returns false
// if done is closed first.
func (n *network) waitOpen(d direction, done <-chan struct{}) bool {
	for {
		cut, changed := n.cutState(d)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// connTracker tracks all connections of one VM's process, so that Kill can close
// them at once.
//
// Lock order: connTracker.mu is a leaf and is not held across I/O.
type connTracker struct {
	vm  string
	net *network

	mu    sync.Mutex
	dead  bool
	conns map[*conn]struct{}
	// killed is closed when dead is set.
	killed chan struct{}
}

func newConnTracker(vm string, n *network) *connTracker {
	return &connTracker{vm: vm, net: n, conns: map[*conn]struct{}{}, killed: make(chan struct{})}
}

// kill closes every connection and rejects new ones.
func (t *connTracker) kill() {
	t.mu.Lock()
	if t.dead {
		t.mu.Unlock()
		return
	}
	t.dead = true
	close(t.killed)
	conns := t.conns
	t.conns = map[*conn]struct{}{}
	t.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// track registers a connection, or closes it if the process was killed. peer is
// the VM at the other end, or empty when traffic with it cannot be cut.
func (t *connTracker) track(raw net.Conn, peer string) (net.Conn, error) {
	c := &conn{Conn: raw, tracker: t, peer: peer, closed: make(chan struct{})}
	t.mu.Lock()
	dead := t.dead
	if !dead {
		t.conns[c] = struct{}{}
	}
	t.mu.Unlock()
	if dead {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

func (t *connTracker) untrack(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// wrapListener tracks the connections that ln accepts.
func (t *connTracker) wrapListener(ln net.Listener) net.Listener {
	return &listener{Listener: ln, tracker: t, closing: newSharedClose()}
}

type listener struct {
	net.Listener
	tracker *connTracker
	closing *sharedClose
}

// Close returns once the socket is closed.
func (l *listener) Close() error { return l.closing.do(l.Listener.Close) }

// sharedClose closes a socket once, and lets every caller wait until it is closed. Of two
// concurrent Close calls on a socket of package net, the second returns at once, while the first
// still waits for a blocked reader to leave the socket. Kill and the daemon both close the
// sockets, and Restart listens again on their addresses once Kill has returned.
type sharedClose struct {
	begun  atomic.Bool
	closed chan struct{}
	// err is valid once closed is closed.
	err error
}

func newSharedClose() *sharedClose { return &sharedClose{closed: make(chan struct{})} }

func (c *sharedClose) do(closeSocket func() error) error {
	if !c.begun.Swap(true) {
		c.err = closeSocket()
		close(c.closed)
	}
	<-c.closed
	return c.err
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(raw, "")
}

func (t *connTracker) dialUpstream(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return t.dial(ctx, address, "")
}

// dialPeer connects to another VM. It times out when either direction is cut, as
// a TCP handshake needs both.
func (t *connTracker) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	peer := t.net.vmAt(address)
	cutTo, _ := t.net.cutState(direction{t.vm, peer})
	cutFrom, _ := t.net.cutState(direction{peer, t.vm})
	if !cutTo && !cutFrom {
		return t.dial(ctx, address, peer)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.killed:
		return nil, net.ErrClosed
	case <-time.After(cutDialTimeout):
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
}

func (t *connTracker) dial(ctx context.Context, address, peer string) (net.Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return t.track(raw, peer)
}

// conn is a connection of a VM. peer is the VM at the other end if this VM dialled
// it, else empty.
type conn struct {
	net.Conn
	tracker *connTracker
	peer    string
	once    sync.Once
	closed  chan struct{}
}

// Read holds back received data while the direction from the peer is cut.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.peer != "" && !c.tracker.net.waitOpen(direction{c.peer, c.tracker.vm}, c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write blocks while the direction to the peer is cut.
func (c *conn) Write(b []byte) (int, error) {
	if c.peer != "" && !c.tracker.net.waitOpen(direction{c.tracker.vm, c.peer}, c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// SyscallConn gives clients access to the raw socket, as a *net.TCPConn does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.tracker.untrack(c)
	})
	return c.Conn.Close()
}

// wrapPacketConn drops datagrams that the VM sends across a cut or after Kill.
func (t *connTracker) wrapPacketConn(pc net.PacketConn) net.PacketConn {
	return &packetConn{PacketConn: pc, tracker: t, closing: newSharedClose()}
}

type packetConn struct {
	net.PacketConn
	tracker *connTracker
	closing *sharedClose
}

// Close returns once the socket is closed.
func (p *packetConn) Close() error { return p.closing.do(p.PacketConn.Close) }

// WriteTo silently drops datagrams across a cut or after Kill.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	cut, _ := p.tracker.net.cutState(direction{p.tracker.vm, p.tracker.net.vmAt(to.String())})
	select {
	case <-p.tracker.killed:
		return len(b), nil
	default:
	}
	if cut {
		return len(b), nil
	}
	return p.PacketConn.WriteTo(b, to)
}
