// Package connpool sends requests from this VM to upstreams over pooled HTTP/1.1
// connections. A connection carries one request at a time, and the number of
// connections per upstream is limited to this VM's share of what the upstream
// accepts. The package never retries: each call is sent at most once.
//
// Lock order: Pools.mu, then Pool.mu, then Call.mu or Message.mu. No blocking operation runs under
// these locks: only the connection limit is read and idle sockets are inspected
// without blocking. Replies are delivered and bytes are transferred with no lock held.
package connpool

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Message is a caller's request as it is sent to upstreams. It is shared by all sends of the
// request, which do not change what it holds.
type Message struct {
	// ID is the request id that the caller gave this attempt.
	ID string
	// Header holds the method, target, host and end-to-end headers.
	Header *fasthttp.RequestHeader
	Body   []byte

	mu sync.Mutex
	// carriers holds the ids of the connections on which the message was written.
	carriers []uint64
}

// carriedBy reports whether the message was written on a connection.
func (m *Message) carriedBy(connection uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.carriers, connection)
}

// addCarrier records that the message is written on a connection.
func (m *Message) addCarrier(connection uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.carriers = append(m.carriers, connection)
}

// Reply is the outcome of a call.
type Reply struct {
	Result scatter.Result
	// Detail is a short reason for logs why there is no answer.
	Detail string
	// Proof is the upstream's signature of its answer.
	Proof string
	// Response is the upstream's response: set when Result is Answered or Failed.
	Response *fasthttp.Response
	// Body is the memory that the body of Response takes. Whoever receives the reply releases it.
	Body *bodylimit.Lease
	// Load is the load that the upstream reported with a response other than an answer; nil
	// without a report.
	Load *Load
	// Took is the time from the start of the write to the end of the response.
	Took time.Duration
	// ConnectedAt is when the opening of the connection began; set if the connection failed
	// before any response byte.
	ConnectedAt time.Time
}

// Load is the load that an upstream reports in a response.
type Load struct {
	// Running and Waiting count requests; Slots is the maximum that run concurrently.
	Running, Waiting, Slots int
	// Slowdown is the current duration of work on the upstream's VM relative to the usual
	// duration: 1 is normal, 2 is twice as long.
	Slowdown float64
}

// HasFreeSlot reports whether one more request would have run without queueing.
func (l *Load) HasFreeSlot() bool { return l.Waiting == 0 && l.Running < l.Slots }

// Protocol encodes requests to upstreams and decodes their responses.
type Protocol interface {
	// Encode fills in req; left is the time that the upstream has to respond.
	Encode(req *fasthttp.Request, m *Message, u *catalog.Upstream, left time.Duration)
	// ResponseID returns the id of the request that a response names, "" if it names none.
	ResponseID(resp *fasthttp.Response) string
	// Decode classifies a complete response. It returns the result, the upstream's
	// signature of an answer, and the reason when the response is not an answer.
	Decode(resp *fasthttp.Response, m *Message) (r scatter.Result, proof, detail string)
	// DecodeLoad returns the load that a response reports, or nil when the report is
	// missing or invalid.
	DecodeLoad(resp *fasthttp.Response) *Load
	// DecodeHealth decodes the response of a health path.
	DecodeHealth(resp *fasthttp.Response) (Health, error)
}

// Call is a single send of a message to one upstream.
type Call struct {
	Message  *Message
	Upstream *catalog.Upstream
	// Deadline is the hard deadline of the request.
	Deadline time.Time
	// AnswerBy is the soft deadline, used to order waiting calls; zero for none.
	AnswerBy time.Time
	// Extra marks retries and hedges: the message was sent to an upstream of the same
	// service before.
	Extra bool
	// Class orders calls that wait for a connection, the most urgent (0) first, and holds the
	// limits on open sends that apply to the call.
	Class
	// Barred is evaluated right before the call is written. It returns a short reason for
	// logs why the call must no longer go to this upstream, or "" to allow it. Nil allows
	// every call.
	Barred func() string
	// Done receives the reply exactly once, from another goroutine. It is not called
	// after Withdraw.
	Done func(Reply)

	mu sync.Mutex
	// queuedAt is when the call began to wait for a connection, zero if it got one
	// immediately; waited is the duration of the wait.
	queuedAt  time.Time
	waited    time.Duration
	conn      net.Conn
	withdrawn bool
	finished  bool
	// sent is set once the call has been given to a connection.
	sent bool
	// unsent is set if the call was withdrawn before any part of it was written.
	unsent bool
	// heldAt is when the limit of its class first held the call back, zero if it never did;
	// held is the time from then until it was sent.
	heldAt time.Time
	held   time.Duration

	// counted says that the call counts as an open send of its class, since startedAt. The lock
	// of the Pool guards both.
	counted   bool
	startedAt time.Time
}

