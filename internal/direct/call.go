// Package direct carries requests over a VM's own connections to upstreams: each
// request once, on a connection that carries one request at a time, within the
// VM's share of the connections that an upstream takes. It never sends anything
// again by itself.
//
// Lock order: Pools.mu, then Pool.mu, then Call.mu. Nothing that may wait is done
// while one of them is held: the limit of connections is asked for then, and an
// idle socket is looked at without blocking; replies are handed over and bytes
// moved with none held.
package direct

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

// Message is a caller's request as it goes to upstreams. It is shared by all
// sends of the request and never changed.
type Message struct {
	// ID is the caller's id of the attempt.
	ID string
	// Header holds method, target, host and the end-to-end headers.
	Header *fasthttp.RequestHeader
	Body   []byte
}

// Reply is how a call ended.
type Reply struct {
	Result scatter.Result
	// Detail says why there is no answer, in a few words for logs.
	Detail string
	// Proof is the upstream's signature of its answer.
	Proof string
	// Response is the upstream's answer: set when Result is Answered or Failed.
	Response *fasthttp.Response
	// Load is what the upstream reported of its load with anything but an answer, nil when it
	// did not.
	Load *Load
	// Took is the time from the start of the write to the end of the answer.
	Took time.Duration
}

// Load is what an upstream reports of its load with an answer.
type Load struct {
	// Running and Waiting are requests, Slots is how many may run at a time.
	Running, Waiting, Slots int
	// Pace is how long work takes on its VM at that moment, 1 as usual.
	Pace float64
}

// Room tells whether a further request would not have had to wait.
func (l *Load) Room() bool { return l.Waiting == 0 && l.Running < l.Slots }

// Protocol is how upstreams are spoken to.
type Protocol interface {
	// Encode fills in a request; left is the time that the upstream is given.
	Encode(req *fasthttp.Request, m *Message, u *catalog.Upstream, left time.Duration)
	// Decode judges a whole response: its result, the proof of the answer, and
	// why it is none.
	Decode(resp *fasthttp.Response, m *Message) (r scatter.Result, proof, detail string)
	// DecodeLoad reads what an answer reports of the upstream's load; nil when it reports
	// nothing, or nothing that can be read.
	DecodeLoad(resp *fasthttp.Response) *Load
	// DecodeHealth reads an answer of a health path.
	DecodeHealth(resp *fasthttp.Response) (Health, error)
}

// Call is one send of a message to one upstream.
type Call struct {
	Message  *Message
	Upstream *catalog.Upstream
	// Deadline is when nobody waits for the answer any more.
	Deadline time.Time
	// AnswerBy is when the answer should be there; zero when it never is late.
	AnswerBy time.Time
	// Extra says that the message was sent to an upstream of the same service before.
	Extra bool
	// Priority orders calls that wait for a connection; 0 goes first.
	Priority int
	// Barred tells, right before the call is written, why the upstream may not be given it any
	// more, in a few words for logs; empty when it may. Nil never bars.
	Barred func() string
	// Done gets the reply, once, from another goroutine; not after Withdraw.
	Done func(Reply)

	mu sync.Mutex
	// queuedAt is when the call began to wait for a connection, zero if it got
	// one at once; waited is for how long it did.
	queuedAt  time.Time
	waited    time.Duration
	conn      net.Conn
	withdrawn bool
	finished  bool
}

// Withdraw ends the call's interest: Done is not called any more. A call that
// waits for a connection is dropped; one that is under way loses its connection,
// which makes the upstream stop.
func (c *Call) Withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawn || c.finished {
		return
	}
	c.withdrawn = true
	if c.conn != nil {
		// An error means that the connection is closed already.
		_ = c.conn.SetDeadline(time.Now())
	}
}

// Waited is how long the call has waited, or waits, because all connections that
// this VM may have to the upstream were busy.
func (c *Call) Waited(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queuedAt.IsZero() && c.waited == 0 {
		return now.Sub(c.queuedAt)
	}
	return c.waited
}

// queued notes that the call waits from now on, dequeued that it does no longer.
func (c *Call) queued(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queuedAt = now
}

func (c *Call) dequeued(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queuedAt.IsZero() {
		c.waited = max(now.Sub(c.queuedAt), 1)
	}
}

// start binds the call to a connection; false when it was withdrawn.
func (c *Call) start(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawn {
		return false
	}
	c.conn = conn
	// An error shows again at the write.
	_ = conn.SetDeadline(c.Deadline)
	return true
}

// finish hands over the reply unless the call was withdrawn.
func (c *Call) finish(r Reply) {
	c.mu.Lock()
	done := !c.withdrawn && !c.finished
	c.finished = true
	c.conn = nil
	c.mu.Unlock()
	if done {
		c.Done(r)
	}
}

// barred is why the upstream may not be given the call any more, empty when it may.
func (c *Call) barred() string {
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
