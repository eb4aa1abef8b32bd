// Package traffic counts the bytes that a VM exchanges, by what they are for and how far
// they go. Bytes between data centres and regions are paid for; without these counts
// nobody can tell which part of the system spends them.
//
// What VMs exchange with each other is counted on one side, so that sums over a fleet
// count it once: datagrams by their sender, pages and lists by the VM that asked. Counted
// are the payloads of TCP and UDP, without their headers.
package traffic

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/locality"
)

// Purpose is what bytes are for.
type Purpose int

// Purposes.
const (
	// Part is first sends to upstreams, with their answers.
	Part Purpose = iota
	// Extra is retries and hedges, with their answers.
	Extra
	// Health is health checks of upstreams, with their answers.
	Health
	// Gossip is datagrams between VMs.
	Gossip
	// Members is lists of members, for processes that start.
	Members
	// Page is pages of what is known of the store, between VMs.
	Page
	// Directory is the directory's questions and answers.
	Directory
	// Store is what is read of the platform's store.
	Store
	purposes
)

// String is the purpose's name in logs and metrics.
func (p Purpose) String() string {
	return [...]string{"part", "extra", "health", "gossip", "members", "page", "directory", "store"}[p]
}

// slots is the distances counted: the known ones and Unknown.
const slots = locality.Unknown + 1

// Counts is bytes by purpose and distance, and connections opened by distance.
type Counts struct {
	Bytes  [purposes][slots]uint64
	Opened [slots]uint64
}

// Minus is what was counted since an earlier moment.
func (c Counts) Minus(earlier Counts) Counts {
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

// Meter counts. It is safe for concurrent use; the zero value has counted nothing.
type Meter struct {
	bytes  [purposes][slots]atomic.Uint64
	opened [slots]atomic.Uint64
}

// Add counts bytes.
func (m *Meter) Add(p Purpose, d locality.Distance, bytes int) {
	m.bytes[p][d].Add(uint64(bytes))
}

// Opened counts a connection opened to an upstream.
func (m *Meter) Opened(d locality.Distance) { m.opened[d].Add(1) }

// Counts is what was counted so far.
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

// Listener counts the bytes of the connections that a listener accepts. Who connects
// tells no place.
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

// Conn counts the bytes of a connection, both ways.
func (m *Meter) Conn(c net.Conn, p Purpose, d locality.Distance) net.Conn {
	return &conn{Conn: c, count: func(n int) { m.Add(p, d, n) }}
}

// CountConn gives the number of bytes of each read and write of a connection to count.
func CountConn(c net.Conn, count func(bytes int)) net.Conn { return &conn{c, count} }

type conn struct {
	net.Conn
	count func(bytes int)
}

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
