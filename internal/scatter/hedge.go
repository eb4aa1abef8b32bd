package scatter

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// makeDueHedges considers each hedge that is due.
func (q *Query) makeDueHedges() {
	for i := range q.parts {
		if p := &q.parts[i]; !p.ended() && p.heldCause == "" && due(p.hedgeAt, q.now) {
			q.hedge(i)
		}
	}
}

// reconsiderHedges makes all forgone hedges due.
func (q *Query) reconsiderHedges() {
	for i := range q.parts {
		if p := &q.parts[i]; p.hedgeForgone {
			p.hedgeAt = q.now
		}
	}
}

// hedge also sends a part whose answer is late to another upstream, if that can complete the
// query sooner. Otherwise it schedules when the hedge is considered again.
func (q *Query) hedge(i int) {
	p := &q.parts[i]
	p.hedgeAt = time.Time{}
	p.hedgeForgone = false
	if !q.mayRunAgain(p) || q.plan.Deadline.Sub(q.now) < minRemaining {
		return
	}
	if q.isolation.Active() {
		p.hedgeForgone = true
		return
	}
	u := q.policy.Choose(i, p.tried)
	if u == nil {
		return
	}
	e, remaining := q.policy.Expect(i, u), q.remaining(i)
	why, needed := CopyBusy, e.Answer
	if q.tooManyOpen() {
		why, needed = PartsOpen, time.Duration(outageFactor*float64(e.Answer))
	}
	switch {
	case e.Queued:
		q.forgo(p, why, q.now.Add(e.FreeIn))
		return
	case needed > remaining:
		// A send that is late is expected to take the longer the later it is.
		q.forgo(p, why, q.now.Add(needed-remaining))
		return
	}
	if !q.policy.Spend(i, retrybudget.Hedge) {
		q.forgo(p, OverBudget, q.policy.HedgeAllowedAt(i))
		return
	}
	q.hedging.Made++
	q.addSend(i, u, Hedge)
}

// forgo records that a hedge of a part is not made. It is considered again at the given time,
// if that is not zero, and whenever another part has ended.
func (q *Query) forgo(p *part, why Forgone, again time.Time) {
	p.hedgeForgone = true
	if !p.forgoneFor[why] {
		p.forgoneFor[why] = true
		q.hedging.Forgone[why]++
	}
	if again.IsZero() {
		return
	}
	if soonest := q.now.Add(minHedgeWait); again.Before(soonest) {
		again = soonest
	}
	p.hedgeAt = again
}

// tooManyOpen reports whether so many parts are unanswered that a hedge of one cannot complete
// the query.
func (q *Query) tooManyOpen() bool {
	n := len(q.parts)
	return !q.plan.EarlyHedges && n > smallQuery && float64(n-q.answered-q.failed) > maxOpenShare*float64(n)
}

// remaining returns how much longer the open sends of a part are expected to take, the whole
// time left if none is open. Sends of the current step, which are not made yet, do not count.
func (q *Query) remaining(i int) time.Duration {
	least := q.plan.Deadline.Sub(q.now)
	for n := range len(q.attempts) - len(q.sends) {
		if a := &q.attempts[n]; a.part == i && !a.ended {
			least = min(least, q.policy.Remaining(n))
		}
	}
	return least
}
