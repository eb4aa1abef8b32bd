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

// resumeHedges makes the hedges due that the isolation of the query held back.
func (q *Query) resumeHedges() {
	for i := range q.parts {
		if p := &q.parts[i]; p.hedgeHeld {
			p.hedgeAt = q.now
		}
	}
}

// hedge also sends a part whose answer is late to another upstream, unless the send would wait
// there or the budget refuses it. Then it schedules when the hedge is considered again.
func (q *Query) hedge(i int) {
	p := &q.parts[i]
	p.hedgeAt = time.Time{}
	p.hedgeHeld = false
	if q.SendsOver() || !q.mayRunAgain(p) || q.plan.Deadline.Sub(q.now) < minRemaining {
		return
	}
	if q.isolation.Active() {
		p.hedgeHeld = true
		return
	}
	u := q.policy.Choose(i, p.tried)
	if u == nil {
		return
	}
	if busy, freeIn := q.policy.Busy(i, u); busy {
		q.forgo(p, CopyBusy, q.now.Add(freeIn))
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
// if that is not zero. The end of another part frees neither the copy nor the budget, and to
// consider all late parts at each end takes a query of a hundred parts too much processor time.
func (q *Query) forgo(p *part, why Forgone, again time.Time) {
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
