// Package scatter is the state machine of one request: to which upstreams its parts are sent,
// when a part is retried or hedged, when to stop waiting, and how the request ends. A plain
// request is a query of one part. A Query does no I/O and reads no clock: each step takes the
// time, and possibly a result, and returns the sends to make. Package edge makes them.
package scatter

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

const (
	// minHedgeWait is the least wait before a forgone hedge is considered again, so that a
	// policy that returns times in the past cannot keep the query busy.
	minHedgeWait = 5 * time.Millisecond
	// refusalBackoff is the first wait before a part is sent again after every upstream
	// refused it or was full; it doubles each time. A slot of a full upstream frees about
	// that often.
	refusalBackoff = 20 * time.Millisecond
	// maxRefusals is how often a part may be refused before it is given up.
	maxRefusals = 5
	// minRemaining is the least time before the deadline in which a hedge can still be of
	// use: a round trip to the caller within one region.
	minRemaining = 5 * time.Millisecond
)

// attempt is one send and its result.
type attempt struct {
	part   int
	ended  bool
	result Result
	// isolated is set if the query was isolated when it made the send.
	isolated bool
}

// part is the state of one part.
type part struct {
	// answer and failure are indexes of attempts, -1 for none.
	answer  int
	failure int
	givenUp bool
	open    int
	// mayHaveRun counts the sends that are not proved not run.
	mayHaveRun int
	// shut counts the sends with the result ConnectionClosed.
	shut    int
	refused int
	// tried holds the ids of the upstreams tried since the last backoff.
	tried []string
	// hedgeAt and retryAt are zero if nothing is scheduled; retryCause is the cause of the
	// send scheduled at retryAt.
	hedgeAt    time.Time
	retryAt    time.Time
	retryCause Cause
	// hedgeHeld is set if a hedge is held back until the query is no longer isolated;
	// forgoneFor holds the reasons of all forgone hedges.
	hedgeHeld  bool
	forgoneFor [forgoneReasons]bool
	// heldCause is the cause of the send that is held back, empty for none.
	heldCause Cause
}

func (p *part) ended() bool { return p.answer >= 0 || p.givenUp }

// Query is the state of one request. It is not safe for concurrent use.
type Query struct {
	plan      Plan
	policy    Policy
	parts     []part
	attempts  []attempt
	answered  int
	failed    int
	open      int
	isolation quarantine.Isolation
	hedging   Hedging
	// minReachedAt is when MinParts parts were answered, zero before.
	minReachedAt time.Time
	// stop is set while the VM is shutting down, cutShort once a part was given up for it.
	stop     *Stop
	cutShort bool
	// now and sends are the time of the current step and the sends it makes.
	now     time.Time
	sends   []Send
	outcome *Outcome
}

// New returns a query that has sent nothing.
func New(plan Plan, policy Policy) *Query {
	q := &Query{plan: plan, policy: policy, parts: make([]part, len(plan.Services)), isolation: quarantine.Isolation{Trial: plan.Trial}}
	for i := range q.parts {
		q.parts[i].answer = -1
		q.parts[i].failure = -1
	}
	return q
}

// Start sends each part once. It ends the query at once if too few parts have a reachable
// upstream: the caller then learns that nothing has run and when to retry, instead of
// getting a failure after other parts have run.
func (q *Query) Start(now time.Time) []Send {
	q.beginStep(now)
	if !q.canMeetMinimum() {
		q.finish(NoUpstream)
		return nil
	}
	for i := range q.parts {
		if q.mustHold() {
			q.parts[i].heldCause = First
			continue
		}
		q.sendFirst(i)
	}
	return q.endStep()
}

// canMeetMinimum reports whether at least MinParts parts have a reachable upstream.
func (q *Query) canMeetMinimum() bool {
	reachable := 0
	for i := range q.parts {
		if q.policy.Reachable(i) {
			reachable++
		}
	}
	return reachable >= q.plan.MinParts
}

