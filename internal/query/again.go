package query

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// pauseLeast is the pause before the same replica is asked again; it
	// doubles with each attempt.
	pauseLeast = 5 * time.Millisecond
	// downPause is the pause after a connection could not be opened, downMost the
	// longest one that is waited for. It is waited for once: an upstream that
	// restarts, or closed its idle connections, is back by then; over one that is
	// gone the owner's back-off grows past it and queries end at once.
	downPause = 110 * time.Millisecond
	downMost  = 250 * time.Millisecond
	// restartShare of the whole time must be left for a restart.
	restartShare = 0.25
	// maxRestarts bounds the restarts of one query.
	maxRestarts = 1
)

// again tries a shard once more where that is safe and allowed, else gives it
// up unless another attempt is still open. Safe means that the kind is
// idempotent or that the attempt is proved not to have run.
func (q *Query) again(now time.Time, id AttemptID, n next, retryAfter time.Duration) {
	sh := &q.shards[id.Shard]
	if sh.decoding > 0 || sh.again != nil {
		return
	}
	sh.passing = sh.passing || passing(n.after)
	safe := n.cause == Redirect || q.plan.Kind.Idempotent
	if safe && len(sh.attempts) < maxAttempts && now.Before(q.plan.Deadline) {
		if q.viaStandby(now, id, &n) || q.send(now, id.Shard, &n) || q.later(now, id.Shard, &n, retryAfter) {
			return
		}
	}
	if !sh.anyOpen() {
		q.giveUp(now, id.Shard, n.why)
	}
}

// viaStandby sends to the same replica through its standby VM, when it is the
// owner VM that could not serve and not the upstream.
func (q *Query) viaStandby(now time.Time, id AttemptID, n *next) bool {
	if q.holds(now, n.cause) {
		return false
	}
	switch n.after {
	case pb.Result_OWNER_UNREACHABLE, pb.Result_NOT_OWNER, pb.Result_VM_STOPPING:
	default:
		return false
	}
	a := q.attempt(id)
	sh := &q.shards[id.Shard]
	if sh.standby&(1<<a.replica) != 0 {
		return false
	}
	sh.standby |= 1 << a.replica
	q.dispatch(now, id.Shard, a.replica, n, true)
	return true
}

// send starts an attempt at the best replica not yet tried.
func (q *Query) send(now time.Time, shard int, n *next) bool {
	sh := &q.shards[shard]
	if q.holds(now, n.cause) {
		return q.hold(now, shard, n)
	}
	replica := q.fleet.Replica(now, Want{
		Shard:    q.targets[shard],
		Snapshot: q.snapshot,
		Tried:    sh.tried,
		Explore:  n.cause == First && q.hedges(),
	})
	if replica == NoReplica || !q.pay(n) {
		return false
	}
	q.dispatch(now, shard, replica, n, false)
	return true
}

// pay takes a hedge or a retry from its budget.
func (q *Query) pay(n *next) bool {
	if n.paid || (n.cause != Hedge && n.cause != Retry) {
		return true
	}
	n.paid = q.fleet.Spend(q.plan.Kind, n.cause)
	if !n.paid {
		q.tally.Refused[n.cause]++
		n.refused = true
	}
	return n.paid
}

func (q *Query) dispatch(now time.Time, shard, replica int, n *next, standby bool) {
	sh := &q.shards[shard]
	target := q.targets[shard]
	u := target.Replicas[replica]
	id := AttemptID{Round: len(q.restarts), Shard: shard, Try: len(sh.attempts)}
	q.fleet.Opened(now, u)
	q.tally.sent(n.cause, n.after)
	sh.tried |= 1 << replica
	sh.attempts = append(sh.attempts, attempt{
		replica:  replica,
		upstream: u,
		cause:    n.cause,
		after:    n.after,
		standby:  standby,
		sentAt:   q.since(now),
		open:     true,
		alone:    q.isolation.Active(),
	})
	q.planHedge(now, shard)
	q.actions = append(q.actions, Action{
		Op:       OpSend,
		Attempt:  id,
		Shard:    target,
		Snapshot: q.snapshot,
		Upstream: u,
		Cause:    n.cause,
		Standby:  standby,
	})
}