// Withdraw cancels the call: Done is no longer called. A call that waits for a
// connection is dropped. The connection of a call in flight is closed, which makes
// the upstream stop working on it. Withdraw returns whether the call has certainly never been
// written, not even in part.
func (c *Call) Withdraw() (unsent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropUnsent() || c.withdrawn || c.finished {
		return c.unsent
	}
	c.withdrawn = true
	// Fails only when the connection is already closed.
	_ = c.conn.SetDeadline(time.Now())
	return false
}

// DropUnsent cancels the call if it has not been given to a connection, and returns whether it
// did: the call has then never been written, and Done is not called.
func (c *Call) DropUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropUnsent()
}

// dropUnsent implements DropUnsent. The caller holds mu.
func (c *Call) dropUnsent() bool {
	if c.withdrawn || c.finished || c.conn != nil {
		return false
	}
	c.endWait(time.Now())
	c.withdrawn, c.unsent = true, true
	return true
}

// Expire limits the time until which a call in flight may be answered, and returns whether Done
// is called, now or later. A call that waits for a connection is dropped.
func (c *Call) Expire(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.withdrawn:
		return false
	case c.finished:
		return true
	case c.dropUnsent():
		return false
	default:
		// Fails only when the connection is already closed.
		_ = c.conn.SetDeadline(deadline)
		return true
	}
}

// State is how far a call has come.
type State string

// States of calls.
const (
	// StateUnsent: no part of the call has been written.
	StateUnsent State = "unsent"
	// StateSent: the call has been written, or is being written, and has no complete response.
	StateSent State = "sent"
	// StateEnded: the call has its reply or was withdrawn.
	StateEnded State = "ended"
)

// State returns how far the call has come.
func (c *Call) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.finished || c.withdrawn:
		return StateEnded
	case c.conn != nil:
		return StateSent
	default:
		return StateUnsent
	}
}

// WasSent reports whether any part of the call may have been written.
func (c *Call) WasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// Waited returns how long the call waited, or has waited until now, because all
// connections that this VM may have to the upstream were in use.
func (c *Call) Waited(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queuedAt.IsZero() && c.waited == 0 {
		return now.Sub(c.queuedAt)
	}
	return c.waited
}

// markQueued records the start of the wait for a connection.
func (c *Call) markQueued(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedAt = now
}

// markDequeued records that the call got a connection.
func (c *Call) markDequeued(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWait(now)
}

// endWait records the end of the wait, with or without a connection. Otherwise a call that was
// withdrawn or refused while it waited would seem to wait for as long as its request runs. The
// caller holds mu.
func (c *Call) endWait(now time.Time) {
	if !c.queuedAt.IsZero() && c.waited == 0 {
		c.waited = max(now.Sub(c.queuedAt), 1)
	}
	if !c.heldAt.IsZero() && c.held == 0 {
		c.held = max(now.Sub(c.heldAt), 1)
	}
}

// markHeld records that the limit of its class holds the call back.
func (c *Call) markHeld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldAt.IsZero() {
		c.heldAt = now
	}
}

// Held returns how long the call waited, or has waited until now, since the limit of its class
// first held it back. It is part of Waited.
func (c *Call) Held(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heldAt.IsZero() && c.held == 0 {
		return max(now.Sub(c.heldAt), 1)
	}
	return c.held
}

// bind attaches the call to a connection and sets its deadline. It returns false when
// the call was withdrawn.
func (c *Call) bind(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawn {
		return false
	}
	c.conn = conn
	c.sent = true
	// The following write returns the same error.
	_ = conn.SetDeadline(c.Deadline)
	return true
}

// finish delivers the reply unless the call was withdrawn or is already finished.
func (c *Call) finish(r Reply) {
	c.mu.Lock()
	done := !c.withdrawn && !c.finished
	c.endWait(time.Now())
	c.finished = true
	c.conn = nil
	c.mu.Unlock()
	if !done {
		r.Body.Release()
		return
	}
	c.Done(r)
}

// barredReason returns why the call must not go to its upstream, "" when it may.
func (c *Call) barredReason() string {
	if c.Barred == nil {
		return ""
	}
	return c.Barred()
}

func (c *Call) isWithdrawn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withdrawn
}
