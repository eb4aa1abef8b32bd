// Package traffic counts the bytes that a VM exchanges by purpose and distance. Bytes between
// data centres and regions cost money, and these counts show which part of the system
// causes them.
//
// Bytes exchanged between VMs are counted on one side only, so that a sum over the fleet
// includes them once: datagrams are counted by the sender, catalog pages and member lists by
// the VM that requested them. The counts cover the payloads of TCP and UDP without headers.
package traffic

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/locality"
)

// Purpose is the purpose for which bytes are exchanged.
type Purpose int

// Purposes.
const (
	// Part counts first attempts at upstreams, requests and replies.
	Part Purpose = iota
	// Extra counts retries and hedges, requests and replies.
	Extra
	// Health counts health checks of upstreams, requests and replies.
	Health
	// Gossip counts datagrams between VMs.
	Gossip
	// Members counts member lists requested by starting processes.
	Members
	// Page counts catalog pages pulled from other VMs.
	Page
	// Directory counts requests to the directory and its replies.
	Directory
	// Store counts reads of the platform's store.
	Store
	purposeCount
)

// String returns the name of the purpose in logs and metrics.
func (p Purpose) String() string {
	return [...]string{"part", "extra", "health", "gossip", "members", "page", "directory", "store"}[p]
}

// distanceCount is the number of distances, including Unknown.
const distanceCount = locality.Unknown + 1

// Counts holds the bytes exchanged by purpose and distance, and the connections opened to
// upstreams by distance.
type Counts struct {
	Bytes  [purposeCount][distanceCount]uint64
	Opened [distanceCount]uint64
}

// Sub returns the difference between c and earlier counts of the same meter.
func (c Counts) Sub(earlier Counts) Counts {
	for p := range c.Bytes {
		for d := range c.Bytes[p] {
			c.Bytes[p][d] -= earlier.Bytes[p][d]
		}
	}
	for d := range c.Opened {
		c.Opened[d] -= earlier.Opened[d]
	}
	return c
}

// Meter counts bytes and connections. The zero value is ready to use. It is safe for
// concurrent use.
type Meter struct {
	bytes  [purposeCount][distanceCount]atomic.Uint64
	opened [distanceCount]atomic.Uint64
}

// Add counts bytes exchanged for a purpose over a distance.
func (m *Meter) Add(p Purpose, d locality.Distance, bytes int) {
	m.bytes[p][d].Add(uint64(bytes))
}

// Opened counts a connection opened to an upstream.
func (m *Meter) Opened(d locality.Distance) { m.opened[d].Add(1) }

// Counts returns the current counts.
func (m *Meter) Counts() Counts {
	var c Counts
	for p := range c.Bytes {
		for d := range c.Bytes[p] {
			c.Bytes[p][d] = m.bytes[p][d].Load()
		}
	}
	for d := range c.Opened {
		c.Opened[d] = m.opened[d].Load()
	}
	return c
}

// Listener returns a listener that counts the bytes of all connections accepted by ln. Their
// distance is Unknown, since peers do not identify their location.
func (m *Meter) Listener(ln net.Listener, p Purpose) net.Listener {
	return listener{ln, m, p}
}

type listener struct {
	net.Listener
	meter   *Meter
	purpose Purpose
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c, l.purpose, locality.Unknown), nil
}

// SyscallConn implements syscall.Conn.
func (l listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, trace.NotImplemented("%T is not a socket", l.Listener)
	}
	return socket.SyscallConn()
}

// Conn returns a connection that counts the bytes read from and written to c.
func (m *Meter) Conn(c net.Conn, p Purpose, d locality.Distance) net.Conn {
	return &conn{Conn: c, count: func(n int) { m.Add(p, d, n) }}
}

// CountConn returns a connection that calls count with the number of bytes of each read and
// write on c.
func CountConn(c net.Conn, count func(bytes int)) net.Conn { return &conn{c, count} }

type conn struct {
	net.Conn
	count func(bytes int)
}

// NetConn returns the connection whose bytes are counted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

var (
	bytesTotal = prometheus.NewDesc("sycamorekeel_traffic_bytes_total",
		"Bytes exchanged with VMs, upstreams, callers of the directory and the store, by purpose and distance.", []string{"purpose", "distance"}, nil)
	openedTotal = prometheus.NewDesc("sycamorekeel_traffic_upstream_connections_total",
		"Connections opened to upstreams by distance.", []string{"distance"}, nil)
)

// Describe implements prometheus.Collector.
func (m *Meter) Describe(out chan<- *prometheus.Desc) {
	out <- bytesTotal
	out <- openedTotal
}

// Collect implements prometheus.Collector.
func (m *Meter) Collect(out chan<- prometheus.Metric) {
	counter := func(desc *prometheus.Desc, n uint64, labels ...string) {
		if n > 0 {
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), labels...)
		}
	}
	c := m.Counts()
	for p := range c.Bytes {
		for d, n := range c.Bytes[p] {
			counter(bytesTotal, n, Purpose(p).String(), locality.Distance(d).String())
		}
	}
	for d, n := range c.Opened {
		counter(openedTotal, n, locality.Distance(d).String())
	}
}
