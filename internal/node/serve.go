package node

import (
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/membudget"
	"sycamorekeel.example/sycamorekeel/internal/placement"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// callerReadBufferSize is the read buffer of a caller's connection and therefore
	// the maximum size of a request's head: the 16 KiB that configurations allow plus
	// the request line.
	callerReadBufferSize = 18 << 10
	// smallBufferSize is the buffer size of connections that only carry small messages.
	smallBufferSize = 4 << 10
	// callerIdleTimeout closes idle connections of callers. It is longer than any
	// caller keeps an idle connection, so that no request arrives at a connection that
	// is being closed.
	callerIdleTimeout = 5 * time.Minute
	// requestReadTimeout limits the time to read one request.
	requestReadTimeout = 10 * time.Second
	// callerStallTimeout closes the connection of a caller that acknowledges nothing of a
	// response for this long.
	callerStallTimeout = 5 * time.Second
	// maxBodyBytes limits a request's body; a configuration may set a lower limit.
	maxBodyBytes = 8 << 20
	// maxPeerBodyBytes limits the bodies of requests of peers; the largest is the member entry of a
	// VM that joins. maxProbeBodyBytes limits those of requests that need none.
	maxPeerBodyBytes  = 64 << 10
	maxProbeBodyBytes = 4 << 10
	// drainMargin is the part of the grace period at its end in which no caller that respects the
	// TTL of its directory answer opens a connection.
	drainMargin = 1300 * time.Millisecond
	// flushMargin is the part of the grace period reserved for writing the last answers, when
	// every request in flight has ended, before exitMargin.
	flushMargin = 250 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the process to exit by
	// itself. What is still open then is logged.
	exitMargin = 200 * time.Millisecond
	// directoryTTLFactor is how many times its TTL some callers keep a directory
	// answer.
	directoryTTLFactor = 3
)

// directoryServer is the name of the server that handles directory lookups.
const directoryServer = "directory"

// server is an HTTP server and its listener.
type server struct {
	name string
	ln   net.Listener
	http httpserver.Server
}

func (s *server) serve() error { return s.http.Serve(s.ln) }

// httpLogger forwards fasthttp's log lines to zap. By default they go to standard error
// without a rate limit, and the writer blocks if standard error is not read.
type httpLogger struct {
	log    *zap.Logger
	server string
}

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.Info("http: "+fmt.Sprintf(format, args...), zap.String("server", l.server))
}

// listener describes a server and where it listens.
type listener struct {
	name    string
	address string
	conns   int
	// maxBody limits one body in bytes.
	maxBody func() int
	handle  fasthttp.RequestHandler
}

