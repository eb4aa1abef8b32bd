package edge

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/bodylimit"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

// Request is one request from a caller.
type Request struct {
	Host string
	// Path is the path of the request target, as sent.
	Path    string
	Message *connpool.Message
	// Received is when the request was read.
	Received time.Time
	// Deadline is how long the caller waits from Received; 0 if it sets no deadline.
	Deadline time.Duration
	// Conn is the caller's connection, used to detect that the caller has left. It may be
	// nil.
	Conn net.Conn
	// Route is the matched route; nil before the lookup.
	Route    *routing.Route
	progress progress
	// trial marks a suspect, which is tried at one upstream first.
	trial bool
	// queued is how long the query waited for a place under the limit of its shards.
	queued time.Duration
	// returning says that its deadline shows the query to be its caller's second try.
	returning bool
	// fingerprint caches the result of contentFingerprint; zero before the first call.
	fingerprint fingerprint.Fingerprint
}

// contentFingerprint identifies the content of the request. It is computed on first use,
// which is when upstreams end under requests: hashing a large body takes a slow VM
// milliseconds.
func (r *Request) contentFingerprint() fingerprint.Fingerprint {
	if r.fingerprint == (fingerprint.Fingerprint{}) {
		h := r.Message.Header
		r.fingerprint = fingerprint.Of(string(h.Method()), routing.NormalHost(r.Host), string(h.RequestURI()), r.Message.Body)
	}
	return r.fingerprint
}

// timeout returns how long the request may take from Received.
func (r *Request) timeout() time.Duration {
	timeout := defaultTimeout
	if r.Deadline > 0 {
		timeout = min(timeout, r.Deadline-deadlineMargin)
	}
	if r.Route.Timeout > 0 {
		timeout = min(timeout, r.Route.Timeout)
	}
	return timeout
}

// callerGone reports whether the caller has closed its connection.
func (r *Request) callerGone() bool {
	return r.Conn != nil && sockpeek.Look(r.Conn) == sockpeek.Ended
}

// Reason says why a request was refused or failed. The answer, the log and the metrics use
// the same value. Reasons of package scatter are converted unchanged.
type Reason string

// Reasons in addition to those of package scatter.
const (
	// Unready: there is no configuration yet.
	Unready Reason = "unready"
	// NoRoute: no route matches the request.
	NoRoute Reason = "no_route"
	// NoUpstreamAtHome: no upstream in a home region of the route accepts work.
	NoUpstreamAtHome Reason = "no_upstream_at_home"
	// Evacuated: all upstreams that could run the request are in evacuated data centres.
	Evacuated Reason = "evacuated"
	// ColdUpstreams: all upstreams that could run the request are cold and sustain too few
	// requests.
	ColdUpstreams Reason = "cold_upstreams"
	// Overloaded: too many requests are in flight on this VM, or its scheduling delay is too
	// high.
	Overloaded Reason = "overloaded"
	// Congested: the upstreams of the query's shards are at their capacity.
	Congested Reason = "congested"
	// PoisonRequest: the request crashes upstreams and is sent to none.
	PoisonRequest Reason = "poison_request"
	// SuspectHeld: upstreams have ended under the request, and other attempts are trying it.
	SuspectHeld Reason = "suspect_held"
	// Stopping: this VM shuts down before an answer can arrive.
	Stopping = Reason(scatter.Stopping)
	// CallerGone: the caller closed its connection.
	CallerGone Reason = "caller_gone"
	// Malformed: the request violates the protocol.
	Malformed Reason = "malformed"
	// BodyTooLarge: the body exceeds the limit.
	BodyTooLarge Reason = "body_too_large"
	// HeaderTooLarge: the request line and headers exceed the limit.
	HeaderTooLarge Reason = "head_too_large"
	// RequestTooSlow: the request did not arrive in time.
	RequestTooSlow Reason = "request_too_slow"
	// NoBodyMemory: the bodies of all callers together take too much memory.
	NoBodyMemory Reason = "no_body_memory"
	// Displaced: the connection is needed for another caller, and its request has not arrived.
	Displaced Reason = "displaced"
)

// Retry times that refusals recommend.
const (
	// unreadyRetry applies when no configuration arrived within startupConfigWait: the store
	// and all peers are unreachable or starting as well.
	unreadyRetry = 800 * time.Millisecond
	// overloadRetry lets about a dozen ordinary requests finish.
	overloadRetry = 300 * time.Millisecond
	// refusedRetry lets a full upstream free a slot.
	refusedRetry = 100 * time.Millisecond
	// noUpstreamRetry is half the time that upstreams with lapsed entries take to register
	// again, so that half of the callers refused meanwhile return after that.
	noUpstreamRetry = time.Second
)

// Answer is the outcome of a request.
type Answer struct {
	// Reason is empty if the request was answered.
	Reason Reason
	// NotRun says that no upstream has run the request or will run it.
	NotRun bool
	// RetryAfter is the recommended time until a retry; 0 for no recommendation.
	RetryAfter time.Duration
	// Response is the unchanged response of one upstream; nil for a merged answer or a
	// refusal.
	Response *fasthttp.Response
	// Memory is what the body of Response takes; to be released once it has been written.
	Memory *bodylimit.Lease
	// Proofs, Missing and Body describe a merged answer: the signatures of its parts, the
	// number of missing shards, and the merged records.
	Proofs  []string
	Missing int
	Body    []byte
	// CongestedParts is how many parts were refused by a full upstream.
	CongestedParts int
	// HeldUpParts is how many parts waited at this VM for a quarter of the objective or
	// longer.
	HeldUpParts int
	// Sends is the number of sends to upstreams.
	Sends int
	// BrokenSends is how many sends ended with the connection closed before any byte of an
	// answer, AnsweredSends how many were answered.
	BrokenSends, AnsweredSends int
	// SlowestUpstream is the upstream whose reply came last and SlowestAfter the time from
	// Received until then. SlowestUpstream is empty if none replied.
	SlowestUpstream string
	SlowestAfter    time.Duration
	// Held is the longest wait of a send because of the limit of its class.
	Held time.Duration
	// BudgetRefusals is how many extra sends the retry budget refused.
	BudgetRefusals int
	// Hedging is which hedges were made and forgone.
	Hedging scatter.Hedging
	// Stages is how long each stage of the request took.
	Stages Stages
	// Elapsed is the time from Received to the end of the request.
	Elapsed time.Duration
}

func refuse(reason Reason, after time.Duration) Answer {
	return Answer{Reason: reason, NotRun: true, RetryAfter: after}
}

// retryAfter returns when a caller may retry a request that has not run.
func retryAfter(reason scatter.Reason) time.Duration {
	switch reason {
	case scatter.NoUpstream:
		return noUpstreamRetry
	case scatter.Stopping:
		return stoppingRetry
	default:
		return refusedRetry
	}
}
