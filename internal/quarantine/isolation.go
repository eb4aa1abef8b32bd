package quarantine

// maxRefusedAlone is how many upstreams may refuse a send that is made alone, in a trial,
// until the attempt is given up: each was sent a request that may crash it.
const maxRefusedAlone = 2

// Isolation is what one attempt notes of the upstreams that end under it, so as not to end all
// that it can reach.
//
// A request that crashes each upstream that runs it would else be sent to a second copy of
// each shard as soon as the first has ended: a query of ten shards ends twenty upstreams
// before its caller has its failure. An isolated attempt has one send open at a time, until an
// upstream has survived it; when one more has ended it is given up. For a query at no fault,
// whose upstreams ended for another reason, the first answer of any part ends the isolation.
type Isolation struct {
	// Trial says that upstreams have ended under the same request before: the attempt is
	// isolated from its start.
	Trial bool

	crashed  int
	survived bool
	// lost says that an upstream ended under a send that was made alone; refused is how
	// many refused one in a trial.
	lost    bool
	refused int
}

// Active tells whether sends are made one at a time.
func (i *Isolation) Active() bool {
	return !i.survived && (i.Trial || i.crashed >= suspectCrashes)
}

// Exhausted tells whether no more sends are to be made.
func (i *Isolation) Exhausted() bool {
	return !i.survived && (i.lost || i.refused >= maxRefusedAlone)
}

// Survived notes that an upstream has run the request and lives.
func (i *Isolation) Survived() { i.survived = true }

// Crashed notes an upstream that ended, or seems to have; alone says that the attempt was
// isolated when it sent.
func (i *Isolation) Crashed(alone bool) {
	i.crashed++
	i.lost = i.lost || alone
}

// Refused notes an upstream that would not run the request.
func (i *Isolation) Refused(alone bool) {
	if alone && i.Trial {
		i.refused++
	}
}

// Unanswered notes any other end of a send that had reached an upstream.
func (i *Isolation) Unanswered(alone bool) {
	i.lost = i.lost || alone && i.Trial
}
