package node

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/placement"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// readBuffer is each connection's buffer and so the most bytes of a request's
	// head: the 16 KiB that configurations allow and its first line.
	readBuffer = 18 << 10
	// smallBuffer is the buffer of connections that only carry small calls.
	smallBuffer = 4 << 10
	// callerIdle is how long a caller's connection may be idle: longer than any
	// caller keeps one, so that no request meets a close on its way.
	callerIdle = 5 * time.Minute
	// headTimeout bounds the arrival of one request.
	headTimeout = 10 * time.Second
	// maxBody bounds a body before a configuration says less.
	maxBody = 8 << 20
	// callerShare is the part of the process's descriptors that callers'
	// connections may use. Upstreams take the rest: each query sends to several.
	callerShare = 0.4
	// stopMargin is what is left of the grace for requests in flight once new
	// ones are no longer taken.
	stopMargin = 1300 * time.Millisecond
	// endMargin is left for the process to end by itself.
	endMargin = 200 * time.Millisecond
	// ttlStretch is how many times its TTL some callers keep an answer of the
	// directory.
	ttlStretch = 3
	// quietPoll is how often a stop looks whether anybody is still connected.
	quietPoll = 100 * time.Millisecond
)

// directoryServer is the name of the server that tells callers which VMs to use.
const directoryServer = "directory"

// server is one listener and what answers there.
type server struct {
	name string
	ln   net.Listener
	http httpserver.Server
}

func (s *server) serve() error { return s.http.Serve(s.ln) }

// callerCount counts the open connections of callers.
type callerCount struct{ open atomic.Int64 }

func (c *callerCount) state(_ net.Conn, s fasthttp.ConnState) {
	switch s {
	case fasthttp.StateNew:
		c.open.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		c.open.Add(-1)
	}
}

// httpLog takes in what the HTTP library has to say of connections. Left to its
// own logger, its lines would go to standard error, without a bound, and hold up
// whoever writes them once nobody reads there.
type httpLog struct {
	log    *zap.Logger
	server string
}

// Printf implements fasthttp.Logger.
func (l httpLog) Printf(format string, args ...any) {
	l.log.Info("http: "+fmt.Sprintf(format, args...), zap.String("server", l.server))
}

// listen opens every listener. The caller's is first.
func (n *Node) listen() ([]*server, error) {
	handler := n.adapter.Callers(n.engine, n.leaving.Load)
	callers := &fasthttp.Server{
		Handler:                      handler.Handle,
		ErrorHandler:                 handler.Fault,
		Logger:                       httpLog{n.logs.Failures, "callers"},
		Concurrency:                  callerConnections(n.set.Load().Descriptors),
		ReadBufferSize:               readBuffer,
		WriteBufferSize:              smallBuffer,
		MaxRequestBodySize:           maxBody,
		ReadTimeout:                  headTimeout,
		IdleTimeout:                  callerIdle,
		ConnState:                    n.callers.state,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
	}
	out := []*server{{name: "callers", http: httpserver.New(callers)}}
	addresses := []string{n.set.Load().CallerAddress}
	add := func(name, address string, h fasthttp.RequestHandler) {
		small := &fasthttp.Server{Handler: h, Logger: httpLog{n.logs.Failures, name}, ReadBufferSize: smallBuffer, WriteBufferSize: smallBuffer, IdleTimeout: callerIdle, ReadTimeout: headTimeout, ReduceMemoryUsage: true}
		out = append(out, &server{name: name, http: httpserver.New(small)})
		addresses = append(addresses, address)
	}
	add("ready", n.set.Load().ReadyAddress, n.adapter.Ready(n.ready))
	add(directoryServer, n.set.Load().DirectoryAddress, n.adapter.Directory(n.choose, n.set.Load().directoryTTL()))
	add("peers", n.set.Load().peerListen(), n.reader.serve)
	add("metrics", n.set.Load().MetricsAddress, fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})))
	for i, s := range out {
		ln, err := net.Listen("tcp", addresses[i])
		if err != nil {
			return nil, trace.Wrap(err, "%s", s.name)
		}
		if s.name == directoryServer {
			ln = n.traffic.Listener(ln, traffic.Directory)
		}
		s.ln = ln
	}
	return out, nil
}

// callerConnections is the most connections of callers at a time. Beyond it a
// connection is answered 503 and closed; without it a flood of them would use up
// the descriptors, and connections to upstreams could no longer be opened.
func callerConnections(descriptors int) int {
	return max(1, int(callerShare*float64(descriptors)))
}

// placementBounds is what an answer of the directory holds.
func (n *Node) placementBounds() placement.Bounds {
	const (
		// most is the most VMs of an answer that callers read.
		most = 64
		// least lets a caller go on while two VMs are lost.
		least = 3
		// work is what the callers of one region may need, in thousandths of a
		// core.
		work = 1000
	)
	return placement.Bounds{Most: most, Least: least, Work: work, Upstreams: *n.upstreams.Load()}
}

// countUpstreams is how many upstreams each data centre has, 0 where it is evacuated.
func countUpstreams(v *catalog.View) map[string]int {
	out := map[string]int{}
	for _, u := range v.Upstreams {
		if !v.Evacuated[u.DataCentre] {
			out[u.DataCentre]++
		}
	}
	return out
}

// stop ends the VM's service without cutting a request off: callers learn that
// it leaves from the directory and from each answer, and those that have not yet
// are served until what they know has run out.
func (n *Node) stop(servers []*server) {
	began := time.Now()
	n.leaving.Store(true)
	n.log.Info("node: stopping", zap.Int64("in_flight", n.engine.InFlight()), zap.Int64("connections", n.callers.open.Load()))
	n.showCapacity()
	n.gossip.Leave()
	serveUntil := began.Add(n.set.Load().servesOn())
	quietFrom := began.Add(ttlStretch * n.set.Load().directoryTTL())
	for now := time.Now(); now.Before(serveUntil); now = time.Now() {
		if now.After(quietFrom) && n.callers.open.Load() == 0 {
			break
		}
		time.Sleep(quietPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.set.Load().Grace-endMargin))
	defer cancel()
	if err := servers[0].http.Shutdown(ctx); err != nil {
		n.log.Warn("node: stopped with requests in flight", zap.Int64("in_flight", n.engine.InFlight()), zap.Error(err))
	}
	n.engine.Close()
}

// closeAll closes the listeners that are still open.
func closeAll(servers []*server) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range servers {
		// The process ends: what is still open ends with it.
		_ = s.http.Shutdown(ctx)
	}
}
