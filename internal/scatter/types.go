package scatter

import (
	"fmt"
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// Result is how one send ended.
type Result int

// Results of a send.
const (
	// Answered: a complete, valid answer arrived.
	Answered Result = iota
	// Unreached: nothing arrived at the upstream.
	Unreached
	// Refused: the upstream states that it has not run the request.
	Refused
	// Failed: the upstream answered with a failure.
	Failed
	// Lost: no valid answer arrived; the upstream may have run the request.
	Lost
	// Broken: the request was written, but the upstream ended the connection before the
	// first byte of an answer. It may have run the request, or have crashed while running it.
	Broken
	// Expired: the request was not sent, because no time was left.
	Expired
	// ConnectionClosed: the request was written to a connection that the upstream closed as soon as it
	// was open, too soon to have run anything: the upstream accepts no more connections. That
	// is no proof, so a request that may run only once is not sent again.
	ConnectionClosed
	// NoConnection: the request did not leave this VM, because the VM may open no more
	// connections to the upstream and none became free.
	NoConnection
	// Barred: the request was not sent, because the upstream may no longer be given it.
	Barred
)

// Survived reports whether the upstream has run the request without crashing.
func (r Result) Survived() bool { return r == Answered || r == Failed }

// Reached reports whether the request has arrived at the upstream, or may have.
func (r Result) Reached() bool {
	return r != Unreached && r != Expired && r != NoConnection && r != Barred
}

// NotRun reports whether the result proves that the upstream has not run the request.
func (r Result) NotRun() bool {
	return r == Refused || !r.Reached()
}

// String returns the result's name in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "unreached", "refused", "failed", "lost", "broken", "expired", "shut", "no_connection", "barred"}[r]
}

// Reason is why a request ended without an answer, as written to logs, metrics and the body
// of the refusal.
type Reason string

// Reasons for the end of a request.
const (
	// None: there is an answer.
	None Reason = ""
	// NoUpstream: no upstream of a service is known, or none may be tried.
	NoUpstream Reason = "no_upstream"
	// AllRefused: every upstream that was tried refused the request.
	AllRefused Reason = "all_refused"
	// UpstreamFailed: upstreams failed, or their answers were lost.
	UpstreamFailed Reason = "upstream_failed"
	// TooFewParts: too many shards cannot answer any more.
	TooFewParts Reason = "too_few_parts"
	// TimedOut: the caller's deadline or the route's timeout has passed.
	TimedOut Reason = "timed_out"
	// Stopping: this VM shuts down before an answer can arrive.
	Stopping Reason = "stopping"
)

// Plan describes a request before anything is sent.
type Plan struct {
	// Services holds the service of each part.
	Services []string
	// Idempotent requests may be sent again after they may have run.
	Idempotent bool
	// Attempts is the largest number of upstreams that may run one part.
	Attempts int
	// MinParts is the least number of parts that make an answer.
	MinParts int
	// AnswerBy is when an answer must leave to meet the route's objective.
	AnswerBy time.Time
	// LateGrace is how long an answer that reaches its minimum after LatestInTime waits for the
	// other parts. Package balance compares values; elsewhere both are zero and such an answer
	// leaves at once.
	LateGrace    time.Duration
	LatestInTime time.Time
	// Deadline is the request's deadline, set by the caller or the route's timeout.
	Deadline time.Time
	// Trial is set if upstreams have crashed while running the same request before: it is
	// sent to one upstream alone, and to others only after that one has survived it.
	Trial bool
}

// Stop limits a query on a VM that is shutting down.
type Stop struct {
	// LastSend is until when sends are made: the answer to a later one would not arrive in time.
	LastSend time.Time
	// End is when the query ends, with whatever has been answered.
	End time.Time
}

// Policy chooses upstreams and keeps the budget. A Query calls it during a step.
type Policy interface {
	// Choose returns an upstream for a part that is not among the tried ids, nil if there
	// is none.
	Choose(part int, tried []string) *catalog.Upstream
	// Spend takes one extra send from the budget of a part's service. It returns false if
	// the budget is exhausted.
	Spend(part int, kind retrybudget.Kind) bool
	// Reachable reports whether any upstream of a part may be reachable; false while
	// recent connections to all of them have failed.
	Reachable(part int) bool
	// HedgeDelay returns how long to wait for an upstream's answer before a part is hedged.
	HedgeDelay(part int, u *catalog.Upstream) time.Duration
	// Busy reports whether a further send to an upstream would have to wait at this VM, and the
	// time until the upstream's next answer, when it may have become free.
	Busy(part int, u *catalog.Upstream) (busy bool, freeIn time.Duration)
	// HedgeAllowedAt returns when the budget of a part's service is expected to allow a hedge
	// that it has refused, zero if never.
	HedgeAllowedAt(part int) time.Time
}

// Forgone is why a hedge that was due was not made.
type Forgone int

// Reasons for forgone hedges.
const (
	// CopyBusy: calls to the upstream that would get the hedge have to wait at this VM.
	CopyBusy Forgone = iota
	// OverBudget: the budget refused the hedge.
	OverBudget
	forgoneReasons
)

// String returns the reason's name in logs and metrics.
func (f Forgone) String() string { return [...]string{"copy_busy", "budget"}[f] }

// Hedging describes the hedges of a query: how many were made, and for how many parts one that
// was due was forgone at least once, by reason.
type Hedging struct {
	Made    int
	Forgone [forgoneReasons]int
}

// ForgoneString returns the forgone hedges by reason for logs, empty if there are none.
func (h *Hedging) ForgoneString() string {
	var out []string
	for reason, n := range h.Forgone {
		if n > 0 {
			out = append(out, fmt.Sprintf("%v=%d", Forgone(reason), n))
		}
	}
	return strings.Join(out, " ")
}

// Cause is why a send is made, as written to logs and metrics.
type Cause string

// Causes of a send.
const (
	First          Cause = "first"
	AfterRefusal   Cause = "after_refusal"
	AfterFailure   Cause = "after_failure"
	AfterUnreached Cause = "after_unreached"
	// AfterFull follows the result ConnectionClosed or NoConnection.
	AfterFull Cause = "after_full"
	// AfterBarred follows the result Barred.
	AfterBarred Cause = "after_bar"
	// Hedge duplicates a send whose answer is late.
	Hedge Cause = "hedge"
)

// Send is one send to make. Attempt numbers the sends of a query from 0.
type Send struct {
	Attempt  int
	Part     int
	Upstream *catalog.Upstream
	Cause    Cause
}

// Outcome is how a request ended.
type Outcome struct {
	// Reason is None if there is an answer.
	Reason Reason
	// NotRun is set if no upstream has run any part or will.
	NotRun bool
	// Parts holds the attempt that answered each part, -1 for a missing part.
	Parts []int
	// Failure is the last attempt that an upstream answered with a failure, -1 for none.
	Failure int
}