// listen creates all servers and opens their listeners. The first server is the one for
// callers.
func (d *Daemon) listen() ([]*server, error) {
	set := d.settings.Load()
	budget := set.Budget()
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	peerBody, probeBody := func() int { return maxPeerBodyBytes }, func() int { return maxProbeBodyBytes }
	other := bodylimit.NewMemory(budget.OtherBodies(), func() {})
	callers, err := d.listenCallers(set)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	servers := []*server{callers}
	for _, l := range []listener{
		{"ready", set.ReadyAddress, membudget.ProbeConns, probeBody, d.adapter.Ready(d.ready)},
		{directoryServer, set.DirectoryAddress, budget.DirectoryConns(), probeBody, d.adapter.Directory(d.chooseVMs, set.directoryTTL())},
		{"peers", set.peerListen(), budget.PeerConns(), peerBody, d.syncer.servePeer},
		{"metrics", set.MetricsAddress, membudget.ProbeConns, probeBody, metrics},
	} {
		s, err := d.listenSmall(l, other)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// listenCallers opens the server for callers.
func (d *Daemon) listenCallers(set *Settings) (*server, error) {
	const name = "callers"
	begin := func(nc net.Conn, r *edge.Request) { d.callerConns.Begin(nc, r, r.Received) }
	handler := d.adapter.Callers(d.engine, d.leaving.Load, begin)
	limiter := d.connLimiter(name, set.Budget().CallerConns())
	http := &fasthttp.Server{
		Logger:               httpLogger{d.logs.Failures, name},
		Concurrency:          limiter.Concurrency(),
		ReadBufferSize:       callerReadBufferSize,
		WriteBufferSize:      smallBufferSize,
		ReadTimeout:          requestReadTimeout,
		IdleTimeout:          callerIdleTimeout,
		ConnState:            d.callerConns.OnStateChange,
		NoDefaultContentType: true,
		NoDefaultDate:        true,
		ReduceMemoryUsage:    true,
	}
	bodies := &httpserver.Bodies{Memory: d.callerBodies, Limit: d.bodyLimit}
	bodies.Serve(http, handler.Handle, handler.HandleError)
	ln, err := httpserver.Listen(set.CallerAddress)
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen for server %q", name)
	}
	stalls := &httpserver.StallLimiter{Timeout: callerStallTimeout, OnStall: d.callerStalled}
	return &server{name: name, ln: stalls.Listener(limiter.Listener(ln)), http: httpserver.New(http)}, nil
}

// listenSmall opens a server for requests that carry little.
func (d *Daemon) listenSmall(l listener, memory *bodylimit.Memory) (*server, error) {
	limiter := d.connLimiter(l.name, l.conns)
	http := &fasthttp.Server{
		Logger:            httpLogger{d.logs.Failures, l.name},
		Concurrency:       limiter.Concurrency(),
		ReadBufferSize:    smallBufferSize,
		WriteBufferSize:   smallBufferSize,
		IdleTimeout:       callerIdleTimeout,
		ReadTimeout:       requestReadTimeout,
		ReduceMemoryUsage: true,
	}
	bodies := &httpserver.Bodies{Memory: memory, Limit: l.maxBody}
	bodies.Serve(http, l.handle, httpserver.WriteReadError)
	ln, err := httpserver.Listen(l.address)
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen for server %q", l.name)
	}
	if l.name == directoryServer {
		ln = d.traffic.Listener(ln, traffic.Directory)
	}
	stalls := &httpserver.StallLimiter{Timeout: callerStallTimeout, OnStall: func(httpserver.Stall) { d.conns.Count(l.name, httpserver.ConnStalled) }}
	return &server{name: l.name, ln: stalls.Listener(limiter.Listener(ln)), http: httpserver.New(http)}, nil
}

// bodyLimit returns the limit on the body of a caller's request that is in force.
func (d *Daemon) bodyLimit() int {
	if v := d.engine.View(); v != nil && v.Table != nil {
		if limit := v.Table.Limits().BodyBytes; limit > 0 {
			return min(limit, maxBodyBytes)
		}
	}
	return maxBodyBytes
}

// connLimiter returns a limiter of the connections of a server.
func (d *Daemon) connLimiter(server string, limit int) *httpserver.ConnLimiter {
	return &httpserver.ConnLimiter{
		Max:     limit,
		Refusal: httpserver.UnavailableResponse,
		OnEvent: func(e httpserver.ConnEvent) { d.conns.Count(server, e) },
	}
}

// callerStalled counts and logs a caller whose connection is closed because it has
// acknowledged nothing.
func (d *Daemon) callerStalled(s httpserver.Stall) {
	d.callerStalls.Inc()
	d.logs.Failures.Info("edge: caller has acknowledged nothing, connection closed",
		zap.String("request", s.Request), zap.String("remote", s.Remote),
		zap.Int("written", s.Written), zap.Int("size", s.Size), zap.Bool("lost", s.Lost))
}

// placementBounds returns the limits on the size of a directory answer.
func (d *Daemon) placementBounds() placement.Bounds {
	const (
		// most is the maximum number of VMs in an answer that callers read.
		most = 64
		// least lets a caller continue after the loss of two VMs.
		least = 3
		// work is the capacity that the callers of one region may need, in thousandths
		// of a core.
		work = 1000
	)
	return placement.Bounds{MaxVMs: most, MinVMs: least, TargetCapacity: work, Upstreams: *d.upstreamCounts.Load()}
}

// countUpstreams returns the number of upstreams per data centre. Evacuated data
// centres are omitted and so count as 0.
func countUpstreams(v *catalog.View) map[string]int {
	out := map[string]int{}
	for _, u := range v.Upstreams {
		if !v.Evacuated[u.DataCentre] {
			out[u.DataCentre]++
		}
	}
	return out
}
