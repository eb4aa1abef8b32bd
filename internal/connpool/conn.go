package connpool

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/responsecheck"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// dialTimeout limits the opening of a connection. A VM behind a network partition
	// does not respond at all; three round trips between regions plus the upstream's
	// own handshake take well under a tenth of a second.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is reused when the upstream
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's Keep-Alive timeout: its close may
	// be in transit while a request is written.
	idleMargin = 500 * time.Millisecond
	// bufferBytes is the size of each connection's read buffer and write buffer; a
	// typical request or partial answer fits.
	bufferBytes = 2048
	// rejectMargin is added to the dial time of a connection. If the upstream closes
	// the connection within the sum, before any response byte, it has rejected the
	// connection: accepting a connection and processing a request take longer.
	rejectMargin = 4 * time.Millisecond
	// asyncWriteBytes is the body size from which a request is written concurrently
	// with reading the response: an upstream may respond before it has read a long
	// body, and the write would block until it reads on.
	asyncWriteBytes = 8 << 10
)

// lastConnID is the id of the connection opened last in this process.
var lastConnID atomic.Uint64

// conn is a connection to an upstream and the state of its goroutine.
type conn struct {
	pool *Pool
	// id identifies the socket in netConn, which may be replaced.
	id      uint64
	netConn net.Conn
	// bytes counts the bytes of the current call in both directions.
	bytes atomic.Int64
	// responses checks what br reads.
	responses *responsecheck.Reader
	br        *bufio.Reader
	bw        *bufio.Writer
	// calls delivers the next call; closing it ends the connection.
	calls chan *Call
	// lastID is the id of the request that the connection has carried last, "" for none.
	lastID string
	// idleUntil is when the upstream may close the connection if it is idle.
	idleUntil time.Time
	// dialledAt is when the opening of the connection began.
	dialledAt time.Time
	// dialTime is how long the connection took to open; 0 after the first byte of a
	// response.
	dialTime time.Duration
}

// run opens the connection and serves calls until it can no longer be used.
func (c *conn) run(call *Call) {
	defer c.pool.connEnded()
	// A send that ended must no longer count when connEnded gives waiting calls to connections.
	defer func() { c.pool.endSend(call) }()
	defer c.closeSocket()
	if !c.connect(call) {
		return
	}
	for call != nil {
		if call.Message.carriedBy(c.id) && !c.reconnect(call) {
			return
		}
		if !c.serve(call) {
			return
		}
		c.pool.endSend(call)
		call = c.pool.next(c)
	}
}

// connect opens the connection for a call and checks the upstream's health. If either fails, it
// ends the call and returns false.
func (c *conn) connect(call *Call) bool {
	c.dialledAt = time.Now()
	nc, err := net.DialTimeout("tcp", c.pool.upstream.Address, min(dialTimeout, max(time.Until(call.Deadline), time.Millisecond)))
	if err != nil {
		c.pool.dialFailed(call, err)
		return false
	}
	if !c.pool.registerSocket(nc) {
		// The connection is discarded; a close error changes nothing.
		_ = nc.Close()
		call.finish(Reply{Result: scatter.Unreached, Detail: detailUpstreamGone})
		return false
	}
	c.id = lastConnID.Add(1)
	c.lastID = ""
	c.netConn = nc
	c.dialTime = time.Since(c.dialledAt)
	c.pool.observer.ConnectionOpened(c.pool.upstream)
	counted := traffic.CountConn(nc, func(n int) { c.bytes.Add(int64(n)) })
	c.responses = responsecheck.NewReader(counted)
	c.br = bufio.NewReaderSize(c.responses, bufferBytes)
	c.bw = bufio.NewWriterSize(counted, bufferBytes)
	c.idleUntil = time.Now().Add(defaultIdleTimeout)
	if err := c.checkHealth(counted); err != nil {
		call.finish(Reply{Result: scatter.Barred, Detail: "health: " + err.Error()})
		return false
	}
	return true
}

// reconnect replaces the connection by a new one, on which a call is sent whose message the old
// one has carried. An upstream may send a response twice. On the old connection the second copy
// of an earlier refusal, with the same request id, would be taken for the response to this call,
// and the request would be sent once more while the upstream runs it.
func (c *conn) reconnect(call *Call) bool {
	c.closeSocket()
	c.pool.connReplaced()
	return c.connect(call)
}

// closeSocket closes the socket, if there is one.
func (c *conn) closeSocket() {
	if c.netConn == nil {
		return
	}
	c.pool.unregisterSocket(c.netConn)
	// The connection is no longer used; a close error changes nothing.
	_ = c.netConn.Close()
	c.netConn = nil
}

