package scatter

// updateIsolation updates the isolation of the query with the result of a send.
func (q *Query) updateIsolation(a *attempt) {
	switch {
	case a.result.Survived():
		q.isolation.Survived()
	case a.result == Broken:
		q.isolation.Crashed(a.isolated)
	case a.result == Refused:
		q.isolation.Refused(a.isolated)
	case a.result.Reached():
		q.isolation.Unanswered(a.isolated)
	}
}

// mustHold reports whether a further send must be held back: an isolated query has one send
// open at a time, and none once its isolation is exhausted.
func (q *Query) mustHold() bool {
	return q.isolation.Active() && (q.open > 0 || q.isolation.Exhausted())
}

// releaseHeld makes the held sends that may be made now. It gives up their parts if no more
// sends may be made.
func (q *Query) releaseHeld() {
	if q.outcome != nil {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		switch {
		case p.heldCause == "":
		case p.ended():
			p.heldCause = ""
		case q.isolation.Exhausted():
			p.heldCause = ""
			q.giveUp(i)
		case !q.mustHold():
			q.sendHeld(i)
		}
	}
}

func (q *Query) sendHeld(i int) {
	p := &q.parts[i]
	cause := p.heldCause
	p.heldCause = ""
	if cause == First {
		q.sendFirst(i)
		return
	}
	q.resend(i, cause)
}
