package fleet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// dialPatience is how long a dial across a cut waits: nobody answers it.
const dialPatience = time.Second

// direction is the way of packets from one VM to another.
type direction struct{ from, to string }

// network is what the VMs of a fleet reach each other by. It can cut one
// direction between two VMs: what is written then is held, as TCP would go on
// repeating it, and is delivered after the cut is healed.
//
// Lock order: network.mu is a leaf; it is not held across I/O.
type network struct {
	mu sync.Mutex
	// vms by peer address.
	vms map[string]string
	cut map[direction]bool
	// changed is closed and replaced at each change of cut.
	changed chan struct{}
}

func newNetwork() *network {
	return &network{vms: map[string]string{}, cut: map[direction]bool{}, changed: make(chan struct{})}
}

func (n *network) place(vm, peerAddress string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[peerAddress] = vm
}

func (n *network) vmAt(peerAddress string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[peerAddress]
}

func (n *network) set(d direction, cut bool) {
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

// state tells whether a direction is cut, and what ends that.
func (n *network) state(d direction) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[d], n.changed
}

// await returns when the direction is open; false when gone came first.
func (n *network) await(d direction, gone <-chan struct{}) bool {
	for {
		cut, changed := n.state(d)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-gone:
			return false
		}
	}
}

// wire is every connection of one VM's process, so that its death can cut them
// all at once.
//
// Lock order: wire.mu is a leaf; it is not held across I/O.
type wire struct {
	vm  string
	net *network

	mu     sync.Mutex
	dead   bool
	open   map[*conn]struct{}
	closed chan struct{}
}

func newWire(vm string, n *network) *wire {
	return &wire{vm: vm, net: n, open: map[*conn]struct{}{}, closed: make(chan struct{})}
}

// kill closes every connection and refuses further ones.
func (w *wire) kill() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	close(w.closed)
	open := w.open
	w.open = map[*conn]struct{}{}
	w.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// track registers a connection; after the death it is closed at once.
func (w *wire) track(raw net.Conn, peer string) (net.Conn, error) {
	c := &conn{Conn: raw, wire: w, peer: peer, gone: make(chan struct{})}
	w.mu.Lock()
	dead := w.dead
	if !dead {
		w.open[c] = struct{}{}
	}
	w.mu.Unlock()
	if dead {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

func (w *wire) forget(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, c)
}

// listen tracks what ln accepts.
func (w *wire) listen(ln net.Listener) net.Listener {
	return &listener{Listener: ln, wire: w}
}

type listener struct {
	net.Listener
	wire *wire
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wire.track(raw, "")
}

func (w *wire) dialUpstream(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return w.dial(ctx, address, "")
}

// dialPeer fails after a while when either direction is cut: a connection needs
// both.
func (w *wire) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	peer := w.net.vmAt(address)
	there, _ := w.net.state(direction{w.vm, peer})
	back, _ := w.net.state(direction{peer, w.vm})
	if !there && !back {
		return w.dial(ctx, address, peer)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.closed:
		return nil, net.ErrClosed
	case <-time.After(dialPatience):
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
}

func (w *wire) dial(ctx context.Context, address, peer string) (net.Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return w.track(raw, peer)
}

// conn is a connection of a VM; peer is the VM at the other end when this one
// dialled it.
type conn struct {
	net.Conn
	wire *wire
	peer string
	once sync.Once
	gone chan struct{}
}

// Read holds back what came while the way from the peer is cut.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.peer != "" && !c.wire.net.await(direction{c.peer, c.wire.vm}, c.gone) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if c.peer != "" && !c.wire.net.await(direction{c.wire.vm, c.peer}, c.gone) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// SyscallConn lets a client look at the socket, as it would without this layer.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.gone)
		c.wire.forget(c)
	})
	return c.Conn.Close()
}

// packets filters the datagrams of one VM.
func (w *wire) packets(pc net.PacketConn) net.PacketConn {
	return &packetConn{PacketConn: pc, wire: w}
}

type packetConn struct {
	net.PacketConn
	wire *wire
}

// WriteTo loses what goes over a cut or comes from the dead.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	cut, _ := p.wire.net.state(direction{p.wire.vm, p.wire.net.vmAt(to.String())})
	select {
	case <-p.wire.closed:
		return len(b), nil
	default:
	}
	if cut {
		return len(b), nil
	}
	return p.PacketConn.WriteTo(b, to)
}
