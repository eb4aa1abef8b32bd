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

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/edge"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
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
	// maxSmallBodyBytes limits the bodies of requests of peers and of the platform; the largest is
	// the member entry of a VM that joins.
	maxSmallBodyBytes = 64 << 10
	// callerDescriptorShare is the fraction of the process's file descriptors available
	// to callers' connections. Connections to upstreams use the rest, as each query is
	// sent to several upstreams.
	callerDescriptorShare = 0.4
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

// listen creates all servers and opens their listeners. The first server is the one for
// callers.
func (d *Daemon) listen() ([]*server, error) {
	begin := func(nc net.Conn, r *edge.Request) { d.callerConns.Begin(nc, r, r.Received) }
	handler := d.adapter.Callers(d.engine, d.leaving.Load, begin)
	callers := &fasthttp.Server{
		Handler:                      handler.Handle,
		ErrorHandler:                 handler.HandleError,
		Logger:                       httpLogger{d.logs.Failures, "callers"},
		Concurrency:                  maxCallerConns(d.settings.Load().Descriptors),
		ReadBufferSize:               callerReadBufferSize,
		WriteBufferSize:              smallBufferSize,
		MaxRequestBodySize:           maxBodyBytes,
		ReadTimeout:                  requestReadTimeout,
		IdleTimeout:                  callerIdleTimeout,
		ConnState:                    d.callerConns.OnStateChange,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
	}
	servers := []*server{{name: "callers", http: httpserver.New(callers)}}
	addresses := []string{d.settings.Load().CallerAddress}
	add := func(name, address string, h fasthttp.RequestHandler) {
		small := &fasthttp.Server{Handler: h, Logger: httpLogger{d.logs.Failures, name}, MaxRequestBodySize: maxSmallBodyBytes, ReadBufferSize: smallBufferSize, WriteBufferSize: smallBufferSize, IdleTimeout: callerIdleTimeout, ReadTimeout: requestReadTimeout, ReduceMemoryUsage: true}
		servers = append(servers, &server{name: name, http: httpserver.New(small)})
		addresses = append(addresses, address)
	}
	add("ready", d.settings.Load().ReadyAddress, d.adapter.Ready(d.ready))
	add(directoryServer, d.settings.Load().DirectoryAddress, d.adapter.Directory(d.chooseVMs, d.settings.Load().directoryTTL()))
	add("peers", d.settings.Load().peerListen(), d.syncer.servePeer)
	add("metrics", d.settings.Load().MetricsAddress, fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
	for i, s := range servers {
		ln, err := net.Listen("tcp", addresses[i])
		if err != nil {
			return nil, trace.Wrap(err, "cannot listen for server %q", s.name)
		}
		if s.name == directoryServer {
			ln = d.traffic.Listener(ln, traffic.Directory)
		}
		s.ln = ln
	}
	stalls := &httpserver.StallLimiter{Timeout: callerStallTimeout, OnStall: d.callerStalled}
	servers[0].ln = stalls.Listener(servers[0].ln)
	return servers, nil
}

// callerStalled counts and logs a caller whose connection is closed because it has
// acknowledged nothing.
func (d *Daemon) callerStalled(s httpserver.Stall) {
	d.callerStalls.Inc()
	d.logs.Failures.Info("edge: caller has acknowledged nothing, connection closed",
		zap.String("request", s.Request), zap.String("remote", s.Remote),
		zap.Int("written", s.Written), zap.Int("size", s.Size), zap.Bool("lost", s.Lost))
}

// maxCallerConns returns the maximum number of concurrent connections of callers.
// Further connections are answered with status 503 and closed; without this limit, a
// flood of connections would use up the file descriptors, and no connection to an
// upstream could be opened.
func maxCallerConns(descriptors int) int {
	return max(1, int(callerDescriptorShare*float64(descriptors)))
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
