package scatter

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// Result is how one send ended.
type Result int

// Results.
const (
	// Answered is a whole, valid answer.
	Answered Result = iota
	// Unreached was never given to the upstream: nothing arrived there.
	Unreached
	// Refused arrived, and the upstream states that it has not run it.
	Refused
	// Failed ran, and the upstream answered with a failure.
	Failed
	// Lost has no valid answer; the upstream may have run it.
	Lost
	// Broken was written to an upstream that ended the connection before any byte of an
	// answer: it may have run it, or have crashed under it.
	Broken
	// Expired was not sent, because no time was left.
	Expired
	// Shut was written to a connection that the upstream closed as soon as it was
	// open, sooner than anything could have run: it takes no more connections.
	// That is no proof, so a request that may run only once is not sent again.
	Shut
	// NoConnection never left this VM: it may have no more connections to the
	// upstream, and none came free.
	NoConnection
	// Barred was not sent: meanwhile the upstream may not be given the request any more.
	Barred
)

// Survived tells whether the result shows that the upstream has run the request and lives.
func (r Result) Survived() bool { return r == Answered || r == Failed }

// Reached tells whether the request has arrived at the upstream, or may have.
func (r Result) Reached() bool {
	return r != Unreached && r != Expired && r != NoConnection && r != Barred
}

// NotRun tells whether the result proves that the upstream has not run the
// request.
func (r Result) NotRun() bool {
	return r == Refused || !r.Reached()
}

// String is the result's name in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "unreached", "refused", "failed", "lost", "broken", "expired", "shut", "no_connection", "barred"}[r]
}

// Reason says why a request ended without an answer, in logs, metrics and the
// body of the refusal.
type Reason string

// Reasons.
const (
	// None: there is an answer.
	None Reason = ""
	// NoUpstream: no upstream of a service is known, or none that may be tried.
	NoUpstream Reason = "no_upstream"
	// AllRefused: every upstream tried refused it.
	AllRefused Reason = "all_refused"
	// UpstreamFailed: upstreams failed, or their answers were lost.
	UpstreamFailed Reason = "upstream_failed"
	// TooFewParts: too many shards cannot answer any more.
	TooFewParts Reason = "too_few_parts"
	// TimedOut: the caller's deadline or the route's timeout has come.
	TimedOut Reason = "timed_out"
)

// Plan is what is known of a request before anything is sent.
type Plan struct {
	// Services holds the service of each part.
	Services []string
	// Idempotent requests may be sent again after they may have run.
	Idempotent bool
	// Attempts is the most upstreams that may run one part.
	Attempts int
	// MinParts is how many parts make an answer.
	MinParts int
	// AnswerBy is when an answer must leave to meet the route's objective.
	AnswerBy time.Time
	// GiveUp is when the caller or the route's timeout ends the request.
	GiveUp time.Time
	// Trial says that upstreams have ended under the same request before: one is asked
	// alone, and others once it has survived it.
	Trial bool
}

// Policy chooses and accounts; the Query asks it while it is stepped.
type Policy interface {
	// Choose is the upstream for a part, none of the tried; nil without one.
	Choose(part int, tried []string) *catalog.Upstream
	// Spend takes an extra send of a part's service from the budget.
	Spend(part int, kind retrybudget.Kind) bool
	// Reachable tells whether any upstream of a part may be reached; false while
	// all of them have just been found unreachable.
	Reachable(part int) bool
	// HedgeDelay is how long to wait for an upstream before a part is hedged.
	HedgeDelay(part int, u *catalog.Upstream) time.Duration
}

// Cause says why something is sent.
type Cause string

// Causes.
const (
	First        Cause = "first"
	AfterRefusal Cause = "after_refusal"
	AfterFailure Cause = "after_failure"
	AfterUnreach Cause = "after_unreached"
	// AfterFull follows a send that was not let in, or found no connection.
	AfterFull Cause = "after_full"
	// AfterBar follows a send that might not be made any more.
	AfterBar      Cause = "after_bar"
	BecauseIsLate Cause = "hedge"
)

// Send is one send to make. Attempt numbers the sends of a query from 0.
type Send struct {
	Attempt  int
	Part     int
	Upstream *catalog.Upstream
	Cause    Cause
}

// Verdict is how the request ended.
type Verdict struct {
	// Reason is None when there is an answer.
	Reason Reason
	// NotRun says that no upstream has run any part or will.
	NotRun bool
	// Parts holds the attempt whose answer stands for each part, -1 for a part
	// that is missing.
	Parts []int
	// Failure is the attempt whose failure an upstream reported, -1 for none.
	Failure int
}
