// Package wire implements the HTTP protocols with callers and with upstreams, both for
// opaque requests and for merged queries. The header names are parameters, so that the
// project's own interface and the users' platform share one implementation.
package wire

// HeaderNames holds the names of the protocol's custom HTTP headers.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller's request.
	RequestID string
	// Deadline is the remaining time, in milliseconds, that the sender waits for a response.
	Deadline string
	// Proof is an upstream's signature of its answer.
	Proof string
	// ExpectUpstream is the id of the only upstream that may run the request.
	ExpectUpstream string
	// NotRun marks responses to requests that were not run.
	NotRun string
	// Upstream and Cold are set in responses of a health path: the id of the responding
	// upstream and the milliseconds until it is warm.
	Upstream, Cold string
	// Load is a comma-separated list: the upstream's running requests, waiting requests,
	// slots and, optionally, the current duration of work in hundredths of the usual.
	Load string
	// Parts lists the proofs of the parts of a merged answer, separated by commas.
	Parts string
	// MissingParts is the number of shards whose part is missing from a merged answer.
	MissingParts string
}

// DefaultHeaderNames returns the header names of the project's own interface.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID:      "X-Request-Id",
		Deadline:       "X-Deadline-Ms",
		Proof:          "X-Proof",
		ExpectUpstream: "X-Expect-Upstream",
		NotRun:         "X-Not-Run",
		Upstream:       "X-Upstream",
		Cold:           "X-Cold-Ms",
		Load:           "X-Load",
		Parts:          "X-Parts",
		MissingParts:   "X-Missing-Parts",
	}
}
