// Package upstream speaks HTTP to one upstream over a bounded connection pool.
// It sends each request once and says of each outcome whether it ran.
package upstream

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	dialTimeout   = time.Second
	idleTimeout   = 30 * time.Second
	healthTimeout = time.Second
)

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
	Detail   string
}

// Client is the connection pool of one upstream.
type Client struct {
	address string
	http    *fasthttp.HostClient
}

// NewClient pools at most connections connections to address (IP and port) and
// takes replies of at most maxReply bytes.
func NewClient(address string, connections, maxReply int) *Client {
	return &Client{address: address, http: &fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 connections,
		MaxIdleConnDuration:      idleTimeout,
		MaxResponseBodySize:      maxReply,
		NoDefaultUserAgentHeader: true,
		Dial:                     dial,
		// A retry inside the library would run a non-idempotent request
		// twice without anyone noticing: a second execution at the upstream
		// with no second dispatch here. Both of its switches are off.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// Do sends the call once and waits for its outcome, at most to its deadline.
func (c *Client) Do(now time.Time, call *Call) Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.address + call.Path)
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderSnapshot, FormatSnapshot(call.Snapshot))
	req.Header.Set(HeaderShard, strconv.FormatUint(uint64(call.Shard), 10))
	req.Header.Set(HeaderDeadline, strconv.FormatInt(call.Deadline.Sub(now).Milliseconds(), 10))
	req.SetBodyRaw(call.Body)
	if err := c.http.DoDeadline(req, resp, call.Deadline); err != nil {
		return failure(err)
	}
	return outcome(resp)
}

// failure classifies an error by whether bytes may have reached the upstream.
func failure(err error) Outcome {
	var de *dialError
	if errors.As(err, &de) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return Outcome{Result: pb.Result_UNREACHABLE, Detail: err.Error()}
	}
	return Outcome{Result: pb.Result_UNKNOWN, Detail: err.Error()}
}

func outcome(resp *fasthttp.Response) Outcome {
	out := Outcome{Draining: len(resp.Header.Peek(HeaderDraining)) > 0}
	if reason := string(resp.Header.Peek(HeaderNotRun)); reason != "" {
		out.Result = notRun(reason)
		out.Detail = "upstream: " + reason
		return out
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		out.Result = pb.Result_UPSTREAM_ERROR
		out.Detail = "upstream answered with status " + strconv.Itoa(resp.StatusCode())
		return out
	}
	snapshot, err := ParseSnapshot(string(resp.Header.Peek(HeaderSnapshot)))
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

// Close gives up the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
