package query

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
)

// maxAttempts limits the sends for one shard, including those that are refused. Six
// lets each of three replicas refuse and be asked a second time.
const maxAttempts = 6

// Query is the state machine of one request. Its methods take events and return the
// actions that the driver must carry out; the returned slice is valid until the next
// call. A Query is not safe for concurrent use.
type Query struct {
	plan     *Plan
	policy   UpstreamPolicy
	started  time.Time
	snapshot *pb.Snapshot
	targets  []*contract.Shard
	shards   []shardState
	timers   shardTimers
	// openShards counts the shards that have neither an answer nor a reason to be
	// missing.
	openShards       int
	coveredDocuments uint64
	totalDocuments   uint64
	ran              bool
	mayHaveRun       bool
	timedOut         bool
	// confirming is set between Deadline and ConfirmBy, while owners are asked to
	// confirm the cancellation of open attempts.
	confirming bool
	ended      bool
	// softDeadlinePassed is set once Wake runs after the soft deadline. From then on
	// each reply may end the query.
	softDeadlinePassed bool
	restarts           []RestartRecord
	stats              Stats
	isolation          quarantine.Isolation
	crashGuard         CrashGuard
	actions            []Action
	// buffers is the backing memory of shards, timers and actions.
	buffers *buffers
}

// buffers holds the slices of one query for reuse by the next query on the same worker.
// For queries of hundreds of shards they are most of the memory allocated.
type buffers struct {
	shards   []shardState
	attempts []attempt
	timers   shardTimers
	actions  []Action
}

// zeroed returns a slice of n zeroed elements backed by *kept, which it grows as
// needed.
func zeroed[T any](kept *[]T, n int) []T {
	if cap(*kept) < n {
		*kept = make([]T, n)
	}
	out := (*kept)[:n]
	clear(out)
	return out
}

// shardState is the state of one shard of the query.
type shardState struct {
	attempts []attempt
	hits     []Hit
	missing  Missing
	closed   bool
	// decoding counts the answers that are being decoded. No hedge is sent while it is
	// positive.
	decoding int
	// snapshotMissing is set when a replica does not have the pinned snapshot.
	snapshotMissing bool
	// transientFailure is set when a replica fails for a reason that may be gone after
	// a pause.
	transientFailure bool
	// waitedForReconnect is set once the shard has paused for an unreachable upstream.
	waitedForReconnect bool
	// timerAt is the time since the start of the query at which the shard's timer
	// fires, 0 for no timer. The timer sends pendingAttempt when that is set, and a
	// hedge otherwise.
	timerAt        time.Duration
	pendingAttempt *nextAttempt
	// hedgeDelayEstimated is set when the hedge delay of timerAt is a guess, not based
	// on latencies.
	hedgeDelayEstimated bool
	// Bit i of tried is set when replica i has been asked, bit i of triedViaStandby
	// when it has been asked through its standby VM.
	tried           uint64
	triedViaStandby uint64
}

// nextAttempt describes an attempt that is not yet sent.
type nextAttempt struct {
	cause Cause
	// after is the result that a retry or redirect follows.
	after pb.Result
	// missing is why the shard is missing if the attempt cannot be sent.
	missing Missing
	// budgetTaken and budgetDenied record the answer of the budget, if it was asked.
	budgetTaken, budgetDenied bool
}

type attempt struct {
	replica  int
	upstream *contract.Upstream
	cause    Cause
	// after is the result that a retry or redirect follows.
	after       pb.Result
	standby     bool
	sentAt      time.Duration
	took        time.Duration
	result      pb.Result
	detail      string
	disposition disposition
	open        bool
	// isolated is set when the query was isolated at the time of the send.
	isolated bool
	// wireID and vm are the sub-request id and the VM that the driver sent it to.
	wireID uint64
	vm     string
}

// disposition says whether the query accepted an answer, or why it did not.
type disposition uint8

const (
	accepted disposition = iota
	wrongSnapshot
	malformed
)

// New returns a query that has sent nothing. Start begins it.
func New(plan *Plan, fleet UpstreamPolicy) *Query {
	q := &Query{plan: plan, policy: fleet, isolation: quarantine.Isolation{Trial: plan.Trial}, crashGuard: plan.CrashGuard}
	if q.crashGuard == nil {
		q.crashGuard = nopCrashGuard{}
	}
	return q
}