// later tries the shard's replicas anew after a pause, when all were asked and
// one of them may serve then: it had no room, or failed. What it costs is paid
// now, so that a query with nothing left to try ends at once.
func (q *Query) later(now time.Time, shard int, n *next, retryAfter time.Duration) bool {
	sh := &q.shards[shard]
	if n.refused || sh.anyOpen() || !sh.passing || q.holds(now, n.cause) {
		return false
	}
	pause := max(retryAfter, pauseLeast<<(len(sh.attempts)-1))
	if n.after == pb.Result_UNREACHABLE {
		pause = max(retryAfter, downPause)
		if sh.downWaited || pause > downMost {
			return false
		}
		sh.downWaited = true
	}
	if !now.Add(pause).Before(q.plan.Deadline) || !q.pay(n) {
		return false
	}
	sh.tried = 0
	sh.standby = 0
	sh.passing = false
	sh.again = n
	q.wakeAt(shard, q.since(now)+pause)
	return true
}

// passing tells whether the reason of a failure may be gone after a pause.
func passing(r pb.Result) bool {
	switch r {
	case pb.Result_TOO_LATE, pb.Result_NO_SNAPSHOT, pb.Result_UPSTREAM_LEAVING:
		return false
	default:
		return true
	}
}

func (q *Query) hedges() bool {
	return q.plan.Kind.Idempotent && q.plan.Kind.HedgePercent > 0
}

// planHedge sets the shard's turn by its last attempt.
func (q *Query) planHedge(now time.Time, shard int) {
	sh := &q.shards[shard]
	a := &sh.attempts[len(sh.attempts)-1]
	sh.turn = 0
	if !q.hedges() || a.cause == Hedge || len(sh.attempts) >= maxAttempts {
		return
	}
	delay, sure := q.fleet.HedgeDelay(now, q.plan.Kind, q.targets[shard], a.replica)
	sh.guessed = !sure
	q.wakeAt(shard, a.sentAt+delay)
}

// replanHedges moves the hedges that were planned on a guess to where the
// answers of the other shards of this very query now put them. It runs after a
// half and after nine tenths of the answers, so that a query of many shards
// does not look at each shard after each answer.
func (q *Query) replanHedges() {
	n := len(q.shards)
	if done := n - q.open; done != (n+1)/2 && done != n*9/10 {
		return
	}
	for i := range q.shards {
		sh := &q.shards[i]
		if !sh.closed && sh.guessed && sh.turn > 0 && sh.again == nil {
			q.planHedge(q.started, i)
		}
	}
}

// hedge sends a second sub-request for a shard that has waited too long. When
// the budget refuses it, it is tried again after as long a wait as there was.
func (q *Query) hedge(now time.Time, shard int) {
	sh := &q.shards[shard]
	if sh.decoding > 0 || len(sh.attempts) >= maxAttempts {
		return
	}
	n := &next{cause: Hedge}
	n.refused = q.holds(now, n.cause)
	if !n.refused && (q.send(now, shard, n) || !n.refused) {
		return
	}
	waited := q.since(now) - sh.attempts[0].sentAt
	q.wakeAt(shard, q.since(now)+max(waited, pauseLeast))
}

// restart begins the whole query again at another snapshot, because no replica
// of one shard has the pinned one any more. All that was answered is thrown
// away: kept, it would mix two snapshots in one answer. A kind that is not
// idempotent restarts only while nothing may have run.
func (q *Query) restart(now time.Time, shard int) bool {
	if len(q.restarts) >= maxRestarts || !now.Before(q.plan.Deadline) || !q.mayRestart() {
		return false
	}
	whole := q.plan.Deadline.Sub(q.started)
	if float64(q.plan.Deadline.Sub(now)) < restartShare*float64(whole) {
		return false
	}
	m, snapshot, ok := q.fleet.Repin(now, q.plan.Kind.Service, q.snapshot)
	if !ok || sameSnapshot(snapshot, q.snapshot) {
		return false
	}
	rec := RestartRecord{At: q.since(now), From: q.snapshot, To: snapshot, Shard: q.targets[shard].ID}
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.hits != nil {
			rec.Discarded++
		}
		q.unsure = q.unsure || sh.anyOpen()
		if !sh.closed {
			q.withdraw(now, i)
		}
	}
	q.restarts = append(q.restarts, rec)
	// The callers up the stack still hold shards of the former round.
	q.memory = &memory{}
	q.pin(m, snapshot)
	q.scatter(now, Restart)
	return true
}

func (q *Query) mayRestart() bool {
	if q.plan.Kind.Idempotent {
		return true
	}
	if q.ran || q.unsure {
		return false
	}
	for i := range q.shards {
		if q.shards[i].anyOpen() {
			return false
		}
	}
	return true
}
