// Package upstream speaks HTTP to one upstream over a bounded connection pool.
// It sends each request once and says of each outcome whether it ran.
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
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	controlTimeout = time.Second
	// checkTimeout bounds the look whether an upstream that closed a connection still
	// listens; its owner is near it.
	checkTimeout = 100 * time.Millisecond
	// controlConnections are kept for probes and cancellations.
	controlConnections = 1
	// maxControlReply is the largest answer taken to either, in bytes.
	maxControlReply = 64 << 10
	// headerBuffer holds any header value that is built from numbers.
	headerBuffer = 40
)

// maxClosedIdle bounds how often one request may meet a connection that was
// closed while it was idle.
const maxClosedIdle = 3

// dialError marks a failure before any byte was sent: the request did not run.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// Call is one request to the upstream.
type Call struct {
	// RequestID is unique; a cancellation names it.
	RequestID string
	Path      string
	Shard     uint32
	Snapshot  *pb.Snapshot
	Body      []byte
	// Deadline is when the answer is due.
	Deadline time.Time
}

// Outcome is how a call ended.
type Outcome struct {
	Result   pb.Result
	Snapshot *pb.Snapshot
	// Body is the caller's to keep.
	Body []byte
	// Draining says that the upstream announced its leaving.
	Draining bool
	// Cancelled says that the upstream gave the request up while it ran.
	Cancelled bool
	// Ended says that the upstream's process ended while it had the request.
	Ended  bool
	Detail string
}

// Metrics counts what the clients of all upstreams do.
type Metrics struct {
	opened prometheus.Counter
	open   prometheus.Gauge
}

// NewMetrics registers the counters.
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
	}
}

// Options are what a client needs.
type Options struct {
	// Address is IP and port.
	Address string
	// Connections is the most that are open at a time. From 2 on, one is kept
	// for probes and cancellations, so that neither waits for a request.
	Connections int
	// MaxReply is the largest reply taken, in bytes.
	MaxReply int
	Metrics  *Metrics
	// Dial opens a connection; nil dials plainly.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
}

// Client is the connections to one upstream.
type Client struct {
	address string
	met     *Metrics
	open    func(address string, timeout time.Duration) (net.Conn, error)
	// requests carries the requests, control the probes and cancellations.
	requests *fasthttp.HostClient
	control  *fasthttp.HostClient
}

// NewClient makes a client with no connection; requests open them.
func NewClient(opts Options) *Client {
	c := &Client{address: opts.Address, met: opts.Metrics, open: opts.Dial}
	if c.open == nil {
		c.open = dialTCP
	}
	c.requests = c.pool(max(1, opts.Connections-controlConnections), opts.MaxReply)
	c.control = c.requests
	if opts.Connections > controlConnections {
		c.control = c.pool(controlConnections, maxControlReply)
		c.control.MaxConnWaitTimeout = controlTimeout
	}
	return c
}

func (c *Client) pool(connections, maxReply int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     c.address,
		MaxConns:                 connections,
		MaxIdleConnDuration:      idleTimeout,
		MaxResponseBodySize:      maxReply,
		NoDefaultUserAgentHeader: true,
		DialTimeout:              c.dial,
		// The connection idle longest is used next, so that a steady trickle
		// of requests keeps all of them from idling out.
		ConnPoolStrategy: fasthttp.FIFO,
		// A retry inside the library would run a non-idempotent request
		// twice without anyone noticing: a second execution at the upstream
		// with no second dispatch here. Both of its switches are off.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// SetConnections changes the most that are open; those in use are not cut off.
func (c *Client) SetConnections(n int) {
	c.requests.SetMaxConns(max(1, n-controlConnections))
}

// dial opens a connection within the request's own time.
func (c *Client) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	conn, err := c.open(address, timeout)
	if err != nil {
		return nil, &dialError{err}
	}
	c.met.opened.Inc()
	c.met.open.Inc()
	return &countedConn{Conn: conn, met: c.met}, nil
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// Do sends the call once and waits for its outcome, at most to its deadline.
func (c *Client) Do(now time.Time, call *Call) Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, fasthttp.MethodPost, call.Path)
	var buf [headerBuffer]byte
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.SetBytesV(HeaderSnapshot, appendSnapshot(buf[:0], call.Snapshot))
	req.Header.SetBytesV(HeaderShard, strconv.AppendUint(buf[:0], uint64(call.Shard), 10))
	req.Header.SetBytesV(HeaderDeadline, strconv.AppendInt(buf[:0], call.Deadline.Sub(now).Milliseconds(), 10))
	req.SetBodyRaw(call.Body)
	if err := c.do(req, resp, call.Deadline); err != nil {
		out := failure(err)
		out.Ended = out.Result == pb.Result_UNKNOWN && !errors.Is(err, fasthttp.ErrTimeout) && c.ended()
		return out
	}
	return outcome(resp, call.Snapshot)
}

