package direct

import (
	"bufio"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// healthTimeout bounds a call to a health path: ten round trips between regions.
const healthTimeout = 300 * time.Millisecond

// Health is what an upstream says of itself.
type Health struct {
	// Upstream is the id of the process that answered.
	Upstream string
	// ColdFor is how much longer it is cold.
	ColdFor time.Duration
}

// CheckHealth asks an upstream's health path over a connection of its own, and tells the
// observer how that ended.
func (p *Pools) CheckHealth(u *catalog.Upstream, path string) {
	begun := time.Now()
	h, err := p.dialHealth(u, path)
	p.observer.HealthAnswered(u, begun, h, err)
}

func (p *Pools) dialHealth(u *catalog.Upstream, path string) (Health, error) {
	nc, err := net.DialTimeout("tcp", u.Address, healthTimeout)
	if err != nil {
		return Health{}, trace.Wrap(err)
	}
	// It carries one call.
	defer nc.Close()
	p.observer.Opened(u)
	counted := traffic.CountConn(nc, func(n int) { p.observer.HealthBytes(u, n) })
	return askHealth(counted, bufio.NewReader(counted), p.protocol, u, path)
}

// askHealth asks for an upstream's health over a connection. An answer of another upstream,
// which has the address by now, is an error, and so is one after which the connection ends.
func askHealth(nc net.Conn, br *bufio.Reader, protocol Protocol, u *catalog.Upstream, path string) (Health, error) {
	if err := nc.SetDeadline(time.Now().Add(healthTimeout)); err != nil {
		return Health{}, trace.Wrap(err)
	}
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI(path)
	req.Header.SetHost(u.Address)
	if _, err := req.WriteTo(nc); err != nil {
		return Health{}, trace.Wrap(err)
	}
	if err := resp.ReadLimitBody(br, bufferBytes); err != nil {
		return Health{}, trace.Wrap(err)
	}
	if resp.ConnectionClose() {
		return Health{}, trace.ConnectionProblem(nil, "the upstream ends the connection")
	}
	h, err := protocol.DecodeHealth(&resp)
	if err == nil && h.Upstream != u.ID {
		err = trace.NotFound("the address is %s's by now", h.Upstream)
	}
	return h, trace.Wrap(err)
}

// greet asks the upstream for its health before the first call, where that is to be known of
// each connection: only so is it certain which process it leads to.
func (c *conn) greet(nc net.Conn) error {
	u, observer := c.pool.upstream, c.pool.observer
	path := observer.HealthPath(u)
	if path == "" {
		return nil
	}
	begun := time.Now()
	h, err := askHealth(nc, c.br, c.pool.protocol, u, path)
	observer.HealthBytes(u, int(c.bytes.Swap(0)))
	observer.HealthAnswered(u, begun, h, err)
	return trace.Wrap(err)
}
