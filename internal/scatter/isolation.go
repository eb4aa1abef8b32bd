package scatter

// noteIsolation takes in what the end of a send says of the request itself.
func (q *Query) noteIsolation(a *attempt) {
	switch {
	case a.result.Survived():
		q.isolation.Survived()
	case a.result == Broken:
		q.isolation.Crashed(a.alone)
	case a.result == Refused:
		q.isolation.Refused(a.alone)
	case a.result.Reached():
		q.isolation.Unanswered(a.alone)
	}
}

// holds tells whether a further send has to wait.
func (q *Query) holds() bool { return q.isolation.Active() && (q.open > 0 || q.isolation.Exhausted()) }

// release makes the sends that were held back, as far as they may be made now.
func (q *Query) release() {
	if q.verdict != nil {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		switch {
		case p.heldFor == "":
		case p.ended():
			p.heldFor = ""
		case q.isolation.Exhausted():
			p.heldFor = ""
			q.giveUp(i)
		case !q.holds():
			q.unhold(i)
		}
	}
}

func (q *Query) unhold(i int) {
	p := &q.parts[i]
	cause := p.heldFor
	p.heldFor = ""
	if cause == First {
		q.send(i)
		return
	}
	q.again(i, cause)
}
