// Package upstream implements an HTTP client for one upstream with a bounded
// connection pool. It sends each request at most once and reports whether the
// request may have run.
package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	controlTimeout = time.Second
	// listenCheckTimeout bounds the check whether an upstream that closed a
	// connection still listens. It can be short because the VM that owns an
	// upstream is close to it.
	listenCheckTimeout = 100 * time.Millisecond
	// controlConnections is the number of connections reserved for probes and
	// cancellations.
	controlConnections = 1
	// maxControlReply is the maximum size of a reply to a probe or cancellation,
	// in bytes.
	maxControlReply = 64 << 10
	// headerBuffer is the size of a buffer for header values built from numbers, in
	// bytes. It fits all of them.
	headerBuffer = 40
)

// maxClosedIdleRetries bounds how often a request moves to another connection
// because the upstream closed the previous one while it was idle.
const maxClosedIdleRetries = 3

// dialError is a failure before any byte was sent, so the request did not run.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// Call is a request to the upstream.
type Call struct {
	// RequestID is unique and identifies the request in Cancel.
	RequestID string
	Path      string
	Shard     uint32
	Snapshot  *pb.Snapshot
	Body      []byte
	// Deadline is the time by which the reply must arrive.
	Deadline time.Time
}

// Outcome is the result of a call.
type Outcome struct {
	Result pb.Result
	// Snapshot is the snapshot that the reply was computed from. It is set only if
	// Result is OK.
	Snapshot *pb.Snapshot
	// Body is a copy of the reply body that the caller may keep. It is set only if
	// Result is OK.
	Body []byte
	// Draining says that the upstream announced that it is leaving.
	Draining bool
	// Cancelled says that the upstream aborted the request while it was running.
	Cancelled bool
	// ProcessEnded says that the upstream's process ended while it had the request.
	ProcessEnded bool
	// Detail describes a failure.
	Detail string
}

// Metrics holds the connection metrics of the clients of all upstreams.
type Metrics struct {
	opened prometheus.Counter
	open   prometheus.Gauge
	// malformed counts malformed responses by the rule that they break.
	malformed *prometheus.CounterVec
}

// NewMetrics registers the metrics with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	f := promauto.With(r)
	return &Metrics{
		opened: f.NewCounter(prometheus.CounterOpts{
			Name: "sycamorekeel_upstream_connections_opened_total",
			Help: "Connections opened to upstreams.",
		}),
		open: f.NewGauge(prometheus.GaugeOpts{
			Name: "sycamorekeel_upstream_connections",
			Help: "Connections to upstreams that are open.",
		}),
		malformed: f.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamorekeel_upstream_malformed_responses_total",
			Help: "Responses of upstreams, to probes and cancellations too, that are no HTTP responses, by the rule that they break.",
		}, []string{"rule"}),
	}
}

// Options configures a Client.
type Options struct {
	// Address is the upstream's address as ip:port.
	Address string
	// Connections is the maximum number of open connections. If it is at least 2,
	// one is reserved for probes and cancellations, so that they do not wait for
	// requests to finish.
	Connections int
	// MaxReply is the maximum size of a reply body, in bytes.
	MaxReply int
	Metrics  *Metrics
	// Dial opens a connection. If nil, net.DialTimeout over TCP is used.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
}

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	address  string
	metrics  *Metrics
	dialFunc func(address string, timeout time.Duration) (net.Conn, error)
	// requests is the pool for requests, control the pool for probes and
	// cancellations. They are the same pool if there is only one connection.
	requests *fasthttp.HostClient
	control  *fasthttp.HostClient
}

// NewClient returns a client without connections. It opens them on demand.
func NewClient(opts Options) *Client {
	c := &Client{address: opts.Address, metrics: opts.Metrics, dialFunc: opts.Dial}
	if c.dialFunc == nil {
		c.dialFunc = dialTCP
	}
	c.requests = c.newPool(max(1, opts.Connections-controlConnections), opts.MaxReply)
	c.control = c.requests
	if opts.Connections > controlConnections {
		c.control = c.newPool(controlConnections, maxControlReply)
		c.control.MaxConnWaitTimeout = controlTimeout
	}
	return c
}

func (c *Client) newPool(connections, maxReply int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     c.address,
		MaxConns:                 connections,
		MaxIdleConnDuration:      idleTimeout,
		MaxResponseBodySize:      maxReply,
		NoDefaultUserAgentHeader: true,
		DialTimeout:              c.dial,
		// FIFO picks the connection that was idle longest, so even a low
		// request rate keeps all connections below the idle timeout.
		ConnPoolStrategy: fasthttp.FIFO,
		// Both retry settings of the library are off: a retry inside it would
		// run a non-idempotent request a second time at the upstream without a
		// second dispatch here.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// SetConnections changes the maximum number of open connections. Connections in
// use stay open.
func (c *Client) SetConnections(n int) {
	c.requests.SetMaxConns(max(1, n-controlConnections))
}

// dial opens a connection. It takes at most timeout, the request's remaining time,
// and at most dialTimeout.
func (c *Client) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	conn, err := c.dialFunc(address, timeout)
	if err != nil {
		return nil, &dialError{err}
	}
	c.metrics.opened.Inc()
	c.metrics.open.Inc()
	return &countedConn{Conn: conn, metrics: c.metrics, responses: responsecheck.NewReader(conn)}, nil
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// Do sends the call at most once and waits for its outcome until its deadline.
// now is the current time, from which the remaining time in the header is computed.
func (c *Client) Do(now time.Time, call *Call) Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.initRequest(req, fasthttp.MethodPost, call.Path)
	var buf [headerBuffer]byte
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.SetBytesV(HeaderSnapshot, appendSnapshot(buf[:0], call.Snapshot))
	req.Header.SetBytesV(HeaderShard, strconv.AppendUint(buf[:0], uint64(call.Shard), 10))
	req.Header.SetBytesV(HeaderDeadline, strconv.AppendInt(buf[:0], call.Deadline.Sub(now).Milliseconds(), 10))
	req.SetBodyRaw(call.Body)
	if err := c.send(req, resp, call.Deadline); err != nil {
		out := errorOutcome(err)
		out.ProcessEnded = out.Result == pb.Result_UNKNOWN && !errors.Is(err, fasthttp.ErrTimeout) && c.processEnded()
		return out
	}
	return replyOutcome(resp, call.Snapshot)
}

