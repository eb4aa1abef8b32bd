package direct

import (
	"bufio"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
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

// Health asks an upstream's health path over a connection of its own. An answer of another
// upstream, which has the address by now, is an error.
func (p *Pools) Health(u *catalog.Upstream, path string) (Health, error) {
	end := time.Now().Add(healthTimeout)
	nc, err := net.DialTimeout("tcp", u.Address, healthTimeout)
	if err != nil {
		return Health{}, trace.Wrap(err)
	}
	// It carries one call.
	defer nc.Close()
	p.counter.Opened(u)
	if err := nc.SetDeadline(end); err != nil {
		return Health{}, trace.Wrap(err)
	}
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI(path)
	req.Header.SetHost(u.Address)
	req.SetConnectionClose()
	if _, err := req.WriteTo(nc); err != nil {
		return Health{}, trace.Wrap(err)
	}
	if err := resp.ReadLimitBody(bufio.NewReader(nc), bufferBytes); err != nil {
		return Health{}, trace.Wrap(err)
	}
	h, err := p.protocol.DecodeHealth(&resp)
	if err == nil && h.Upstream != u.ID {
		err = trace.NotFound("the address is %s's by now", h.Upstream)
	}
	return h, trace.Wrap(err)
}
