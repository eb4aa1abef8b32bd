package scatter

// noteCare takes in what the end of a send says of the request itself.
func (q *Query) noteCare(a *attempt) {
	switch {
	case a.result.Survived():
		q.care.Survived()
	case a.result == Broken:
		q.care.Crashed(a.alone)
	case a.result == Refused:
		q.care.Refused(a.alone)
	case a.result.Reached():
		q.care.Unanswered(a.alone)
	}
}

// holds tells whether a further send has to wait.
func (q *Query) holds() bool { return q.care.Careful() && (q.open > 0 || q.care.Given()) }

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
		case q.care.Given():
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
