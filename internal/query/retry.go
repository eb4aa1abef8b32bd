package query

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// minRetryPause is the pause before the replicas of a shard are asked again. It
	// doubles with each attempt.
	minRetryPause = 5 * time.Millisecond
	// reconnectPause is the pause after a connection could not be opened, and
	// maxReconnectPause the longest pause accepted for it. A shard pauses only once: an
	// upstream that has restarted or closed its idle connections accepts connections
	// again after that time. If the upstream is gone, the owner's backoff grows past
	// maxReconnectPause and the shard fails at once.
	reconnectPause    = 110 * time.Millisecond
	maxReconnectPause = 250 * time.Millisecond
	// minRestartFraction is the fraction of the query's total time that must be left
	// for a restart.
	minRestartFraction = 0.25
	// maxRestarts limits the restarts of one query.
	maxRestarts = 1
)

// retryOrFail sends a further attempt for a shard if that is safe, within budget and in
// time. Otherwise it fails the shard, unless another attempt is still open. A further
// attempt is safe if the kind is idempotent or the last attempt is proven not to have
// run.
func (q *Query) retryOrFail(now time.Time, id AttemptID, n nextAttempt, retryAfter time.Duration) {
	sh := &q.shards[id.Shard]
	if sh.decoding > 0 || sh.pendingAttempt != nil {
		return
	}
	sh.transientFailure = sh.transientFailure || isTransient(n.after)
	safe := n.cause == Redirect || q.plan.Kind.Idempotent
	if safe && len(sh.attempts) < maxAttempts && now.Before(q.plan.Deadline) {
		if q.sendViaStandby(now, id, &n) || q.send(now, id.Shard, &n) || q.scheduleRetry(now, id.Shard, &n, retryAfter) {
			return
		}
	}
	if !sh.hasOpenAttempt() {
		q.failShard(now, id.Shard, n.missing)
	}
}

// sendViaStandby sends to the same replica through its standby VM, if the owner VM and
// not the upstream was unable to serve.
func (q *Query) sendViaStandby(now time.Time, id AttemptID, n *nextAttempt) bool {
	if q.mustHold(now, n.cause) {
		return false
	}
	switch n.after {
	case pb.Result_OWNER_UNREACHABLE, pb.Result_NOT_OWNER, pb.Result_VM_STOPPING:
	default:
		return false
	}
	a := q.attempt(id)
	sh := &q.shards[id.Shard]
	if sh.triedViaStandby&(1<<a.replica) != 0 {
		return false
	}
	sh.triedViaStandby |= 1 << a.replica
	q.dispatch(now, id.Shard, a.replica, n, true)
	return true
}

// send sends an attempt to the best replica not yet tried, or holds it while the query
// is isolated. It returns false if no attempt is possible.
func (q *Query) send(now time.Time, shard int, n *nextAttempt) bool {
	sh := &q.shards[shard]
	if q.mustHold(now, n.cause) {
		return q.holdAttempt(now, shard, n)
	}
	replica := q.policy.PickReplica(now, ReplicaRequest{
		Shard:    q.targets[shard],
		Snapshot: q.snapshot,
		Tried:    sh.tried,
		Explore:  n.cause == First && q.hedgingEnabled(),
	})
	if replica == NoReplica || !q.takeBudget(n) {
		return false
	}
	q.dispatch(now, shard, replica, n, false)
	return true
}

// takeBudget charges a hedge or retry to its budget. Other causes are free.
func (q *Query) takeBudget(n *nextAttempt) bool {
	if n.budgetTaken || (n.cause != Hedge && n.cause != Retry) {
		return true
	}
	n.budgetTaken = q.policy.Spend(q.plan.Kind, n.cause)
	if !n.budgetTaken {
		q.stats.BudgetDenied[n.cause]++
		n.budgetDenied = true
	}
	return n.budgetTaken
}

