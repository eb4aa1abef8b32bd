package query

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/quarantine"
)

// maxAttempts bounds the sends of one shard's sub-request, refusals included:
// enough for each of three replicas to refuse and be asked once more.
const maxAttempts = 6

// Query is one request under way. It is not safe for concurrent use.
type Query struct {
	plan     *Plan
	fleet    Fleet
	started  time.Time
	snapshot *pb.Snapshot
	targets  []*contract.Shard
	shards   []shardState
	alarms   alarms
	// open is the shards that are neither answered nor given up.
	open     int
	covered  uint64
	total    uint64
	ran      bool
	unsure   bool
	timedOut bool
	// confirming says that the owners were asked to take back what is open.
	confirming bool
	ended      bool
	// softPassed says that Wake has acted on the soft deadline: from then on
	// each reply may end the query.
	softPassed bool
	restarts   []RestartRecord
	tally      Tally
	isolation  quarantine.Isolation
	witness    Witness
	actions    []Action
	// memory is what the slices above were cut from.
	memory *memory
}

// memory is the slices of one query, kept for the next one on the same worker:
// at hundreds of shards a query they are most of what it allocates.
type memory struct {
	shards   []shardState
	attempts []attempt
	alarms   alarms
	actions  []Action
}

// cut gives n zeroed elements of a slice that is kept, growing it as needed.
func cut[T any](kept *[]T, n int) []T {
	if cap(*kept) < n {
		*kept = make([]T, n)
	}
	out := (*kept)[:n]
	clear(out)
	return out
}

// shardState is one shard of the query.
type shardState struct {
	attempts []attempt
	hits     []Hit
	missing  Missing
	closed   bool
	// decoding is the answers being decoded; no hedge is sent meanwhile.
	decoding int
	// lacking says that a replica did not have the pinned snapshot.
	lacking bool
	// passing says that a replica failed for a reason that may be gone soon.
	passing bool
	// downWaited says that an upstream that was down was waited for.
	downWaited bool
	// turn is when the shard is to be looked at, 0 for never: to send a hedge,
	// or, when again is set, to try anew after a pause.
	turn  time.Duration
	again *next
	// guessed says that turn rests on nothing known.
	guessed bool
	// tried has bit i set when replica i was asked, standby when it was asked
	// through its standby VM.
	tried   uint64
	standby uint64
}

// next is an attempt to come.
type next struct {
	cause Cause
	// after is the result that a retry or redirect follows.
	after pb.Result
	// why the shard is missing when the attempt can't be made.
	why Missing
	// paid and refused say what its budget said, if it was asked.
	paid, refused bool
}

type attempt struct {
	replica  int
	upstream *contract.Upstream
	cause    Cause
	// after is the result that a retry or redirect follows.
	after   pb.Result
	standby bool
	sentAt  time.Duration
	took    time.Duration
	result  pb.Result
	detail  string
	verdict verdict
	open    bool
	// alone says that the query was isolated when it was sent.
	alone bool
	// wire and vm are where the driver sent it.
	wire uint64
	vm   string
}

// verdict is what became of a reply besides its result.
type verdict uint8

const (
	taken verdict = iota
	wrongSnapshot
	malformed
)

// New makes a query that has sent nothing.
func New(plan *Plan, fleet Fleet) *Query {
	q := &Query{plan: plan, fleet: fleet, isolation: quarantine.Isolation{Trial: plan.Trial}, witness: plan.Witness}
	if q.witness == nil {
		q.witness = nobody{}
	}
	return q
}

// use gives the query slices to work in; release takes them back when it has
// ended, after which only its late events may reach the query.
func (q *Query) use(m *memory) { q.memory = m }

func (q *Query) release() *memory {
	m := q.memory
	if m == nil {
		return nil
	}
	m.alarms = q.alarms[:0]
	m.actions = q.actions[:0]
	clear(m.shards)
	clear(m.attempts)
	clear(m.actions[:cap(m.actions)])
	q.memory, q.shards, q.alarms, q.actions = nil, nil, nil, nil
	return m
}

// pin sets the query up for a snapshot.
func (q *Query) pin(m *contract.ShardMap, snapshot *pb.Snapshot) {
	q.snapshot = snapshot
	q.targets = q.plan.shardsOf(m)
	q.shards = cut(&q.memory.shards, len(q.targets))
	room := cut(&q.memory.attempts, len(q.targets))
	for i := range q.shards {
		q.shards[i].attempts = room[i : i : i+1]
	}
	q.open = len(q.targets)
	q.covered = 0
	q.total = 0
	for _, s := range q.targets {
		q.total += s.Documents
	}
	q.alarms = q.alarms[:0]
}

