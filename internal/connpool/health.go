package connpool

import (
	"bufio"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

// healthTimeout limits a health check, after the connection is open: ten round trips
// between regions. It also limits the dial of CheckHealth.
const healthTimeout = 300 * time.Millisecond

// Health is an upstream's response to a health check.
type Health struct {
	// Upstream is the id of the upstream that responded.
	Upstream string
	// ColdFor is the remaining time until the upstream is warm; 0 when it is.
	ColdFor time.Duration
}

// CheckHealth checks an upstream's health over a new connection and passes the result to
// the observer.
func (p *Pools) CheckHealth(u *catalog.Upstream, path string) {
	begun := time.Now()
	h, err := p.dialHealth(u, path)
	p.observer.HealthChecked(u, begun, h, err)
}

func (p *Pools) dialHealth(u *catalog.Upstream, path string) (Health, error) {
	nc, err := net.DialTimeout("tcp", u.Address, healthTimeout)
	if err != nil {
		return Health{}, trace.Wrap(err)
	}
	// The connection carries only this health check.
	defer nc.Close()
	p.observer.ConnectionOpened(u)
	counted := traffic.CountConn(nc, func(n int) { p.observer.HealthBytes(u, n) })
	responses := responsecheck.NewReader(counted)
	h, err := requestHealth(counted, bufio.NewReader(responses), p.protocol, u, path)
	return h, checkedError(responses, p.observer, err)
}

// requestHealth performs a health check over an open connection. A response of another
// upstream, which has taken over the address, is an error, and so is a response that
// closes the connection.
func requestHealth(nc net.Conn, br *bufio.Reader, protocol Protocol, u *catalog.Upstream, path string) (Health, error) {
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
		return Health{}, trace.ConnectionProblem(nil, "upstream %q closes the connection after its health response", u.ID)
	}
	h, err := protocol.DecodeHealth(&resp)
	if err == nil && h.Upstream != u.ID {
		err = trace.NotFound("address %s belongs to upstream %q, not %q", u.Address, h.Upstream, u.ID)
	}
	return h, trace.Wrap(err)
}

// checkHealth checks the upstream's health before the first call of a connection, if the
// observer names a health path. Only the response shows which process the connection
// leads to.
func (c *conn) checkHealth(nc net.Conn) error {
	u, observer := c.pool.upstream, c.pool.observer
	path := observer.HealthPath(u)
	if path == "" {
		return nil
	}
	begun := time.Now()
	h, err := requestHealth(nc, c.br, c.pool.protocol, u, path)
	err = checkedError(c.responses, observer, err)
	observer.HealthBytes(u, int(c.bytes.Swap(0)))
	observer.HealthChecked(u, begun, h, err)
	return trace.Wrap(err)
}

// checkedError returns how the response of a failed health check was malformed, or err.
func checkedError(responses *responsecheck.Reader, observer Observer, err error) error {
	malformed := responses.Malformed()
	if err == nil || malformed == nil {
		return err
	}
	observer.ResponseMalformed(malformed.Rule)
	return malformed
}
