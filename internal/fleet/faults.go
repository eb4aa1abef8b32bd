package fleet

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// PeerFault breaks the streams that other VMs opened to one VM, as a pause, a
// partition or a crash would. It stands between the socket and the daemon.
type PeerFault struct {
	net.Listener

	mu      sync.Mutex
	conns   map[*faultConn]struct{}
	refuse  bool
	reads   chan struct{}
	writes  chan struct{}
	waiting int
}

// flowing is a gate that lets everything through.
var flowing = closedChannel()

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func newPeerFault(ln net.Listener) *PeerFault {
	return &PeerFault{Listener: ln, conns: map[*faultConn]struct{}{}, reads: flowing, writes: flowing}
}

// Accept lets a peer in, or closes its connection at once while Refuse is set.
func (p *PeerFault) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if c := p.enter(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

func (p *PeerFault) enter(conn net.Conn) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse {
		return nil
	}
	c := &faultConn{Conn: conn, fault: p, closed: make(chan struct{})}
	p.conns[c] = struct{}{}
	return c
}

// HoldReads keeps what peers send from the daemon, as when it is paused.
func (p *PeerFault) HoldReads() { p.hold(&p.reads) }

// HoldWrites keeps what the daemon answers from its peers.
func (p *PeerFault) HoldWrites() { p.hold(&p.writes) }

func (p *PeerFault) hold(gate *chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *gate == flowing {
		*gate = make(chan struct{})
	}
}

// Release lets everything through again.
func (p *PeerFault) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, gate := range []*chan struct{}{&p.reads, &p.writes} {
		if *gate != flowing {
			close(*gate)
			*gate = flowing
		}
	}
	p.refuse = false
}

// Refuse turns away new streams until Release.
func (p *PeerFault) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = true
}

// Held is how many connections have something that a hold keeps back.
func (p *PeerFault) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

// Cut ends every stream; what a hold kept back is lost.
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

// pass waits until the gate is open; false when the connection was closed first.
func (p *PeerFault) pass(c *faultConn, gate *chan struct{}) bool {
	p.mu.Lock()
	open := *gate
	if open == flowing {
		p.mu.Unlock()
		return true
	}
	p.waiting++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	select {
	case <-open:
		return true
	case <-c.closed:
		return false
	}
}

// faultConn is one stream under faults.
type faultConn struct {
	net.Conn
	fault  *PeerFault
	once   sync.Once
	closed chan struct{}
}

// Read asks the gate after reading: the daemon waits in a read all the time, and
// bytes that come after a hold must not slip through that one.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.fault.pass(c, &c.fault.reads) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write asks the gate before writing.
func (c *faultConn) Write(b []byte) (int, error) {
	if !c.fault.pass(c, &c.fault.writes) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close ends the stream and what waits in it.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.fault.mu.Lock()
		delete(c.fault.conns, c)
		c.fault.mu.Unlock()
	})
	return c.Conn.Close()
}