// Start sends the first sub-request of every shard.
func (q *Query) Start(now time.Time) []Action {
	q.started = now
	if q.memory == nil {
		q.memory = &memory{}
	}
	q.alarms = q.memory.alarms
	q.actions = q.memory.actions[:0]
	q.pin(q.plan.Map, q.plan.Snapshot)
	q.fleet.Earn(q.plan.Kind, len(q.shards))
	q.scatter(now, First)
	q.settle(now)
	return q.actions
}

func (q *Query) scatter(now time.Time, cause Cause) {
	for i := range q.shards {
		if !q.send(now, i, &next{cause: cause}) {
			q.giveUp(now, i, MissingNoReplica)
		}
	}
}

// Sent tells where an attempt went: its id on the wire and its VM.
func (q *Query) Sent(id AttemptID, wire uint64, vm string) {
	a := q.attempt(id)
	a.wire = wire
	a.vm = vm
}

// Reply takes the end of one attempt in. It never looks at the deadline: after
// a pause of the process the replies that came meanwhile are all taken in
// before Wake lets the time pass.
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
	a.took = q.since(now) - a.sentAt
	q.note(r.Result)
	q.noteIsolation(now, a, r)
	q.fleet.Observe(now, Observation{Upstream: a.upstream, Snapshot: q.snapshot, Took: a.took, Reply: r})
	if !q.shards[id.Shard].closed {
		q.judge(now, id, r)
	}
	q.settle(now)
	return q.actions
}

// Decoded takes the hits of an answer in, or that it could not be read.
func (q *Query) Decoded(now time.Time, id AttemptID, hits []Hit, err error) []Action {
	q.actions = q.actions[:0]
	if q.ended || id.Round != len(q.restarts) || q.shards[id.Shard].closed {
		return nil
	}
	sh := &q.shards[id.Shard]
	sh.decoding--
	if err != nil {
		q.tally.Malformed++
		q.attempt(id).verdict = malformed
		q.again(now, id, next{cause: Retry, after: pb.Result_OK, why: MissingMalformed}, 0)
	} else {
		sh.hits = hits
		q.covered += q.targets[id.Shard].Documents
		q.close(now, id.Shard)
		q.replanHedges()
	}
	q.settle(now)
	return q.actions
}

// Wake lets time pass.
func (q *Query) Wake(now time.Time) []Action {
	q.actions = q.actions[:0]
	if q.ended {
		return nil
	}
	if now.Before(q.plan.Deadline) {
		q.turns(now)
	} else {
		q.timedOut = true
		q.deadline(now)
	}
	if soft := q.plan.SoftDeadline; !soft.IsZero() && !now.Before(soft) {
		q.softPassed = true
	}
	q.settle(now)
	return q.actions
}

// deadline gives up what is open. A query that has time to confirm first asks
// the owners to take it back and waits for their word.
func (q *Query) deadline(now time.Time) {
	q.confirming = now.Before(q.plan.ConfirmBy)
	q.stopWaiting(now, MissingDeadline)
	if !q.confirming {
		return
	}
	for i := range q.shards {
		if !q.shards[i].closed {
			q.takeBack(i)
		}
	}
}

func (q *Query) takeBack(shard int) {
	sh := &q.shards[shard]
	for try := range sh.attempts {
		a := &sh.attempts[try]
		if !a.open {
			continue
		}
		q.actions = append(q.actions, Action{
			Op:       OpWithdraw,
			Attempt:  AttemptID{Round: len(q.restarts), Shard: shard, Try: try},
			Upstream: a.upstream,
			Wire:     a.wire,
			VM:       a.vm,
		})
	}
}

// Abandon ends the query without an answer: its caller has gone.
func (q *Query) Abandon(now time.Time) []Action {
	q.actions = q.actions[:0]
	if !q.ended {
		q.finish(now, MissingDeadline)
	}
	return q.actions
}