// serve sends one call and reads its response. It returns false when the connection
// must not be reused.
func (c *conn) serve(call *Call) bool {
	now := time.Now()
	left := call.Deadline.Sub(now)
	if left < time.Millisecond {
		call.finish(Reply{Result: scatter.Expired, Detail: "no time left"})
		return true
	}
	if reason := call.barredReason(); reason != "" {
		call.finish(Reply{Result: scatter.Barred, Detail: reason})
		return true
	}
	if !call.bind(c.netConn) {
		return true
	}
	defer func() { c.pool.observer.Sent(c.pool.upstream, call.Extra, int(c.bytes.Swap(0))) }()
	call.Message.addCarrier(c.id)
	var req fasthttp.Request
	c.pool.protocol.Encode(&req, call.Message, call.Upstream, left)
	c.responses.SetHeadRequest(req.Header.IsHead())
	written, err := c.write(&req, len(call.Message.Body))
	if err != nil {
		call.finish(c.noResponse(err, time.Since(now)))
		return false
	}
	resp, body, err := c.readResponse(call.Message, req.Header.IsHead())
	switch {
	case errors.As(err, new(*noResponseError)):
		call.finish(c.noResponse(err, time.Since(now)))
		return false
	case err != nil:
		call.finish(c.lostReply(err))
		return false
	}
	reply := Reply{Response: resp, Body: body, Took: time.Since(now)}
	reply.Result, reply.Proof, reply.Detail = c.pool.protocol.Decode(resp, call.Message)
	if reply.Result != scatter.Answered {
		reply.Load = c.pool.protocol.DecodeLoad(resp)
	}
	c.pool.observeLatency(reply.Took)
	usable := c.reusable(resp, written) && reply.Result != scatter.Lost
	c.lastID = call.Message.ID
	call.finish(reply)
	return usable && !call.isWithdrawn()
}

// readResponse reads the response to a message and returns the memory that its body takes. A
// second copy of the response before it is discarded: an upstream may send it where the next
// response is expected.
func (c *conn) readResponse(m *Message, head bool) (*fasthttp.Response, *bodylimit.Lease, error) {
	resp, body, err := c.readOne(head)
	if err != nil || c.lastID == "" || c.lastID == m.ID || c.pool.protocol.ResponseID(resp) != c.lastID || resp.ConnectionClose() {
		return resp, body, err
	}
	body.Release()
	return c.readOne(head)
}

// noResponseError is the error of a connection that failed before the first byte of a response.
type noResponseError struct{ error }

func (e *noResponseError) Unwrap() error { return e.error }

// readOne reads one response. The error is a noResponseError if not a byte of it arrived.
func (c *conn) readOne(head bool) (*fasthttp.Response, *bodylimit.Lease, error) {
	if _, err := c.br.Peek(1); err != nil {
		return nil, nil, &noResponseError{err}
	}
	c.dialTime = 0
	resp := &fasthttp.Response{SkipBody: head, StreamBody: true}
	if err := resp.ReadLimitBody(c.br, 0); err != nil {
		return nil, nil, err
	}
	nc := c.netConn
	// Fails only when the connection is already closed.
	abort := func() { _ = nc.SetDeadline(time.Now()) }
	body, err := c.pool.bodies.memory.ReadBody(resp, c.pool.bodies.limit, abort)
	return resp, body, err
}

// write sends the request; a large body is sent from another goroutine. The returned
// channel receives the result of the complete write, nil on success.
func (c *conn) write(req *fasthttp.Request, body int) (<-chan error, error) {
	done := make(chan error, 1)
	send := func() error {
		if err := req.Write(c.bw); err != nil {
			return err
		}
		return c.bw.Flush()
	}
	if body < asyncWriteBytes {
		err := send()
		done <- err
		return done, err
	}
	go func() { done <- send() }()
	return done, nil
}

// reusable reports whether the connection is ready for the next request and extends
// its idle time if so. Bytes after the response belong to no request. An upstream that
// responded before it had read the whole request would read the next request as the
// rest of that one.
func (c *conn) reusable(resp *fasthttp.Response, written <-chan error) bool {
	select {
	case err := <-written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if resp.ConnectionClose() || resp.Header.ContentLength() == -2 || c.br.Buffered() > 0 {
		return false
	}
	c.idleUntil = time.Now().Add(keepAlive(resp))
	return true
}

// keepAlive returns how long the connection may be idle and still be reused: the
// timeout of the Keep-Alive header less idleMargin, or defaultIdleTimeout.
func keepAlive(resp *fasthttp.Response) time.Duration {
	for field := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// noResponse returns the reply to a call that was written, at least in part, and whose
// connection failed before any response byte, elapsed after the start of the call.
func (c *conn) noResponse(err error, elapsed time.Duration) Reply {
	reply := c.lostReply(err)
	reply.ConnectedAt = c.dialledAt
	if isTimeout(err) || c.responses.Malformed() != nil || c.pool.isAbandoned() {
		return reply
	}
	reply.Result = scatter.Broken
	if c.dialTime > 0 && elapsed < c.dialTime+rejectMargin {
		c.pool.connRejected(time.Now())
		reply.Result = scatter.ConnectionClosed
	}
	return reply
}

// lostReply returns the reply to a call that was written, at least in part, and got no
// complete response.
func (c *conn) lostReply(err error) Reply {
	if isTimeout(err) {
		return Reply{Result: scatter.Lost, Detail: "no answer in time"}
	}
	c.pool.observer.ConnectionEnded(c.pool.upstream)
	if malformed := c.responses.Malformed(); malformed != nil {
		c.pool.observer.ResponseMalformed(malformed.Rule)
		return Reply{Result: scatter.Lost, Detail: malformed.Error()}
	}
	return Reply{Result: scatter.Lost, Detail: "connection: " + err.Error()}
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// usable reports whether an idle connection can carry a request. On a connection that
// the upstream has closed the request would be lost; on one with unread bytes it would
// get the answer to another request.
func (c *conn) usable(now time.Time) bool {
	if !now.Before(c.idleUntil) {
		return false
	}
	state := sockpeek.Look(c.netConn)
	if state == sockpeek.Ended {
		c.pool.observer.ConnectionEnded(c.pool.upstream)
	}
	return state == sockpeek.Idle
}