// Ended records the result of attempt n. Results for a part that has already ended do not
// change its answer.
func (q *Query) Ended(now time.Time, n int, r Result) []Send {
	q.beginStep(now)
	a := &q.attempts[n]
	if a.ended {
		return q.endStep()
	}
	a.ended = true
	a.result = r
	isolated := q.isolation.Active()
	p := &q.parts[a.part]
	p.open--
	q.open--
	q.updateIsolation(a)
	if r.NotRun() {
		p.mayHaveRun--
	}
	if !p.ended() {
		q.handleResult(n, r)
	}
	if isolated && !q.isolation.Active() {
		q.resumeHedges()
	}
	return q.endStep()
}

// Tick makes the retries and hedges that are due, and ends the query when its time is up.
func (q *Query) Tick(now time.Time) []Send {
	q.beginStep(now)
	for i := range q.parts {
		p := &q.parts[i]
		if p.ended() || p.heldCause != "" {
			continue
		}
		if due(p.retryAt, now) {
			p.retryAt = time.Time{}
			p.tried = p.tried[:0]
			q.resend(i, p.retryCause)
		}
	}
	q.giveUpUnsendable()
	return q.endStep()
}

// Next returns when Tick must be called next.
func (q *Query) Next() time.Time {
	next := earlier(q.plan.Deadline, q.nextStopStep())
	if q.hasMinimum() {
		next = earlier(next, q.partialAnswerAt())
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.ended() || p.heldCause != "" {
			continue
		}
		next = earlier(next, p.hedgeAt)
		next = earlier(next, p.retryAt)
	}
	return next
}

// Hedging returns the hedges made and forgone so far.
func (q *Query) Hedging() Hedging { return q.hedging }

// Outcome returns how the request ended, nil while it is in progress.
func (q *Query) Outcome() *Outcome { return q.outcome }

func (q *Query) beginStep(now time.Time) {
	q.now = now
	q.sends = nil
}

func (q *Query) endStep() []Send {
	q.releaseHeld()
	q.finishIfDone()
	if q.outcome != nil {
		return nil
	}
	q.makeDueHedges()
	out := q.sends
	q.sends = nil
	return out
}

// handleResult processes the result of attempt n for a part that has not ended.
func (q *Query) handleResult(n int, r Result) {
	i := q.attempts[n].part
	p := &q.parts[i]
	switch r {
	case Answered:
		p.answer = n
		q.answered++
		if q.hasMinimum() && q.minReachedAt.IsZero() {
			q.minReachedAt = q.now
		}
		return
	case Failed:
		p.failure = n
	case Expired:
		q.giveUp(i)
		return
	case Refused:
		p.refused++
	case NoConnection:
		p.refused++
	case ConnectionClosed:
		p.refused++
		p.shut++
	}
	q.resend(i, causeOf(r))
}

func causeOf(r Result) Cause {
	switch r {
	case Unreached:
		return AfterUnreached
	case Refused:
		return AfterRefusal
	case ConnectionClosed, NoConnection:
		return AfterFull
	case Barred:
		return AfterBarred
	default:
		return AfterFailure
	}
}

// resend sends a part again after a send without an answer. If the part may be sent only
// later, it schedules or holds the send; if it may not be sent again and no other send of it
// is open, it gives up the part.
func (q *Query) resend(i int, cause Cause) {
	p := &q.parts[i]
	if p.open > 0 && cause == AfterFailure && !q.mayRunAgain(p) {
		return
	}
	if q.mustHold() {
		p.heldCause = cause
		return
	}
	if q.tryResend(i, cause) || p.open > 0 {
		return
	}
	if q.mayRunAgain(p) && p.refused > 0 && p.refused < maxRefusals {
		p.retryAt = q.now.Add(refusalBackoff << (p.refused - 1))
		p.retryCause = cause
		if q.mayScheduleAt(p.retryAt) {
			return
		}
	}
	q.cutShort = q.cutShort || q.SendsOver()
	q.giveUp(i)
}

// free reports whether a further send costs no budget: no upstream has read the previous
// one, because it did not reach an upstream or its connection was closed at once.
func (c Cause) free() bool { return c == AfterUnreached || c == AfterFull || c == AfterBarred }

// tryResend sends a part again if the limits and the budget allow it.
func (q *Query) tryResend(i int, cause Cause) bool {
	p := &q.parts[i]
	if q.SendsOver() || !q.mayRunAgain(p) || p.refused >= maxRefusals {
		return false
	}
	u := q.policy.Choose(i, p.tried)
	if u == nil {
		return false
	}
	if !cause.free() && !q.policy.Spend(i, retrybudget.Retry) {
		return false
	}
	q.addSend(i, u, cause)
	return true
}

