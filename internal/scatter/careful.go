package scatter

const (
	// carefulFrom is how many sends of a query have ended with their upstream's connection,
	// with no answer yet, when the query becomes careful. Operators bound what is sent after
	// the third upstream that a request has crashed.
	carefulFrom = 3
	// maxRefusedAlone is how many upstreams may refuse a send that is made alone, by a plan
	// that asks for it, until the query is given up: each was sent a request that may crash
	// it.
	maxRefusedAlone = 2
)

// careful is what a query under which upstreams end notes, so as not to end all it can reach.
//
// A request that crashes each upstream that runs it would else be sent to a second copy of
// each shard as soon as the first has ended: a query of ten shards ends twenty upstreams
// before its caller has its failure. A careful query has one send open at a time, until an
// upstream has survived it; when one more has ended it is given up. For a query at no fault,
// whose upstreams ended for another reason, the first answer of any part ends the care.
type careful struct {
	broken   int
	survived bool
	// lost says that an upstream ended under a send that was made alone, refused how many
	// refused one.
	lost    bool
	refused int
}

// ended takes in a send that has ended; alone says that the plan asked for care.
func (c *careful) ended(a *attempt, alone bool) {
	switch {
	case a.result.Survived():
		c.survived = true
	case a.result == Broken:
		c.broken++
		c.lost = c.lost || a.alone
	case a.result == Refused && a.alone && alone:
		c.refused++
	case a.result.Reached() && a.alone && alone:
		c.lost = true
	}
}

// given tells whether no more sends are to be made.
func (c *careful) given() bool {
	return !c.survived && (c.lost || c.refused >= maxRefusedAlone)
}

// isCareful tells whether sends are made one at a time.
func (q *Query) isCareful() bool {
	return !q.careful.survived && (q.plan.Alone || q.careful.broken >= carefulFrom)
}

// holds tells whether a further send has to wait.
func (q *Query) holds() bool { return q.isCareful() && (q.open > 0 || q.careful.given()) }

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
		case q.isCareful() && q.careful.given():
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
