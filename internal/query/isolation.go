package query

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// holdPause is how often a sub-request that waits for another one's end is looked at: a
// fraction of what an answer takes.
const holdPause = 5 * time.Millisecond

// noteIsolation takes in what the end of an attempt says of the request itself.
func (q *Query) noteIsolation(now time.Time, a *attempt, r *pb.SubReply) {
	switch {
	case r.Result == pb.Result_OK || r.Result == pb.Result_UPSTREAM_ERROR:
		q.isolation.Survived()
		q.witness.Survived(now)
	case r.UpstreamEnded:
		q.isolation.Crashed(a.alone)
		q.witness.Ended(a.upstream, q.started.Add(a.sentAt), now)
	case r.Result == pb.Result_SHED || r.Result == pb.Result_UPSTREAM_LEAVING || r.Result == pb.Result_NO_SNAPSHOT:
		q.isolation.Refused(a.alone)
	case !provesNotRun(r.Result):
		q.isolation.Unanswered(a.alone)
	}
}

// holds tells whether a further sub-request has to wait, or is not to be sent at all. The
// first ones of a query that is free go out without a look: whoever started it has looked.
func (q *Query) holds(now time.Time, cause Cause) bool {
	if !q.isolation.Active() {
		return cause != First && q.witness.Blocked(now)
	}
	return q.stopped(now) || q.anyOpen()
}

// stopped tells whether no upstream is to have the request any more.
func (q *Query) stopped(now time.Time) bool {
	return q.isolation.Exhausted() || q.witness.Blocked(now)
}

// hold lets a shard wait until it may be looked at again; false when nothing would come of
// it.
func (q *Query) hold(now time.Time, shard int, n *next) bool {
	if q.stopped(now) {
		return false
	}
	q.shards[shard].again = n
	q.wakeAt(shard, q.since(now)+holdPause)
	return true
}

// anyOpen tells whether a sub-request is under way.
func (q *Query) anyOpen() bool {
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.closed && sh.anyOpen() {
			return true
		}
	}
	return false
}
