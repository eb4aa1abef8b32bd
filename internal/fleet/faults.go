package fleet

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// PeerFault injects faults into the streams that other VMs opened to one VM, to
// simulate a pause, a partition or a crash. It wraps the daemon's peer listener.
type PeerFault struct {
	net.Listener

	mu     sync.Mutex
	conns  map[*faultConn]struct{}
	refuse bool
	// readGate and writeGate are closed channels while data may pass.
	readGate  chan struct{}
	writeGate chan struct{}
	// blocked counts the reads and writes that wait at a gate.
	blocked int
}

// openGate is a gate that lets all data pass.
var openGate = closedChannel()

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func newPeerFault(ln net.Listener) *PeerFault {
	return &PeerFault{Listener: ln, conns: map[*faultConn]struct{}{}, readGate: openGate, writeGate: openGate}
}

// Accept returns the next connection of a peer. After Refuse it closes new
// connections at once.
func (p *PeerFault) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if c := p.track(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// track registers a connection; it returns nil after Refuse.
func (p *PeerFault) track(conn net.Conn) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse {
		return nil
	}
	c := &faultConn{Conn: conn, fault: p, closed: make(chan struct{})}
	p.conns[c] = struct{}{}
	return c
}

// HoldReads holds back data from peers to the daemon, as if it were paused.
func (p *PeerFault) HoldReads() { p.hold(&p.readGate) }

// HoldWrites holds back the daemon's data to its peers.
func (p *PeerFault) HoldWrites() { p.hold(&p.writeGate) }

func (p *PeerFault) hold(gate *chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *gate == openGate {
		*gate = make(chan struct{})
	}
}

// Release ends HoldReads, HoldWrites and Refuse.
func (p *PeerFault) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, gate := range []*chan struct{}{&p.readGate, &p.writeGate} {
		if *gate != openGate {
			close(*gate)
			*gate = openGate
		}
	}
	p.refuse = false
}

// Refuse rejects new streams until Release.
func (p *PeerFault) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = true
}

// Blocked returns the number of reads and writes that are being held back.
func (p *PeerFault) Blocked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked
}

// Cut closes every stream; data held back is lost.
func (p *PeerFault) Cut() {
	p.mu.Lock()
	conns := make([]*faultConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// waitGate waits until the gate is open and returns true, or returns false if the
// connection is closed first.
func (p *PeerFault) waitGate(c *faultConn, gate *chan struct{}) bool {
	p.mu.Lock()
	ready := *gate
	if ready == openGate {
		p.mu.Unlock()
		return true
	}
	p.blocked++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.blocked--
		p.mu.Unlock()
	}()
	select {
	case <-ready:
		return true
	case <-c.closed:
		return false
	}
}

// faultConn is one stream subject to the faults of a PeerFault.
type faultConn struct {
	net.Conn
	fault  *PeerFault
	once   sync.Once
	closed chan struct{}
}

// Read waits at the gate after reading. The daemon always has a read pending, which
// would otherwise deliver the first bytes that arrive after HoldReads.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.fault.waitGate(c, &c.fault.readGate) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write waits at the gate before writing.
func (c *faultConn) Write(b []byte) (int, error) {
	if !c.fault.waitGate(c, &c.fault.writeGate) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close closes the stream and unblocks its reads and writes.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.fault.mu.Lock()
		delete(c.fault.conns, c)
		c.fault.mu.Unlock()
	})
	return c.Conn.Close()
}
