package edge

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sockpeek"
)

// Request is one request of a caller.
type Request struct {
	Host string
	// Path is the target's path, as sent.
	Path    string
	Message *direct.Message
	// Received is when the request was read.
	Received time.Time
	// Deadline is how long the caller waits from then; 0 when it does not say.
	Deadline time.Duration
	// Conn is the caller's connection, to see whether it is still there; may be
	// nil.
	Conn net.Conn
	// Route is set once it is found.
	Route *routing.Route
	// trial says that the request is a suspect, which is tried at one upstream first.
	trial bool
	// fingerprint is what content works out, zero before.
	fingerprint fingerprint.Fingerprint
}

// content identifies what is asked. It is worked out when it is needed, which is when
// upstreams end under requests: the hash of a large body takes a weak VM milliseconds.
func (r *Request) content() fingerprint.Fingerprint {
	if r.fingerprint == (fingerprint.Fingerprint{}) {
		h := r.Message.Header
		r.fingerprint = fingerprint.Of(string(h.Method()), routing.NormalHost(r.Host), string(h.RequestURI()), r.Message.Body)
	}
	return r.fingerprint
}

// wait is how long the request may take from Received.
func (r *Request) wait() time.Duration {
	wait := noDeadline
	if r.Deadline > 0 {
		wait = min(wait, r.Deadline-giveUpMargin)
	}
	if r.Route.Timeout > 0 {
		wait = min(wait, r.Route.Timeout)
	}
	return wait
}

// gone tells whether the caller has closed its connection.
func (r *Request) gone() bool {
	return r.Conn != nil && sockpeek.Look(r.Conn) == sockpeek.Ended
}

// Reason says why a request was refused or failed; it is the same word in the
// answer, the log and the metrics. The reasons of scatter are used as they are.
type Reason string

// Reasons beside those of scatter.
const (
	// Unready: no configuration is known yet.
	Unready Reason = "unready"
	// NoRoute: no route takes the request.
	NoRoute Reason = "no_route"
	// NoUpstreamAtHome: no upstream that takes work is in a home of the route.
	NoUpstreamAtHome Reason = "no_upstream_at_home"
	// Evacuated: all upstreams that could take the request are in evacuated data centres.
	Evacuated Reason = "evacuated"
	// ColdUpstreams: all upstreams that could take the request are cold, and bear too little.
	ColdUpstreams Reason = "cold_upstreams"
	// Overloaded: too many requests are in flight on this VM.
	Overloaded Reason = "overloaded"
	// Congested: the upstreams of the query's shards have no room for more.
	Congested Reason = "congested"
	// Poison: upstreams crash under the request, so that it is sent to none.
	Poison Reason = "poison_request"
	// Held: upstreams have ended under the request, and others are trying it.
	Held Reason = "suspect_held"
	// Gone: the caller closed its connection.
	Gone Reason = "caller_gone"
	// Malformed: the request breaks the interface's rules.
	Malformed Reason = "malformed"
	// TooLarge: the body is over the limit.
	TooLarge Reason = "body_too_large"
	// HeadTooLarge: the head is over the limit.
	HeadTooLarge Reason = "head_too_large"
	// TooSlow: the request did not arrive in time.
	TooSlow Reason = "request_too_slow"
)

// Waits that refusals recommend.
const (
	// unreadyRetry is for processes that have not learnt the configuration within startHold:
	// the store and all peers are away, or start as well.
	unreadyRetry = 800 * time.Millisecond
	// overloadRetry lets about a dozen requests of the usual kind finish.
	overloadRetry = 300 * time.Millisecond
	// refusedRetry lets a full upstream free a slot.
	refusedRetry = 100 * time.Millisecond
	// noUpstreamRetry is half of what upstreams whose entries have lapsed take to register
	// again: half of the callers that come meanwhile return when they have.
	noUpstreamRetry = time.Second
)

// Answer is how a request ended.
type Answer struct {
	// Reason is empty when there is an answer.
	Reason Reason
	// NotRun says that no upstream has run the request or will.
	NotRun bool
	// RetryAfter is when to come back; 0 recommends nothing.
	RetryAfter time.Duration
	// Response is an upstream's own answer, whole; nil for a merged answer or a
	// refusal.
	Response *fasthttp.Response
	// Proofs, Missing and Body are a merged answer: the signatures of its parts,
	// the number of shards that are left out, and the records.
	Proofs  []string
	Missing int
	Body    []byte
	// Crowded is how many parts found no room at an upstream.
	Crowded int
	// Sends is how often upstreams were asked.
	Sends int
	// Broken is how many of the sends ended with their connection, without a byte of an
	// answer, and Replied how many brought a part.
	Broken, Replied int
	// Slowest is the upstream whose reply came last, and SlowestAfter how long
	// after Received; empty when none replied.
	Slowest      string
	SlowestAfter time.Duration
	// Unspent is how many extra sends the retry budget did not allow.
	Unspent int
	// Stages is where the time went.
	Stages Stages
	// Took is the time from Received.
	Took time.Duration
}

func refuse(reason Reason, after time.Duration) Answer {
	return Answer{Reason: reason, NotRun: true, RetryAfter: after}
}

// retryAfter is when a caller may come back after a query that ran nothing.
func retryAfter(reason scatter.Reason) time.Duration {
	if reason == scatter.NoUpstream {
		return noUpstreamRetry
	}
	return refusedRetry
}
