package direct

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
)

const (
	// dialTimeout bounds the opening of a connection. A VM behind a partition
	// does not answer at all; three round trips between regions and the
	// upstream's own handshake take well under a tenth of a second.
	dialTimeout = 500 * time.Millisecond
	// idleDefault is how long an idle connection is used again when the upstream
	// has not said how long it keeps one.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the time that the upstream said: its close may be
	// on the way while a request is written.
	idleMargin = 500 * time.Millisecond
	// bufferBytes is each connection's buffer for reading and for writing; a
	// usual request or part fits.
	bufferBytes = 2048
	// maxReplyBytes bounds an answer that is held whole in memory.
	maxReplyBytes = 16 << 20
	// shutMargin is added to the time that a connection took to open: one that is
	// closed within both, before any byte of an answer, was not let in. Work and
	// the set-up of a connection at an upstream take longer.
	shutMargin = 4 * time.Millisecond
	// asideBytes is the body size from which a request is written beside the
	// reading of the answer: an upstream may answer before it has read a long
	// body, and writing would wait for it to read on.
	asideBytes = 8 << 10
)

// conn is one connection and the goroutine that uses it.
type conn struct {
	pool *Pool
	net  net.Conn
	// bytes is what the present call has moved, both ways.
	bytes atomic.Int64
	br    *bufio.Reader
	bw    *bufio.Writer
	// work hands over the next call; it is closed to end the connection.
	work chan *Call
	// idleUntil is when the upstream may close the idle connection.
	idleUntil time.Time
	// dialed is how long the connection took to open; 0 once it has carried an
	// answer.
	dialed time.Duration
}

// run opens the connection and serves calls until it is of no more use.
func (c *conn) run(call *Call) {
	defer c.pool.ended(c)
	began := time.Now()
	nc, err := net.DialTimeout("tcp", c.pool.upstream.Address, min(dialTimeout, max(time.Until(call.Deadline), time.Millisecond)))
	if err != nil {
		c.pool.refuse(call, err)
		return
	}
	if !c.pool.opens(nc) {
		// An error says no more than that it is closed.
		_ = nc.Close()
		call.finish(Reply{Result: scatter.Unreached, Detail: goneUpstream})
		return
	}
	c.net = nc
	c.dialed = time.Since(began)
	c.pool.observer.Opened(c.pool.upstream)
	counted := traffic.CountConn(nc, func(n int) { c.bytes.Add(int64(n)) })
	c.br = bufio.NewReaderSize(counted, bufferBytes)
	c.bw = bufio.NewWriterSize(counted, bufferBytes)
	c.idleUntil = time.Now().Add(idleDefault)
	defer nc.Close()
	if err := c.greet(counted); err != nil {
		call.finish(Reply{Result: scatter.Barred, Detail: "health: " + err.Error()})
		return
	}
	for call != nil {
		if !c.serve(call) {
			return
		}
		call = c.pool.next(c)
	}
}

// serve carries one call; false when the connection is of no more use.
func (c *conn) serve(call *Call) bool {
	now := time.Now()
	left := call.Deadline.Sub(now)
	if left < time.Millisecond {
		call.finish(Reply{Result: scatter.Expired, Detail: "no time left"})
		return true
	}
	if why := call.barred(); why != "" {
		call.finish(Reply{Result: scatter.Barred, Detail: why})
		return true
	}
	if !call.start(c.net) {
		return true
	}
	defer func() { c.pool.observer.Sent(c.pool.upstream, call.Extra, int(c.bytes.Swap(0))) }()
	var req fasthttp.Request
	c.pool.protocol.Encode(&req, call.Message, call.Upstream, left)
	written, err := c.write(&req, len(call.Message.Body))
	if err != nil {
		call.finish(c.unanswered(err, time.Since(now)))
		return false
	}
	if _, err = c.br.Peek(1); err != nil {
		call.finish(c.unanswered(err, time.Since(now)))
		return false
	}
	c.dialed = 0
	resp := &fasthttp.Response{}
	resp.SkipBody = req.Header.IsHead()
	err = resp.ReadLimitBody(c.br, maxReplyBytes)
	if err != nil {
		call.finish(c.lost(err))
		return false
	}
	reply := Reply{Response: resp, Took: time.Since(now)}
	reply.Result, reply.Proof, reply.Detail = c.pool.protocol.Decode(resp, call.Message)
	if reply.Result != scatter.Answered {
		reply.Load = c.pool.protocol.DecodeLoad(resp)
	}
	c.pool.answered(reply.Took)
	usable := c.reusable(resp, written) && reply.Result != scatter.Lost
	call.finish(reply)
	return usable && !call.isWithdrawn()
}

// write sends the request. The channel gives nil once all of it is written.
func (c *conn) write(req *fasthttp.Request, body int) (<-chan error, error) {
	done := make(chan error, 1)
	send := func() error {
		if err := req.Write(c.bw); err != nil {
			return err
		}
		return c.bw.Flush()
	}
	if body < asideBytes {
		err := send()
		done <- err
		return done, err
	}
	go func() { done <- send() }()
	return done, nil
}

// reusable tells whether the connection stands right before the next answer.
// Bytes after the answer belong to no request, and an upstream that answered
// before it had read the whole request would take the next one for the rest.
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

// keepAlive is how long the upstream keeps the connection open while idle.
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
	return idleDefault
}

// unanswered is the reply of a call that was written, at least in part, and of
// whose answer no byte has come after so long.
func (c *conn) unanswered(err error, after time.Duration) Reply {
	reply := c.lost(err)
	if !timedOut(err) && !c.pool.isAbandoned() {
		reply.Result = scatter.Broken
	}
	if c.dialed > 0 && after < c.dialed+shutMargin && !c.pool.isAbandoned() {
		c.pool.shut(time.Now())
		reply.Result = scatter.Shut
	}
	return reply
}

// lost is the reply of a call that was written, at least in part, and has no
// whole answer.
func (c *conn) lost(err error) Reply {
	if timedOut(err) {
		return Reply{Result: scatter.Lost, Detail: "no answer in time"}
	}
	c.pool.observer.Ended(c.pool.upstream)
	return Reply{Result: scatter.Lost, Detail: "connection: " + err.Error()}
}

// timedOut tells whether an error of a connection says that its time was up.
func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// usable looks whether an idle connection can take a request. A connection that
// the upstream has closed, or on which something waits that answers no request,
// cannot: the request would be lost, or get a foreign answer.
func (c *conn) usable(now time.Time) bool {
	if !now.Before(c.idleUntil) {
		return false
	}
	state := sockpeek.Look(c.net)
	if state == sockpeek.Ended {
		c.pool.observer.Ended(c.pool.upstream)
	}
	return state == sockpeek.Quiet
}