// useBuffers gives the query memory to work in. releaseBuffers takes it back when the
// query has ended; after that only late events may reach the query, which ignores them.
func (q *Query) useBuffers(b *buffers) { q.buffers = b }

func (q *Query) releaseBuffers() *buffers {
	b := q.buffers
	if b == nil {
		return nil
	}
	b.timers = q.timers[:0]
	b.actions = q.actions[:0]
	clear(b.shards)
	clear(b.attempts)
	clear(b.actions[:cap(b.actions)])
	q.buffers, q.shards, q.timers, q.actions = nil, nil, nil, nil
	return b
}

// pinSnapshot resets the shards of the query for a shard map and snapshot.
func (q *Query) pinSnapshot(m *contract.ShardMap, snapshot *pb.Snapshot) {
	q.snapshot = snapshot
	q.targets = q.plan.shardsIn(m)
	q.shards = zeroed(&q.buffers.shards, len(q.targets))
	first := zeroed(&q.buffers.attempts, len(q.targets))
	for i := range q.shards {
		q.shards[i].attempts = first[i : i : i+1]
	}
	q.openShards = len(q.targets)
	q.coveredDocuments = 0
	q.totalDocuments = 0
	for _, s := range q.targets {
		q.totalDocuments += s.Documents
	}
	q.timers = q.timers[:0]
}

// Start sends the first sub-request of every shard.
func (q *Query) Start(now time.Time) []Action {
	q.started = now
	if q.buffers == nil {
		q.buffers = &buffers{}
	}
	q.timers = q.buffers.timers
	q.actions = q.buffers.actions[:0]
	q.pinSnapshot(q.plan.Map, q.plan.Snapshot)
	q.policy.Earn(q.plan.Kind, len(q.shards))
	q.scatter(now, First)
	q.finishIfDone(now)
	return q.actions
}

func (q *Query) scatter(now time.Time, cause Cause) {
	for i := range q.shards {
		if !q.send(now, i, &nextAttempt{cause: cause}) {
			q.failShard(now, i, MissingNoReplica)
		}
	}
}

// Sent records the sub-request id and the VM of an attempt that the driver has sent.
func (q *Query) Sent(id AttemptID, wireID uint64, vm string) {
	a := q.attempt(id)
	a.wireID = wireID
	a.vm = vm
}

// Reply handles the end of one attempt. It does not check the deadline: after a pause
// of the process, the driver passes in all replies that arrived meanwhile before it
// calls Wake.
func (q *Query) Reply(now time.Time, id AttemptID, r *pb.SubReply) []Action {
	q.actions = q.actions[:0]
	if q.ended || id.Round != len(q.restarts) {
		return nil
	}
	a := q.attempt(id)
	if !a.open {
		return nil
	}
	a.open = false
	a.result = r.Result
	a.detail = r.Detail
	a.took = q.elapsed(now) - a.sentAt
	q.recordResult(r.Result)
	q.recordForIsolation(now, a, r)
	q.policy.Observe(now, Observation{Upstream: a.upstream, Snapshot: q.snapshot, Took: a.took, Reply: r})
	if !q.shards[id.Shard].closed {
		q.handleResult(now, id, r)
	}
	q.finishIfDone(now)
	return q.actions
}

// Decoded handles the decoded hits of an answer, or the error from decoding it.
func (q *Query) Decoded(now time.Time, id AttemptID, hits []Hit, err error) []Action {
	q.actions = q.actions[:0]
	if q.ended || id.Round != len(q.restarts) || q.shards[id.Shard].closed {
		return nil
	}
	sh := &q.shards[id.Shard]
	sh.decoding--
	if err != nil {
		q.stats.Malformed++
		q.attempt(id).disposition = malformed
		q.retryOrFail(now, id, nextAttempt{cause: Retry, after: pb.Result_OK, missing: MissingMalformed}, 0)
	} else {
		sh.hits = hits
		q.coveredDocuments += q.targets[id.Shard].Documents
		q.closeShard(now, id.Shard)
		q.rescheduleHedges()
	}
	q.finishIfDone(now)
	return q.actions
}

