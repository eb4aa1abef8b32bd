package quarantine

// maxIsolatedRefusals is how many upstreams may refuse an isolated send of a trial before the
// attempt ends. Each of them was sent a request that may crash it.
const maxIsolatedRefusals = 2

// Isolation limits how many upstreams one attempt can crash.
//
// Without it, a poison request is sent to a second replica of each shard as soon as the first
// has ended: a query of ten shards ends twenty upstreams before its caller gets an error. An
// attempt is isolated after suspectCrashes crashes, and a trial from its start. It then has one
// open send at a time until an upstream survives it, and ends after one more crash. If an
// innocent query's upstreams ended for another reason, its first answered part ends the
// isolation.
type Isolation struct {
	// Trial is set if earlier attempts have made the request a suspect: the attempt is isolated
	// from its start.
	Trial bool

	crashed  int
	survived bool
	// isolatedLoss is set once an isolated send was lost, by a crash or, in a trial, by another
	// failure. isolatedRefusals counts the refused isolated sends of a trial.
	isolatedLoss     bool
	isolatedRefusals int
}

// Active reports whether the attempt is isolated: only one send may be open at a time.
func (i *Isolation) Active() bool {
	return !i.survived && (i.Trial || i.crashed >= suspectCrashes)
}

// Exhausted reports whether the attempt must make no more sends.
func (i *Isolation) Exhausted() bool {
	return !i.survived && (i.isolatedLoss || i.isolatedRefusals >= maxIsolatedRefusals)
}

// Survived records that an upstream has run the request without a crash.
func (i *Isolation) Survived() { i.survived = true }

// Crashed records an upstream that has ended, or seems to have. alone reports whether the
// attempt was isolated when it sent the request.
func (i *Isolation) Crashed(alone bool) {
	i.crashed++
	i.isolatedLoss = i.isolatedLoss || alone
}

// Refused records an upstream that refused the request.
func (i *Isolation) Refused(alone bool) {
	if alone && i.Trial {
		i.isolatedRefusals++
	}
}

// Unanswered records any other failure of a send that had reached an upstream.
func (i *Isolation) Unanswered(alone bool) {
	i.isolatedLoss = i.isolatedLoss || alone && i.Trial
}