// processEnded reports whether the upstream's process has ended, by checking that
// its address refuses connections. A closed connection alone does not show this,
// as it may have other causes.
func (c *Client) processEnded() bool {
	ended, _ := sockpeek.DialRefused(c.dialFunc, c.address, listenCheckTimeout)
	return ended
}

// initRequest sets the method, host and path of req separately, so that no URL needs to
// be parsed.
func (c *Client) initRequest(req *fasthttp.Request, method, path string) {
	req.Header.SetMethod(method)
	req.Header.SetHost(c.address)
	req.SetRequestURI(path)
}

// Cancel asks the upstream to abort a request. The upstream still replies to the
// request itself on the request's connection.
func (c *Client) Cancel(requestID string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.initRequest(req, fasthttp.MethodPost, CancelPath)
	req.URI().QueryArgs().Set("id", requestID)
	return c.control.DoTimeout(req, resp, controlTimeout)
}

// Probe queries the health endpoint. idle says that no request currently needs a
// connection. The probe then uses the request connection that was idle longest: this
// keeps that connection open, and if the upstream has closed it, the probe and not a
// request finds out.
func (c *Client) Probe(idle bool) (*Health, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.initRequest(req, fasthttp.MethodGet, HealthPath)
	pool := c.control
	if idle {
		pool = c.requests
	}
	if err := pool.DoTimeout(req, resp, controlTimeout); err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, trace.BadParameter("health endpoint answered with status %d", resp.StatusCode())
	}
	h := &Health{}
	if err := json.Unmarshal(resp.Body(), h); err != nil {
		return nil, trace.Wrap(err, "health endpoint")
	}
	return h, nil
}

// send sends the request. If the upstream has closed the connection while it was
// idle, nothing was written to it; send then closes all idle connections and sends
// the request on another one. Without this, a restarted upstream would appear
// unreachable once for each of its old connections, and a shard with three such
// replicas would be missing from the answer.
func (c *Client) send(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	err := c.requests.DoDeadline(req, resp, deadline)
	for retry := 0; retry < maxClosedIdleRetries && errors.Is(err, errClosedIdle); retry++ {
		c.requests.CloseIdleConnections()
		err = c.requests.DoDeadline(req, resp, deadline)
	}
	return err
}

// Close closes the idle connections. It must be called when no request is running.
func (c *Client) Close() {
	c.requests.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// errorOutcome classifies an error of the HTTP client by whether bytes may have
// reached the upstream. If they may have, the result is UNKNOWN, or UPSTREAM_ERROR
// if a reply arrived that is too large.
func errorOutcome(err error) Outcome {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return Outcome{Result: pb.Result_UPSTREAM_ERROR, Detail: "the reply is larger than max_reply_bytes"}
	}
	var dialErr *dialError
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return Outcome{Result: pb.Result_SHED, Detail: "no free connection"}
	}
	if errors.As(err, &dialErr) {
		return Outcome{Result: pb.Result_UNREACHABLE, Detail: err.Error()}
	}
	return Outcome{Result: pb.Result_UNKNOWN, Detail: err.Error()}
}

// replyOutcome classifies a complete reply.
func replyOutcome(resp *fasthttp.Response, requested *pb.Snapshot) Outcome {
	out := Outcome{Draining: len(resp.Header.Peek(HeaderDraining)) > 0}
	if reason := string(resp.Header.Peek(HeaderNotRun)); reason != "" {
		out.Result = notRunResult(reason)
		out.Detail = "upstream: " + reason
		return out
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		out.Result = pb.Result_UPSTREAM_ERROR
		out.Cancelled = resp.StatusCode() == fasthttp.StatusGone
		out.Detail = "upstream answered with status " + strconv.Itoa(resp.StatusCode())
		return out
	}
	snapshot, err := replySnapshot(resp.Header.Peek(HeaderSnapshot), requested)
	if err != nil {
		out.Result = pb.Result_UPSTREAM_ERROR
		out.Detail = err.Error()
		return out
	}
	out.Result = pb.Result_OK
	out.Snapshot = snapshot
	out.Body = append([]byte(nil), resp.Body()...)
	return out
}

// replySnapshot parses the snapshot header of a reply. It is nearly always the
// requested snapshot, which is returned without parsing.
func replySnapshot(text []byte, requested *pb.Snapshot) (*pb.Snapshot, error) {
	var buf [headerBuffer]byte
	if bytes.Equal(text, appendSnapshot(buf[:0], requested)) {
		return requested, nil
	}
	return ParseSnapshot(string(text))
}

// notRunResult maps a value of HeaderNotRun to a result. An unknown reason maps to
// UNKNOWN.
func notRunResult(reason string) pb.Result {
	switch reason {
	case NotRunShed:
		return pb.Result_SHED
	case NotRunDraining:
		return pb.Result_UPSTREAM_LEAVING
	case NotRunSnapshot:
		return pb.Result_NO_SNAPSHOT
	case NotRunDeadline:
		return pb.Result_TOO_LATE
	case NotRunCancel:
		return pb.Result_CANCELLED
	default:
		return pb.Result_UNKNOWN
	}
}
