package scatter

import "time"

// StopBy limits the query because its VM is shutting down. Parts that no upstream works on and
// that can no longer be sent are given up at once, so that the caller learns in time that they
// have not run.
func (q *Query) StopBy(now time.Time, s Stop) []Send {
	q.beginStep(now)
	q.stop = &s
	q.giveUpUnsendable()
	return q.endStep()
}

// SendsOver reports whether the query makes no more sends because its VM is shutting down. Sends
// that have not left the VM must then be withdrawn.
func (q *Query) SendsOver() bool { return q.stop != nil && !q.now.Before(q.stop.LastSend) }

// Unsent records, after the query has ended, that a send which was open then has never left this
// VM.
func (q *Query) Unsent(n int) {
	a := &q.attempts[n]
	if a.ended {
		return
	}
	a.ended = true
	a.result = NoConnection
	q.outcome.NotRun = q.notRun()
}

// giveUpUnsendable gives up the parts without an open send whose next one is not due before the
// last send. Before the start of the query it does nothing.
func (q *Query) giveUpUnsendable() {
	if q.stop == nil || len(q.attempts) == 0 {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.ended() || p.open > 0 {
			continue
		}
		if q.SendsOver() || !p.retryAt.IsZero() && !q.mayScheduleAt(p.retryAt) {
			p.heldCause = ""
			q.giveUp(i)
			q.cutShort = true
		}
	}
}

// mayScheduleAt reports whether a send may be scheduled for a time.
func (q *Query) mayScheduleAt(at time.Time) bool {
	return at.Before(q.plan.Deadline) && (q.stop == nil || at.Before(q.stop.LastSend))
}

// nextStopStep returns when the shutdown of the VM next changes the query, zero if it does not.
func (q *Query) nextStopStep() time.Time {
	switch {
	case q.stop == nil:
		return time.Time{}
	case q.SendsOver():
		return q.stop.End
	default:
		return earlier(q.stop.End, q.stop.LastSend)
	}
}

// stopEnded reports whether the query must end because its VM is shutting down.
func (q *Query) stopEnded() bool { return q.stop != nil && !q.now.Before(q.stop.End) }

// stopOutcome returns how a query ends whose time is cut short by the shutdown of its VM.
func (q *Query) stopOutcome() Reason {
	if q.hasMinimum() {
		return None
	}
	return Stopping
}
