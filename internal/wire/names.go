// Package wire speaks HTTP with callers and upstreams of opaque requests and of
// merged queries. The names of the headers are handed in, so that the project's
// own interface and the users' platform share one implementation.
package wire

// Names is the headers that carry what HTTP has no words for.
type Names struct {
	// RequestID identifies one attempt of a caller.
	RequestID string
	// Deadline is how many milliseconds whoever asks will wait from now.
	Deadline string
	// Proof is an upstream's signature of its answer.
	Proof string
	// ExpectUpstream names the only upstream that may run the request.
	ExpectUpstream string
	// NotRun marks answers to requests that were not run.
	NotRun string
	// Upstream is the id of the upstream that answers a call to its health path, Cold how
	// many milliseconds longer it is cold.
	Upstream, Cold string
	// Load is the upstream's running requests, waiting requests, slots and, where it says it,
	// how long work takes in hundredths of the usual, with commas between.
	Load string
	// Parts lists the proofs of the parts of a merged answer.
	Parts string
	// Missing is the number of shards that a merged answer leaves out.
	Missing string
}

// Own is the names of the project's own interface.
func Own() Names {
	return Names{
		RequestID:      "X-Request-Id",
		Deadline:       "X-Deadline-Ms",
		Proof:          "X-Proof",
		ExpectUpstream: "X-Expect-Upstream",
		NotRun:         "X-Not-Run",
		Upstream:       "X-Upstream",
		Cold:           "X-Cold-Ms",
		Load:           "X-Load",
		Parts:          "X-Parts",
		Missing:        "X-Missing-Parts",
	}
}