// Wake fires the timers that are due and applies the deadlines.
func (q *Query) Wake(now time.Time) []Action {
	q.actions = q.actions[:0]
	if q.ended {
		return nil
	}
	if now.Before(q.plan.Deadline) {
		q.fireDueTimers(now)
	} else {
		q.timedOut = true
		q.handleDeadline(now)
	}
	if soft := q.plan.SoftDeadline; !soft.IsZero() && !now.Before(soft) {
		q.softDeadlinePassed = true
	}
	q.finishIfDone(now)
	return q.actions
}

// handleDeadline closes the open shards. If there is time until ConfirmBy, it first
// asks the owners to cancel the open attempts and waits for their confirmations.
func (q *Query) handleDeadline(now time.Time) {
	q.confirming = now.Before(q.plan.ConfirmBy)
	q.closeOpenShards(now, MissingDeadline)
	if !q.confirming {
		return
	}
	for i := range q.shards {
		if !q.shards[i].closed {
			q.requestConfirmedCancel(i)
		}
	}
}

func (q *Query) requestConfirmedCancel(shard int) {
	sh := &q.shards[shard]
	for try := range sh.attempts {
		a := &sh.attempts[try]
		if !a.open {
			continue
		}
		q.actions = append(q.actions, Action{
			Op:       OpConfirmCancel,
			Attempt:  AttemptID{Round: len(q.restarts), Shard: shard, Try: try},
			Upstream: a.upstream,
			WireID:   a.wireID,
			VM:       a.vm,
		})
	}
}

// Abandon ends the query because its caller has gone. It returns the actions that
// cancel the open attempts.
func (q *Query) Abandon(now time.Time) []Action {
	q.actions = q.actions[:0]
	if !q.ended {
		q.finish(now, MissingDeadline)
	}
	return q.actions
}

// Next returns the time at which to call Wake, or the zero time if the query has no
// timer left.
func (q *Query) Next() time.Time {
	switch {
	case q.confirming:
		return q.plan.ConfirmBy
	case q.ended || q.timedOut:
		return time.Time{}
	}
	at := q.plan.Deadline
	if soft := q.plan.SoftDeadline; !soft.IsZero() && !q.softDeadlinePassed && soft.Before(at) {
		at = soft
	}
	if t, ok := q.nextTimer(); ok {
		if fireAt := q.started.Add(t.at); fireAt.Before(at) {
			at = fireAt
		}
	}
	return at
}

// nextTimer returns the earliest valid timer. It drops timers of closed shards and
// timers that have been replaced.
func (q *Query) nextTimer() (shardTimer, bool) {
	for len(q.timers) > 0 {
		t := q.timers[0]
		if sh := &q.shards[t.shard]; !sh.closed && sh.timerAt == t.at {
			return t, true
		}
		q.timers.pop()
	}
	return shardTimer{}, false
}

// fireDueTimers fires the timer of each shard that is due, until a restart replaces the
// shards.
func (q *Query) fireDueTimers(now time.Time) {
	round := len(q.restarts)
	for {
		t, ok := q.nextTimer()
		if !ok || t.at > q.elapsed(now) || round != len(q.restarts) {
			return
		}
		q.timers.pop()
		q.shards[t.shard].timerAt = 0
		q.fireTimer(now, t.shard)
	}
}

func (q *Query) fireTimer(now time.Time, shard int) {
	sh := &q.shards[shard]
	pending := sh.pendingAttempt
	sh.pendingAttempt = nil
	switch {
	case pending == nil:
		q.sendHedge(now, shard)
	case !q.send(now, shard, pending):
		q.failShard(now, shard, pending.missing)
	}
}

// setTimer sets the timer of a shard; 0 clears it.
func (q *Query) setTimer(shard int, at time.Duration) {
	q.shards[shard].timerAt = at
	if at > 0 {
		q.timers.push(shardTimer{at: at, shard: shard})
	}
}

func (q *Query) elapsed(now time.Time) time.Duration {
	return now.Sub(q.started)
}

func (q *Query) attempt(id AttemptID) *attempt {
	return &q.shards[id.Shard].attempts[id.Try]
}

