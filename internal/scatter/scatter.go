// Package scatter decides the course of one request: where its parts are sent,
// when one is sent again or hedged, when to stop waiting, and what the caller
// gets. A plain request is a query of one part. A Query is pure: it is stepped
// with the time and with outcomes, and returns the sends to make; internal/edge
// drives it.
package scatter

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

const (
	// lateGrace is how long an answer that is late already waits for the parts
	// that its floor does not need: a quarter of the time in which users notice
	// a delay (about 400 ms).
	lateGrace = 100 * time.Millisecond
	// hedgeAgain is the pause before a hedge that the budget refused is asked
	// for again: a slice of the budget's window at the usual size lasts longer,
	// so that asking more often would gain nothing.
	hedgeAgain = 25 * time.Millisecond
	// refusedPause is the first wait before a part that every upstream refused or
	// was full for is offered again; it doubles. A slot of a full upstream frees about that
	// often.
	refusedPause = 20 * time.Millisecond
	// maxRefused is how often one part may be refused before it is given up.
	maxRefused = 5
	// minUseful is the least time left in which an answer can still arrive: the
	// way to the caller and back in one region.
	minUseful = 5 * time.Millisecond
)

// attempt is one send and how it ended.
type attempt struct {
	part   int
	ended  bool
	result Result
	// alone says that it was sent while the query was isolated.
	alone bool
}

// part is the state of one part.
type part struct {
	answer  int
	failure int
	given   bool
	open    int
	// mayHaveRun counts the sends that are not proved not run.
	mayHaveRun int
	// shut counts the sends that were shut out.
	shut    int
	refused int
	tried   []string
	// hedgeAt and againAt are zero when nothing is planned; againFor is why a send
	// is planned at againAt.
	hedgeAt  time.Time
	againAt  time.Time
	againFor Cause
	// heldFor is why a send is held back, empty when none is.
	heldFor Cause
}

func (p *part) ended() bool { return p.answer >= 0 || p.given }

// Query is the course of one request. It is not safe for concurrent use.
type Query struct {
	plan      Plan
	policy    Policy
	parts     []part
	attempts  []attempt
	answered  int
	failed    int
	open      int
	isolation quarantine.Isolation
	// floorAt is when enough parts had come, zero before.
	floorAt time.Time
	now     time.Time
	out     []Send
	verdict *Verdict
}

// New is a query that has sent nothing.
func New(plan Plan, policy Policy) *Query {
	q := &Query{plan: plan, policy: policy, parts: make([]part, len(plan.Services)), isolation: quarantine.Isolation{Trial: plan.Trial}}
	for i := range q.parts {
		q.parts[i].answer = -1
		q.parts[i].failure = -1
	}
	return q
}

// Start sends each part once. Nothing is sent when too few parts have an upstream
// that can be reached: the caller then learns at once that nothing has run, and
// when to come back, in place of a failure of which it can make nothing.
func (q *Query) Start(now time.Time) []Send {
	q.begin(now)
	if !q.hopeful() {
		q.finish(NoUpstream)
		return nil
	}
	for i := range q.parts {
		if q.holds() {
			q.parts[i].heldFor = First
			continue
		}
		q.send(i)
	}
	return q.end()
}

// hopeful tells whether enough parts have an upstream that can be reached.
func (q *Query) hopeful() bool {
	reachable := 0
	for i := range q.parts {
		if q.policy.Reachable(i) {
			reachable++
		}
	}
	return reachable >= q.plan.MinParts
}

// Ended takes in how a send ended. A result of a part that has its answer
// changes nothing.
func (q *Query) Ended(now time.Time, n int, r Result) []Send {
	q.begin(now)
	a := &q.attempts[n]
	if a.ended {
		return q.end()
	}
	a.ended = true
	a.result = r
	p := &q.parts[a.part]
	p.open--
	q.open--
	q.noteIsolation(a)
	if r.NotRun() {
		p.mayHaveRun--
	}
	if !p.ended() {
		q.take(n, r)
	}
	return q.end()
}

// Tick lets time pass.
func (q *Query) Tick(now time.Time) []Send {
	q.begin(now)
	for i := range q.parts {
		p := &q.parts[i]
		if p.ended() || p.heldFor != "" {
			continue
		}
		if due(p.againAt, now) {
			p.againAt = time.Time{}
			p.tried = p.tried[:0]
			q.again(i, p.againFor)
		}
		if due(p.hedgeAt, now) {
			q.hedge(i)
		}
	}
	return q.end()
}

// Next is when Tick is due.
func (q *Query) Next() time.Time {
	next := q.plan.GiveUp
	if q.enough() {
		next = earlier(next, q.answerAt())
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.ended() || p.heldFor != "" {
			continue
		}
		next = earlier(next, p.hedgeAt)
		next = earlier(next, p.againAt)
	}
	return next
}

// Verdict is how the request ended, nil while it is under way.
func (q *Query) Verdict() *Verdict { return q.verdict }

func (q *Query) begin(now time.Time) {
	q.now = now
	q.out = nil
}

func (q *Query) end() []Send {
	q.release()
	q.settle()
	if q.verdict != nil {
		return nil
	}
	out := q.out
	q.out = nil
	return out
}

