package query

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// holdPollInterval is the interval at which a held attempt is checked again. It is a
// fraction of the usual time to an answer.
const holdPollInterval = 5 * time.Millisecond

// recordForIsolation updates the isolation state and the witness at the end of an
// attempt.
func (q *Query) recordForIsolation(now time.Time, a *attempt, r *pb.SubReply) {
	switch {
	case r.Result == pb.Result_OK || r.Result == pb.Result_UPSTREAM_ERROR:
		q.isolation.Survived()
		q.crashGuard.RecordSurvival(now)
	case r.UpstreamEnded:
		q.isolation.Crashed(a.isolated)
		q.crashGuard.RecordCrash(a.upstream, q.started.Add(a.sentAt), now)
	case r.Result == pb.Result_SHED || r.Result == pb.Result_UPSTREAM_LEAVING || r.Result == pb.Result_NO_SNAPSHOT:
		q.isolation.Refused(a.isolated)
	case !provesNotRun(r.Result):
		q.isolation.Unanswered(a.isolated)
	}
}

// mustHold reports whether a further sub-request has to be held back or must not be
// sent at all. First sub-requests of a query that is not isolated are sent without
// asking the witness, because the caller of the query has already checked.
func (q *Query) mustHold(now time.Time, cause Cause) bool {
	if !q.isolation.Active() {
		return cause != First && q.crashGuard.Blocked(now)
	}
	return q.sendingStopped(now) || q.hasOpenAttempt()
}

// sendingStopped reports whether the request must no longer be sent to any upstream.
func (q *Query) sendingStopped(now time.Time) bool {
	return q.isolation.Exhausted() || q.crashGuard.Blocked(now)
}

// holdAttempt schedules a held attempt to be checked again. It returns false if sending
// has stopped.
func (q *Query) holdAttempt(now time.Time, shard int, n *nextAttempt) bool {
	if q.sendingStopped(now) {
		return false
	}
	q.shards[shard].pendingAttempt = n
	q.setTimer(shard, q.elapsed(now)+holdPollInterval)
	return true
}

// hasOpenAttempt reports whether any sub-request of an open shard awaits a reply.
func (q *Query) hasOpenAttempt() bool {
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.closed && sh.hasOpenAttempt() {
			return true
		}
	}
	return false
}