// Next is when Wake is to be called; the zero time when no time passes for the
// query any more.
func (q *Query) Next() time.Time {
	switch {
	case q.confirming:
		return q.plan.ConfirmBy
	case q.ended || q.timedOut:
		return time.Time{}
	}
	at := q.plan.Deadline
	if soft := q.plan.SoftDeadline; !soft.IsZero() && !q.softPassed && soft.Before(at) {
		at = soft
	}
	if a, ok := q.nextAlarm(); ok {
		if turn := q.started.Add(a.at); turn.Before(at) {
			at = turn
		}
	}
	return at
}

// nextAlarm drops the alarms that were put off.
func (q *Query) nextAlarm() (alarm, bool) {
	for len(q.alarms) > 0 {
		a := q.alarms[0]
		if sh := &q.shards[a.shard]; !sh.closed && sh.turn == a.at {
			return a, true
		}
		q.alarms.pop()
	}
	return alarm{}, false
}

// turns looks at each shard whose turn has come.
func (q *Query) turns(now time.Time) {
	round := len(q.restarts)
	for {
		a, ok := q.nextAlarm()
		if !ok || a.at > q.since(now) || round != len(q.restarts) {
			return
		}
		q.alarms.pop()
		q.shards[a.shard].turn = 0
		q.turn(now, a.shard)
	}
}

func (q *Query) turn(now time.Time, shard int) {
	sh := &q.shards[shard]
	waiting := sh.again
	sh.again = nil
	switch {
	case waiting == nil:
		q.hedge(now, shard)
	case !q.send(now, shard, waiting):
		q.giveUp(now, shard, waiting.why)
	}
}

// wakeAt sets a shard's turn; 0 for none.
func (q *Query) wakeAt(shard int, at time.Duration) {
	q.shards[shard].turn = at
	if at > 0 {
		q.alarms.push(alarm{at: at, shard: shard})
	}
}

func (q *Query) since(now time.Time) time.Duration {
	return now.Sub(q.started)
}

func (q *Query) attempt(id AttemptID) *attempt {
	return &q.shards[id.Shard].attempts[id.Try]
}

func (q *Query) note(r pb.Result) {
	switch r {
	case pb.Result_OK, pb.Result_UPSTREAM_ERROR:
		q.ran = true
	default:
		q.unsure = q.unsure || !provesNotRun(r)
	}
}

// provesNotRun tells whether a result says that the sub-request ran nowhere. A
// result that this daemon does not know, from a newer peer, proves nothing.
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

// judge decides what a reply means for its shard.
func (q *Query) judge(now time.Time, id AttemptID, r *pb.SubReply) {
	sh := &q.shards[id.Shard]
	n := next{cause: Redirect, after: r.Result}
	switch r.Result {
	case pb.Result_OK:
		q.answered(now, id, r)
		return
	case pb.Result_UPSTREAM_ERROR:
		n.cause, n.why = Retry, MissingFailed
	case pb.Result_NO_SNAPSHOT:
		sh.lacking = true
		n.why = MissingSnapshot
	case pb.Result_TOO_LATE:
		n.why = MissingDeadline
	case pb.Result_UNREACHABLE, pb.Result_OWNER_UNREACHABLE, pb.Result_NOT_OWNER, pb.Result_VM_STOPPING, pb.Result_UPSTREAM_LEAVING:
		n.why = MissingNoReplica
	case pb.Result_SHED, pb.Result_QUEUE_FULL, pb.Result_CANCELLED:
		n.why = MissingShed
	default:
		n.cause, n.why = Retry, MissingUnknown
	}
	if q.timedOut && n.cause == Redirect {
		n.why = MissingDeadline
	}
	q.again(now, id, n, time.Duration(r.RetryAfterMs)*time.Millisecond)
}

// answered has a body decoded. A reply of another snapshot is discarded: were
// it merged the answer would mix two states of the index.
func (q *Query) answered(now time.Time, id AttemptID, r *pb.SubReply) {
	sh := &q.shards[id.Shard]
	if !sameSnapshot(r.Snapshot, q.snapshot) {
		q.tally.WrongSnapshot++
		q.attempt(id).verdict = wrongSnapshot
		sh.lacking = true
		q.again(now, id, next{cause: Retry, after: r.Result, why: MissingWrongIndex}, 0)
		return
	}
	sh.decoding++
	q.actions = append(q.actions, Action{Op: OpDecode, Attempt: id, Body: r.Body})
}