func (q *Query) recordResult(r pb.Result) {
	switch r {
	case pb.Result_OK, pb.Result_UPSTREAM_ERROR:
		q.ran = true
	default:
		q.mayHaveRun = q.mayHaveRun || !provesNotRun(r)
	}
}

// provesNotRun reports whether a result proves that the sub-request ran nowhere. An
// unknown result, sent by a peer of a newer version, proves nothing.
func provesNotRun(r pb.Result) bool {
	switch r {
	case pb.Result_SHED, pb.Result_NOT_OWNER, pb.Result_NO_SNAPSHOT, pb.Result_QUEUE_FULL,
		pb.Result_TOO_LATE, pb.Result_CANCELLED, pb.Result_UPSTREAM_LEAVING,
		pb.Result_UNREACHABLE, pb.Result_VM_STOPPING, pb.Result_OWNER_UNREACHABLE:
		return true
	default:
		return false
	}
}

// handleResult chooses what to do with a shard after a reply: decode the answer, send
// another attempt or fail the shard.
func (q *Query) handleResult(now time.Time, id AttemptID, r *pb.SubReply) {
	sh := &q.shards[id.Shard]
	n := nextAttempt{cause: Redirect, after: r.Result}
	switch r.Result {
	case pb.Result_OK:
		q.handleAnswer(now, id, r)
		return
	case pb.Result_UPSTREAM_ERROR:
		n.cause, n.missing = Retry, MissingFailed
	case pb.Result_NO_SNAPSHOT:
		sh.snapshotMissing = true
		n.missing = MissingSnapshot
	case pb.Result_TOO_LATE:
		n.missing = MissingDeadline
	case pb.Result_UNREACHABLE, pb.Result_OWNER_UNREACHABLE, pb.Result_NOT_OWNER, pb.Result_VM_STOPPING, pb.Result_UPSTREAM_LEAVING:
		n.missing = MissingNoReplica
	case pb.Result_SHED, pb.Result_QUEUE_FULL, pb.Result_CANCELLED:
		n.missing = MissingShed
	default:
		n.cause, n.missing = Retry, MissingUnknown
	}
	if q.timedOut && n.cause == Redirect {
		n.missing = MissingDeadline
	}
	q.retryOrFail(now, id, n, time.Duration(r.RetryAfterMs)*time.Millisecond)
}

// handleAnswer requests that the body of an answer be decoded. It discards an answer
// from another snapshot, because merging it would mix two states of the index.
func (q *Query) handleAnswer(now time.Time, id AttemptID, r *pb.SubReply) {
	sh := &q.shards[id.Shard]
	if !sameSnapshot(r.Snapshot, q.snapshot) {
		q.stats.WrongSnapshot++
		q.attempt(id).disposition = wrongSnapshot
		sh.snapshotMissing = true
		q.retryOrFail(now, id, nextAttempt{cause: Retry, after: r.Result, missing: MissingWrongSnapshot}, 0)
		return
	}
	sh.decoding++
	q.actions = append(q.actions, Action{Op: OpDecode, Attempt: id, Body: r.Body})
}

// failShard closes a shard without an answer. If a replica lacked the pinned snapshot,
// it first tries to restart the whole query at another one.
func (q *Query) failShard(now time.Time, shard int, reason Missing) {
	sh := &q.shards[shard]
	if sh.closed {
		return
	}
	if sh.snapshotMissing && q.restart(now, shard) {
		return
	}
	sh.missing = reason
	q.closeShard(now, shard)
}

// closeShard ends the work on a shard and cancels its open attempts.
func (q *Query) closeShard(now time.Time, shard int) {
	sh := &q.shards[shard]
	sh.closed = true
	sh.timerAt = 0
	sh.pendingAttempt = nil
	q.openShards--
	q.cancelOpenAttempts(now, shard)
}

func (q *Query) cancelOpenAttempts(now time.Time, shard int) {
	sh := &q.shards[shard]
	for try := range sh.attempts {
		a := &sh.attempts[try]
		if !a.open {
			continue
		}
		a.took = q.elapsed(now) - a.sentAt
		q.policy.Observe(now, Observation{Upstream: a.upstream, Snapshot: q.snapshot, Took: a.took})
		q.actions = append(q.actions, Action{
			Op:       OpCancel,
			Attempt:  AttemptID{Round: len(q.restarts), Shard: shard, Try: try},
			Upstream: a.upstream,
			WireID:   a.wireID,
			VM:       a.vm,
		})
	}
}