// take acts on a result of a part without an answer.
func (q *Query) take(n int, r Result) {
	i := q.attempts[n].part
	p := &q.parts[i]
	switch r {
	case Answered:
		p.answer = n
		q.answered++
		if q.enough() && q.floorAt.IsZero() {
			q.floorAt = q.now
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
	case Shut:
		p.refused++
		p.shut++
	}
	q.again(i, causeOf(r))
}

func causeOf(r Result) Cause {
	switch r {
	case Unreached:
		return AfterUnreach
	case Refused:
		return AfterRefusal
	case Shut, NoConnection:
		return AfterFull
	case Barred:
		return AfterBar
	default:
		return AfterFailure
	}
}

// again sends a part once more after a send that brought no answer. While
// another send of the part is open, that one is waited for.
func (q *Query) again(i int, cause Cause) {
	p := &q.parts[i]
	if p.open > 0 && cause == AfterFailure && !q.mayRunAgain(p) {
		return
	}
	if q.holds() {
		p.heldFor = cause
		return
	}
	if q.trySend(i, cause) || p.open > 0 {
		return
	}
	if q.mayRunAgain(p) && p.refused > 0 && p.refused < maxRefused {
		p.againAt = q.now.Add(refusedPause << (p.refused - 1))
		p.againFor = cause
		if p.againAt.Before(q.plan.GiveUp) {
			return
		}
	}
	q.giveUp(i)
}

// free tells whether a further send costs no budget: the one before it reached no
// upstream, or was shut out, so that no upstream read it.
func (c Cause) free() bool { return c == AfterUnreach || c == AfterFull || c == AfterBar }

// trySend sends a part again when the rules and the budget allow it.
func (q *Query) trySend(i int, cause Cause) bool {
	p := &q.parts[i]
	if !q.mayRunAgain(p) || p.refused >= maxRefused {
		return false
	}
	u := q.policy.Choose(i, p.tried)
	if u == nil {
		return false
	}
	if !cause.free() && !q.policy.Spend(i, retrybudget.Retry) {
		return false
	}
	q.put(i, u, cause)
	return true
}

// mayRunAgain tells whether one more upstream may run the part.
func (q *Query) mayRunAgain(p *part) bool {
	if p.mayHaveRun == 0 {
		return true
	}
	return q.plan.Idempotent && p.mayHaveRun-p.shut < q.plan.Attempts
}

func (q *Query) send(i int) {
	u := q.policy.Choose(i, nil)
	if u == nil {
		q.giveUp(i)
		return
	}
	q.put(i, u, First)
}

func (q *Query) put(i int, u *catalog.Upstream, cause Cause) {
	p := &q.parts[i]
	n := len(q.attempts)
	q.attempts = append(q.attempts, attempt{part: i, alone: q.isolation.Active()})
	p.tried = append(p.tried, u.ID)
	p.open++
	q.open++
	p.mayHaveRun++
	p.hedgeAt = time.Time{}
	if q.mayRunAgain(p) {
		p.hedgeAt = q.now.Add(q.policy.HedgeDelay(i, u))
	}
	q.out = append(q.out, Send{Attempt: n, Part: i, Upstream: u, Cause: cause})
}

// hedge sends a part whose answer is late to another upstream as well.
func (q *Query) hedge(i int) {
	p := &q.parts[i]
	p.hedgeAt = time.Time{}
	if q.isolation.Active() {
		p.hedgeAt = q.now.Add(hedgeAgain)
		return
	}
	if !q.mayRunAgain(p) || q.plan.GiveUp.Sub(q.now) < minUseful {
		return
	}
	u := q.policy.Choose(i, p.tried)
	if u == nil {
		return
	}
	if !q.policy.Spend(i, retrybudget.Hedge) {
		p.hedgeAt = q.now.Add(hedgeAgain)
		return
	}
	q.put(i, u, BecauseIsLate)
}

// giveUp ends a part without an answer.
func (q *Query) giveUp(i int) {
	q.parts[i].given = true
	q.failed++
}

func (q *Query) enough() bool { return q.answered >= q.plan.MinParts }

// answerAt is when an answer that has its floor leaves without the rest.
func (q *Query) answerAt() time.Time {
	if late := q.floorAt.Add(lateGrace); q.floorAt.After(q.plan.AnswerBy) {
		return late
	}
	return q.plan.AnswerBy
}

// settle ends the request when nothing better can come in time.
func (q *Query) settle() {
	if q.verdict != nil {
		return
	}
	ended := q.answered + q.failed
	switch {
	case q.answered == len(q.parts), q.enough() && ended == len(q.parts):
		q.finish(None)
	case q.enough() && !q.now.Before(q.answerAt()):
		q.finish(None)
	case len(q.parts)-q.failed < q.plan.MinParts:
		q.finish(q.failure())
	case !q.now.Before(q.plan.GiveUp):
		q.finish(TimedOut)
	}
}

// failure is why too few parts can come.
func (q *Query) failure() Reason {
	if len(q.attempts) == len(q.out) {
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
	// What this step would have sent is not sent any more.
	for _, s := range q.out {
		q.attempts[s.Attempt].ended = true
		q.attempts[s.Attempt].result = Unreached
	}
	v := &Verdict{Reason: r, NotRun: q.notRun(), Failure: -1, Parts: make([]int, len(q.parts))}
	for i := range q.parts {
		v.Parts[i] = q.parts[i].answer
		v.Failure = max(v.Failure, q.parts[i].failure)
	}
	q.verdict = v
}

// notRun tells whether every send is proved not run.
func (q *Query) notRun() bool {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.ended || !a.result.NotRun() {
			return false
		}
	}
	return true
}

func due(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }

// earlier is the earlier of two times; zero is none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}