// giveUp ends a shard without an answer, unless the whole query can start again
// at a snapshot that still serves.
func (q *Query) giveUp(now time.Time, shard int, why Missing) {
	sh := &q.shards[shard]
	if sh.closed {
		return
	}
	if sh.lacking && q.restart(now, shard) {
		return
	}
	sh.missing = why
	q.close(now, shard)
}

// close ends a shard and withdraws its open attempts.
func (q *Query) close(now time.Time, shard int) {
	sh := &q.shards[shard]
	sh.closed = true
	sh.turn = 0
	sh.again = nil
	q.open--
	q.withdraw(now, shard)
}

func (q *Query) withdraw(now time.Time, shard int) {
	sh := &q.shards[shard]
	for try := range sh.attempts {
		a := &sh.attempts[try]
		if !a.open {
			continue
		}
		a.took = q.since(now) - a.sentAt
		q.fleet.Observe(now, Observation{Upstream: a.upstream, Snapshot: q.snapshot, Took: a.took})
		q.actions = append(q.actions, Action{
			Op:       OpCancel,
			Attempt:  AttemptID{Round: len(q.restarts), Shard: shard, Try: try},
			Upstream: a.upstream,
			Wire:     a.wire,
			VM:       a.vm,
		})
	}
}

// settle ends the query when nothing is open, or an early answer is good enough.
func (q *Query) settle(now time.Time) {
	if q.ended {
		return
	}
	if q.open > 0 && q.softPassed && q.floorReached() {
		q.stopWaiting(now, MissingSoft)
	}
	if q.open == 0 {
		q.finish(now, MissingDeadline)
	}
}

func (q *Query) floorReached() bool {
	return float64(q.covered) >= q.plan.Kind.CoverageFloor*float64(q.total)
}

// stopWaiting gives up every shard but those whose answer is here and is being
// decoded: that takes no time of anybody else.
func (q *Query) stopWaiting(now time.Time, why Missing) {
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.closed || sh.decoding > 0 || (q.confirming && sh.anyOpen()) {
			continue
		}
		sh.missing = why
		q.unsure = q.unsure || sh.anyOpen()
		q.close(now, i)
	}
}

func (q *Query) finish(now time.Time, why Missing) {
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.closed {
			sh.missing = why
			q.unsure = q.unsure || sh.anyOpen()
			q.close(now, i)
		}
	}
	q.ended = true
	q.confirming = false
	q.actions = append(q.actions, Action{Op: OpFinish, Outcome: q.outcome()})
}

func (q *Query) outcome() *Outcome {
	out := &Outcome{
		Snapshot: q.snapshot,
		Covered:  q.covered,
		Total:    q.total,
		Ran:      q.ran,
		Unsure:   q.unsure,
		Restarts: q.restarts,
		Tally:    q.tally,
		Shards:   make([]ShardOutcome, len(q.shards)),
	}
	room := make([]AttemptRecord, 0, len(q.shards))
	for i := range q.shards {
		sh := &q.shards[i]
		from := len(room)
		room = sh.record(room)
		out.TimedOut = out.TimedOut || (q.timedOut && sh.missing == MissingDeadline)
		out.Shards[i] = ShardOutcome{Shard: q.targets[i], Hits: sh.hits, Missing: sh.missing, Attempts: room[from:len(room):len(room)]}
	}
	return out
}

func (s *shardState) record(to []AttemptRecord) []AttemptRecord {
	for i := range s.attempts {
		a := &s.attempts[i]
		to = append(to, AttemptRecord{
			Upstream: a.upstream.ID,
			Cause:    a.cause,
			Why:      s.why(i),
			Standby:  a.standby,
			Sent:     a.sentAt,
			Took:     a.took,
			Result:   a.label(),
			Detail:   a.detail,
		})
	}
	return to
}

// why explains an attempt.
func (s *shardState) why(i int) string {
	a := &s.attempts[i]
	switch a.cause {
	case First:
		return ""
	case Hedge:
		return "no answer after " + (a.sentAt - s.attempts[0].sentAt).Round(time.Microsecond).String()
	case Restart:
		return "the snapshot retired"
	default:
		return "after " + label(a.after)
	}
}

func (a *attempt) label() string {
	switch {
	case a.open:
		return "withdrawn"
	case a.verdict == wrongSnapshot:
		return "ok, wrong snapshot"
	case a.verdict == malformed:
		return "ok, malformed"
	default:
		return label(a.result)
	}
}

func (s *shardState) anyOpen() bool {
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