// finishIfDone ends the query when no shard is open, or when the soft deadline has
// passed and the coverage floor is reached.
func (q *Query) finishIfDone(now time.Time) {
	if q.ended {
		return
	}
	if q.openShards > 0 && q.softDeadlinePassed && q.coverageFloorReached() {
		q.closeOpenShards(now, MissingSoftDeadline)
	}
	if q.openShards == 0 {
		q.finish(now, MissingDeadline)
	}
}

func (q *Query) coverageFloorReached() bool {
	return float64(q.coveredDocuments) >= q.plan.Kind.CoverageFloor*float64(q.totalDocuments)
}

// closeOpenShards closes every shard with the given reason, except shards with an
// answer being decoded, which needs no further waiting for an upstream. While
// cancellations are being confirmed it also keeps shards with open attempts.
func (q *Query) closeOpenShards(now time.Time, reason Missing) {
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.closed || sh.decoding > 0 || (q.confirming && sh.hasOpenAttempt()) {
			continue
		}
		sh.missing = reason
		q.mayHaveRun = q.mayHaveRun || sh.hasOpenAttempt()
		q.closeShard(now, i)
	}
}

func (q *Query) finish(now time.Time, reason Missing) {
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.closed {
			sh.missing = reason
			q.mayHaveRun = q.mayHaveRun || sh.hasOpenAttempt()
			q.closeShard(now, i)
		}
	}
	q.ended = true
	q.confirming = false
	q.actions = append(q.actions, Action{Op: OpFinish, Outcome: q.outcome()})
}

func (q *Query) outcome() *Outcome {
	out := &Outcome{
		Snapshot:   q.snapshot,
		Covered:    q.coveredDocuments,
		Total:      q.totalDocuments,
		Ran:        q.ran,
		MayHaveRun: q.mayHaveRun,
		Restarts:   q.restarts,
		Stats:      q.stats,
		Shards:     make([]ShardOutcome, len(q.shards)),
	}
	records := make([]AttemptRecord, 0, len(q.shards))
	for i := range q.shards {
		sh := &q.shards[i]
		from := len(records)
		records = sh.appendRecords(records)
		out.TimedOut = out.TimedOut || (q.timedOut && sh.missing == MissingDeadline)
		out.Shards[i] = ShardOutcome{Shard: q.targets[i], Hits: sh.hits, Missing: sh.missing, Attempts: records[from:len(records):len(records)]}
	}
	return out
}

func (s *shardState) appendRecords(to []AttemptRecord) []AttemptRecord {
	for i := range s.attempts {
		a := &s.attempts[i]
		to = append(to, AttemptRecord{
			Upstream: a.upstream.ID,
			Cause:    a.cause,
			Why:      s.reasonSent(i),
			Standby:  a.standby,
			Sent:     a.sentAt,
			Took:     a.took,
			Result:   a.resultLabel(),
			Detail:   a.detail,
		})
	}
	return to
}

// reasonSent explains, for the explain output, why attempt i was sent.
func (s *shardState) reasonSent(i int) string {
	a := &s.attempts[i]
	switch a.cause {
	case First:
		return ""
	case Hedge:
		return "no answer after " + (a.sentAt - s.attempts[0].sentAt).Round(time.Microsecond).String()
	case Restart:
		return "the snapshot retired"
	default:
		return "after " + resultLabel(a.after)
	}
}

func (a *attempt) resultLabel() string {
	switch {
	case a.open:
		return "withdrawn"
	case a.disposition == wrongSnapshot:
		return "ok, wrong snapshot"
	case a.disposition == malformed:
		return "ok, malformed"
	default:
		return resultLabel(a.result)
	}
}

func (s *shardState) hasOpenAttempt() bool {
	for i := range s.attempts {
		if s.attempts[i].open {
			return true
		}
	}
	return false
}

func sameSnapshot(a, b *pb.Snapshot) bool {
	return a.GetGeneration() == b.GetGeneration() && a.GetVersion() == b.GetVersion()
}