// ended tells whether the upstream's process has ended, after it closed a connection: that
// alone may have had any other reason.
func (c *Client) ended() bool {
	ended, _ := sockpeek.NobodyListens(c.open, c.address, checkTimeout)
	return ended
}

// fill fills in the parts of the URI without parsing a text.
func (c *Client) fill(req *fasthttp.Request, method, path string) {
	req.Header.SetMethod(method)
	req.Header.SetHost(c.address)
	req.SetRequestURI(path)
}

// Cancel asks the upstream to give up a request. The request itself is answered
// on its own connection.
func (c *Client) Cancel(requestID string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, fasthttp.MethodPost, CancelPath)
	req.URI().QueryArgs().Set("id", requestID)
	return c.control.DoTimeout(req, resp, controlTimeout)
}

// Probe reads the health endpoint. Idle says that no request needs the
// connections now: the probe then goes over the one idle longest, which keeps it
// warm and finds out here, and not with a request, that the upstream closed it.
func (c *Client) Probe(idle bool) (*Health, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, fasthttp.MethodGet, HealthPath)
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

// do sends the request, and again where it met a connection that the upstream
// had closed before: nothing was written to that. Its like are given up first.
// Without this, an upstream that was restarted would look unreachable once for
// each connection it had, and a shard with three of them would go missing.
func (c *Client) do(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	err := c.requests.DoDeadline(req, resp, deadline)
	for again := 0; again < maxClosedIdle && errors.Is(err, errClosedIdle); again++ {
		c.requests.CloseIdleConnections()
		err = c.requests.DoDeadline(req, resp, deadline)
	}
	return err
}

// Close gives up the idle connections; it is called when no request runs.
func (c *Client) Close() {
	c.requests.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// failure classifies an error by whether bytes may have reached the upstream.
func failure(err error) Outcome {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return Outcome{Result: pb.Result_UPSTREAM_ERROR, Detail: "the reply is larger than max_reply_bytes"}
	}
	var de *dialError
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return Outcome{Result: pb.Result_SHED, Detail: "no free connection"}
	}
	if errors.As(err, &de) {
		return Outcome{Result: pb.Result_UNREACHABLE, Detail: err.Error()}
	}
	return Outcome{Result: pb.Result_UNKNOWN, Detail: err.Error()}
}

func outcome(resp *fasthttp.Response, asked *pb.Snapshot) Outcome {
	out := Outcome{Draining: len(resp.Header.Peek(HeaderDraining)) > 0}
	if reason := string(resp.Header.Peek(HeaderNotRun)); reason != "" {
		out.Result = notRun(reason)
		out.Detail = "upstream: " + reason
		return out
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		out.Result = pb.Result_UPSTREAM_ERROR
		out.Cancelled = resp.StatusCode() == fasthttp.StatusGone
		out.Detail = "upstream answered with status " + strconv.Itoa(resp.StatusCode())
		return out
	}
	snapshot, err := answered(resp.Header.Peek(HeaderSnapshot), asked)
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

// answered is the snapshot a reply states, which is nearly always the one that
// was asked for.
func answered(text []byte, asked *pb.Snapshot) (*pb.Snapshot, error) {
	var buf [headerBuffer]byte
	if bytes.Equal(text, appendSnapshot(buf[:0], asked)) {
		return asked, nil
	}
	return ParseSnapshot(string(text))
}

func notRun(reason string) pb.Result {
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