// mayRunAgain reports whether one more upstream may run the part.
func (q *Query) mayRunAgain(p *part) bool {
	if p.mayHaveRun == 0 {
		return true
	}
	return q.plan.Idempotent && p.mayHaveRun-p.shut < q.plan.Attempts
}

func (q *Query) sendFirst(i int) {
	if q.SendsOver() {
		q.cutShort = true
		q.giveUp(i)
		return
	}
	u := q.policy.Choose(i, nil)
	if u == nil {
		q.giveUp(i)
		return
	}
	q.addSend(i, u, First)
}

// addSend adds a send of a part to the current step and schedules its hedge.
func (q *Query) addSend(i int, u *catalog.Upstream, cause Cause) {
	p := &q.parts[i]
	n := len(q.attempts)
	q.attempts = append(q.attempts, attempt{part: i, isolated: q.isolation.Active()})
	p.tried = append(p.tried, u.ID)
	p.open++
	q.open++
	p.mayHaveRun++
	p.hedgeAt = time.Time{}
	p.hedgeHeld = false
	if q.mayRunAgain(p) {
		p.hedgeAt = q.now.Add(q.policy.HedgeDelay(i, u))
	}
	q.sends = append(q.sends, Send{Attempt: n, Part: i, Upstream: u, Cause: cause})
}

// giveUp ends a part without an answer.
func (q *Query) giveUp(i int) {
	q.parts[i].givenUp = true
	q.failed++
}

// hasMinimum reports whether at least MinParts parts are answered.
func (q *Query) hasMinimum() bool { return q.answered >= q.plan.MinParts }

// partialAnswerAt returns when an answer with the minimum of parts stops waiting for the
// others. One that reaches its minimum after AnswerBy may still be in time, so it waits only
// if it is later than LatestInTime.
func (q *Query) partialAnswerAt() time.Time {
	switch {
	case !q.minReachedAt.After(q.plan.AnswerBy):
		return q.plan.AnswerBy
	case !q.minReachedAt.After(q.plan.LatestInTime):
		return q.minReachedAt
	default:
		return q.minReachedAt.Add(q.plan.LateGrace)
	}
}

// finishIfDone ends the request when waiting longer cannot improve its outcome in time.
func (q *Query) finishIfDone() {
	if q.outcome != nil {
		return
	}
	ended := q.answered + q.failed
	switch {
	case q.answered == len(q.parts), q.hasMinimum() && ended == len(q.parts):
		q.finish(None)
	case q.hasMinimum() && !q.now.Before(q.partialAnswerAt()):
		q.finish(None)
	case len(q.parts)-q.failed < q.plan.MinParts:
		q.finish(q.failureReason())
	case !q.now.Before(q.plan.Deadline):
		q.finish(TimedOut)
	case q.stopEnded():
		q.finish(q.stopOutcome())
	}
}

// failureReason returns why the minimum of parts cannot be met.
func (q *Query) failureReason() Reason {
	if q.cutShort && q.notRun() {
		return Stopping
	}
	if len(q.attempts) == len(q.sends) {
		return NoUpstream
	}
	if q.notRun() {
		return AllRefused
	}
	if len(q.parts) > 1 {
		return TooFewParts
	}
	return UpstreamFailed
}

func (q *Query) finish(r Reason) {
	// The sends of the current step are not made.
	for _, s := range q.sends {
		q.attempts[s.Attempt].ended = true
		q.attempts[s.Attempt].result = Unreached
	}
	v := &Outcome{Reason: r, NotRun: q.notRun(), Failure: -1, Parts: make([]int, len(q.parts))}
	for i := range q.parts {
		v.Parts[i] = q.parts[i].answer
		v.Failure = max(v.Failure, q.parts[i].failure)
	}
	q.outcome = v
}

// notRun reports whether every send is proved not run.
func (q *Query) notRun() bool {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.ended || !a.result.NotRun() {
			return false
		}
	}
	return true
}

func due(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }

// earlier returns the earlier of two times; a zero time means none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}