func (q *Query) dispatch(now time.Time, shard, replica int, n *nextAttempt, standby bool) {
	sh := &q.shards[shard]
	target := q.targets[shard]
	u := target.Replicas[replica]
	id := AttemptID{Round: len(q.restarts), Shard: shard, Try: len(sh.attempts)}
	q.policy.RecordSend(now, u)
	q.stats.recordSend(n.cause, n.after)
	sh.tried |= 1 << replica
	sh.attempts = append(sh.attempts, attempt{
		replica:  replica,
		upstream: u,
		cause:    n.cause,
		after:    n.after,
		standby:  standby,
		sentAt:   q.elapsed(now),
		open:     true,
		isolated: q.isolation.Active(),
	})
	q.scheduleHedge(now, shard)
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

// scheduleRetry schedules another pass over the replicas of a shard after a pause, if
// all were asked and one of them may serve then because it was full or failed for a
// transient reason. It takes the retry budget now, so that a query without budget ends
// at once.
func (q *Query) scheduleRetry(now time.Time, shard int, n *nextAttempt, retryAfter time.Duration) bool {
	sh := &q.shards[shard]
	if n.budgetDenied || sh.hasOpenAttempt() || !sh.transientFailure || q.mustHold(now, n.cause) {
		return false
	}
	pause := max(retryAfter, minRetryPause<<(len(sh.attempts)-1))
	if n.after == pb.Result_UNREACHABLE {
		pause = max(retryAfter, reconnectPause)
		if sh.waitedForReconnect || pause > maxReconnectPause {
			return false
		}
		sh.waitedForReconnect = true
	}
	if !now.Add(pause).Before(q.plan.Deadline) || !q.takeBudget(n) {
		return false
	}
	sh.tried = 0
	sh.triedViaStandby = 0
	sh.transientFailure = false
	sh.pendingAttempt = n
	q.setTimer(shard, q.elapsed(now)+pause)
	return true
}

// isTransient reports whether the reason of a failure may be gone after a pause.
func isTransient(r pb.Result) bool {
	switch r {
	case pb.Result_TOO_LATE, pb.Result_NO_SNAPSHOT, pb.Result_UPSTREAM_LEAVING:
		return false
	default:
		return true
	}
}

func (q *Query) hedgingEnabled() bool {
	return q.plan.Kind.Idempotent && q.plan.Kind.HedgePercent > 0
}

// scheduleHedge sets the shard's hedge timer according to its last attempt.
func (q *Query) scheduleHedge(now time.Time, shard int) {
	sh := &q.shards[shard]
	a := &sh.attempts[len(sh.attempts)-1]
	sh.timerAt = 0
	if !q.hedgingEnabled() || a.cause == Hedge || len(sh.attempts) >= maxAttempts {
		return
	}
	delay, known := q.policy.HedgeDelay(now, q.plan.Kind, q.targets[shard], a.replica)
	sh.hedgeDelayEstimated = !known
	q.setTimer(shard, a.sentAt+delay)
}

// rescheduleHedges moves the hedge timers that are based on a guess, now that answers
// of other shards of the same query provide latencies. It runs only after half and
// after nine tenths of the answers, so that a wide query does not visit every shard
// after every answer.
func (q *Query) rescheduleHedges() {
	n := len(q.shards)
	if done := n - q.openShards; done != (n+1)/2 && done != n*9/10 {
		return
	}
	for i := range q.shards {
		sh := &q.shards[i]
		if !sh.closed && sh.hedgeDelayEstimated && sh.timerAt > 0 && sh.pendingAttempt == nil {
			q.scheduleHedge(q.started, i)
		}
	}
}

// sendHedge sends a second sub-request for a slow shard. If the budget denies it, the
// next try comes after the shard has waited as long again.
func (q *Query) sendHedge(now time.Time, shard int) {
	sh := &q.shards[shard]
	if sh.decoding > 0 || len(sh.attempts) >= maxAttempts {
		return
	}
	n := &nextAttempt{cause: Hedge}
	n.budgetDenied = q.mustHold(now, n.cause)
	if !n.budgetDenied && (q.send(now, shard, n) || !n.budgetDenied) {
		return
	}
	waited := q.elapsed(now) - sh.attempts[0].sentAt
	q.setTimer(shard, q.elapsed(now)+max(waited, minRetryPause))
}

// restart begins the whole query again at another snapshot, because no replica of one
// shard has the pinned one any more. It discards all answers, since keeping them would
// mix two snapshots in one answer. A kind that is not idempotent restarts only if no
// sub-request may have run.
func (q *Query) restart(now time.Time, shard int) bool {
	if len(q.restarts) >= maxRestarts || !now.Before(q.plan.Deadline) || !q.restartAllowed() {
		return false
	}
	total := q.plan.Deadline.Sub(q.started)
	if float64(q.plan.Deadline.Sub(now)) < minRestartFraction*float64(total) {
		return false
	}
	m, snapshot, ok := q.policy.Repin(now, q.plan.Kind.Service, q.snapshot)
	if !ok || sameSnapshot(snapshot, q.snapshot) {
		return false
	}
	rec := RestartRecord{At: q.elapsed(now), From: q.snapshot, To: snapshot, Shard: q.targets[shard].ID}
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.hits != nil {
			rec.Discarded++
		}
		q.mayHaveRun = q.mayHaveRun || sh.hasOpenAttempt()
		if !sh.closed {
			q.cancelOpenAttempts(now, i)
		}
	}
	q.restarts = append(q.restarts, rec)
	// Callers on the stack still hold shard states of the previous round, so their
	// memory is not reused.
	q.buffers = &buffers{}
	q.pinSnapshot(m, snapshot)
	q.scatter(now, Restart)
	return true
}

func (q *Query) restartAllowed() bool {
	if q.plan.Kind.Idempotent {
		return true
	}
	if q.ran || q.mayHaveRun {
		return false
	}
	for i := range q.shards {
		if q.shards[i].hasOpenAttempt() {
			return false
		}
	}
	return true
}
