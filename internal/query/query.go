// Package query decides how one caller's request becomes sub-requests and an
// answer: what to send where, when to send again, when to stop waiting, and
// what the answer covers. Query is a pure state machine; Engine drives it.
package query

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// maxAttempts bounds the sends of one shard's sub-request, refusals included.
const maxAttempts = 4

// Plan is what a query is to do, fixed before anything is sent.
type Plan struct {
	Kind      *contract.Kind
	RequestID string
	Body      []byte
	// Snapshot is pinned: every sub-request carries it and a reply of another
	// one is discarded.
	Snapshot *pb.Snapshot
	Shards   []*contract.Shard
	// Deadline is when the caller's answer is due; SoftDeadline, when set, is
	// when an answer at the coverage floor is given.
	Deadline     time.Time
	SoftDeadline time.Time
	// ConfirmBy, when set, is after Deadline: until then the owners are asked to
	// take back what is still open, and their word is waited for. It is for
	// non-idempotent kinds, where "it never left the queue" is worth more than
	// the time.
	ConfirmBy time.Time
}

// Fleet is what a query may read of the world. Its methods are quick and have
// no effect that a query waits for.
type Fleet interface {
	// Replica is the index of the best replica for a sub-request, NoReplica when
	// there is none.
	Replica(now time.Time, w Want) int
	// Opened notes that a sub-request goes to an upstream.
	Opened(now time.Time, u *contract.Upstream)
	// HedgeDelay is how long to wait for a replica of the shard before asking
	// another; sure is false when nothing is known and it is a guess.
	HedgeDelay(now time.Time, shard *contract.Shard, replica int) (delay time.Duration, sure bool)
	// Observe learns from the end of an attempt.
	Observe(now time.Time, o Observation)
	// Spend takes one extra sub-request from the kind's budget.
	Spend(now time.Time, k *contract.Kind, cause Cause) bool
}

// NoReplica says that no replica can take a sub-request.
const NoReplica = -1

// Want is a sub-request in search of a replica.
type Want struct {
	Shard    *contract.Shard
	Snapshot *pb.Snapshot
	// Tried has bit i set when replica i was asked before.
	Tried uint64
	// Explore allows a replica of which nothing was heard for a while. It is
	// for sub-requests that a hedge can save.
	Explore bool
}

// Observation is the end of one attempt.
type Observation struct {
	Upstream *contract.Upstream
	// Took is the time since it was sent.
	Took time.Duration
	// Reply is nil when the attempt was withdrawn: Took is then a lower bound.
	Reply *pb.SubReply
}

// Cause is why a sub-request is sent.
type Cause string

// Causes of sends.
const (
	First Cause = "first"
	Hedge Cause = "hedge"
	Retry Cause = "retry"
	// Redirect follows a refusal that did not run: no extra load upstream.
	Redirect Cause = "redirect"
)

// Action is one thing the driver must do: Send, Cancel or Finish.
type Action interface{ action() }

// Send asks for one sub-request.
type Send struct {
	Attempt  AttemptID
	Kind     *contract.Kind
	Shard    *contract.Shard
	Upstream *contract.Upstream
	Cause    Cause
}

// Cancel withdraws an attempt whose answer is no longer wanted.
type Cancel struct {
	Attempt  AttemptID
	Upstream *contract.Upstream
}

// Withdraw asks the owner to take an attempt back and goes on waiting for its
// word: that it did not run, or what came of it.
type Withdraw struct {
	Attempt  AttemptID
	Upstream *contract.Upstream
}

// Finish ends the query.
type Finish struct{ Outcome *Outcome }

func (Send) action()     {}
func (Cancel) action()   {}
func (Withdraw) action() {}
func (Finish) action()   {}

// AttemptID names an attempt within its query.
type AttemptID struct {
	Shard int
	Try   int
}

// Outcome is what the shards gave.
type Outcome struct {
	Snapshot *pb.Snapshot
	Shards   []ShardOutcome
	// Documents are weights: answered and in the pinned map.
	Covered, Total uint64
	// Ran says that some sub-request ran; Unsure that some may have.
	Ran, Unsure bool
	// TimedOut says that the deadline ended the query.
	TimedOut bool
}

// Coverage is the share of the documents answered, 0 to 1.
func (o *Outcome) Coverage() float64 {
	if o.Total == 0 {
		return 0
	}
	return float64(o.Covered) / float64(o.Total)
}

// ShardOutcome is what one shard gave.
type ShardOutcome struct {
	Shard *contract.Shard
	// Body is nil for a shard without an answer; Missing then says why.
	Body    []byte
	Missing Missing
	// Attempts are every send, for explain.
	Attempts []AttemptRecord
}

// Missing says why a shard gave nothing.
type Missing string

// Reasons for a missing shard.
const (
	MissingDeadline   Missing = "deadline"
	MissingSoft       Missing = "soft_deadline"
	MissingNoReplica  Missing = "no_replica"
	MissingSnapshot   Missing = "snapshot_not_ready"
	MissingShed       Missing = "shed"
	MissingFailed     Missing = "failed"
	MissingUnknown    Missing = "outcome_unknown"
	MissingWrongIndex Missing = "wrong_snapshot"
)

// AttemptRecord is one send and how it ended.
type AttemptRecord struct {
	Upstream string        `json:"upstream"`
	Cause    Cause         `json:"cause"`
	Sent     time.Duration `json:"sent_ns"`
	Took     time.Duration `json:"took_ns"`
	Result   string        `json:"result"`
}

// Query is one request under way. It is not safe for concurrent use.
type Query struct {
	plan    *Plan
	fleet   Fleet
	started time.Time
	shards  []shardState
	open    int
	covered uint64
	total   uint64
	ran     bool
	unsure  bool
	ended   bool
	// softPassed says that Wake has acted on the soft deadline: from then on
	// each reply may end the query.
	softPassed bool
	// withdrawn says that the owners have been asked to take back what is open.
	withdrawn bool
	actions   []Action
}

type shardState struct {
	attempts []attempt
	body     []byte
	missing  Missing
	closed   bool
	hedgeAt  time.Time
	// guessed says that hedgeAt rests on nothing known.
	guessed bool
	// tried has bit i set when replica i was asked.
	tried uint64
}

type attempt struct {
	upstream *contract.Upstream
	replica  int
	cause    Cause
	sentAt   time.Time
	took     time.Duration
	result   pb.Result
	open     bool
}

// New makes a query that has sent nothing.
func New(plan *Plan, fleet Fleet) *Query {
	q := &Query{plan: plan, fleet: fleet, shards: make([]shardState, len(plan.Shards)), open: len(plan.Shards)}
	for _, s := range plan.Shards {
		q.total += s.Documents
	}
	return q
}

// Start sends the first sub-request of every shard.
func (q *Query) Start(now time.Time) []Action {
	q.started = now
	q.actions = q.actions[:0]
	for i := range q.shards {
		q.send(now, i, First)
	}
	q.settle(now)
	return q.actions
}

// Reply takes the end of one attempt in.
func (q *Query) Reply(now time.Time, id AttemptID, r *pb.SubReply) []Action {
	q.actions = q.actions[:0]
	if q.ended {
		return nil
	}
	sh := &q.shards[id.Shard]
	a := &sh.attempts[id.Try]
	a.open = false
	a.result = r.Result
	a.took = now.Sub(a.sentAt)
	q.note(r.Result)
	q.fleet.Observe(now, Observation{Upstream: a.upstream, Took: a.took, Reply: r})
	if !sh.closed {
		q.judge(now, id, r)
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
		q.hedge(now)
	}
	q.settle(now)
	return q.actions
}

// Abandon ends the query without an answer: its caller has gone.
func (q *Query) Abandon(now time.Time) []Action {
	q.actions = q.actions[:0]
	if !q.ended {
		q.finish(now, MissingDeadline)
	}
	return q.actions
}

// Next is when Wake is to be called; the zero time once the query has ended.
func (q *Query) Next() time.Time {
	if q.ended {
		return time.Time{}
	}
	if q.withdrawn {
		return q.plan.ConfirmBy
	}
	next := q.plan.Deadline
	if soft := q.plan.SoftDeadline; !soft.IsZero() && !q.softPassed && soft.Before(next) {
		next = soft
	}
	for i := range q.shards {
		if at := q.shards[i].hedgeAt; !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
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
		pb.Result_UNREACHABLE, pb.Result_VM_STOPPING:
		return true
	default:
		return false
	}
}

// judge decides what a reply means for its shard.
func (q *Query) judge(now time.Time, id AttemptID, r *pb.SubReply) {
	switch r.Result {
	case pb.Result_OK:
		if !sameSnapshot(r.Snapshot, q.plan.Snapshot) {
			q.again(now, id.Shard, Retry, MissingWrongIndex)
			return
		}
		q.answer(now, id, r)
	case pb.Result_UPSTREAM_ERROR:
		q.again(now, id.Shard, Retry, MissingFailed)
	case pb.Result_NO_SNAPSHOT:
		q.again(now, id.Shard, Redirect, MissingSnapshot)
	case pb.Result_TOO_LATE:
		q.again(now, id.Shard, Redirect, MissingDeadline)
	case pb.Result_UNREACHABLE, pb.Result_NOT_OWNER, pb.Result_VM_STOPPING, pb.Result_UPSTREAM_LEAVING:
		q.again(now, id.Shard, Redirect, MissingNoReplica)
	case pb.Result_SHED, pb.Result_QUEUE_FULL, pb.Result_CANCELLED:
		q.again(now, id.Shard, Redirect, MissingShed)
	default:
		q.again(now, id.Shard, Retry, MissingUnknown)
	}
}

func (q *Query) answer(now time.Time, id AttemptID, r *pb.SubReply) {
	sh := &q.shards[id.Shard]
	sh.body = r.Body
	q.covered += q.plan.Shards[id.Shard].Documents
	q.close(now, id.Shard)
	q.replanHedges()
}

// again sends a shard's sub-request once more where that is safe and allowed,
// else gives the shard up unless another attempt is still open.
func (q *Query) again(now time.Time, shard int, cause Cause, why Missing) {
	sh := &q.shards[shard]
	safe := cause == Redirect || q.plan.Kind.Idempotent
	if safe && len(sh.attempts) < maxAttempts && now.Before(q.plan.Deadline) {
		if q.send(now, shard, cause) {
			return
		}
	}
	if !sh.anyOpen() {
		sh.missing = why
		q.close(now, shard)
	}
}

// send starts an attempt at the best replica not yet tried.
func (q *Query) send(now time.Time, shard int, cause Cause) bool {
	sh := &q.shards[shard]
	target := q.plan.Shards[shard]
	replica := q.fleet.Replica(now, Want{
		Shard:    target,
		Snapshot: q.plan.Snapshot,
		Tried:    sh.tried,
		Explore:  cause == First && q.hedges(),
	})
	if replica == NoReplica {
		if len(sh.attempts) == 0 {
			sh.missing = MissingNoReplica
			q.close(now, shard)
		}
		return false
	}
	if (cause == Hedge || cause == Retry) && !q.fleet.Spend(now, q.plan.Kind, cause) {
		return false
	}
	id := AttemptID{Shard: shard, Try: len(sh.attempts)}
	u := target.Replicas[replica]
	q.fleet.Opened(now, u)
	sh.tried |= 1 << replica
	sh.attempts = append(sh.attempts, attempt{upstream: u, replica: replica, cause: cause, sentAt: now, open: true})
	sh.hedgeAt = time.Time{}
	if q.hedges() && cause != Hedge {
		q.planHedge(now, shard, replica)
	}
	q.actions = append(q.actions, Send{Attempt: id, Kind: q.plan.Kind, Shard: target, Upstream: u, Cause: cause})
	return true
}

func (q *Query) hedges() bool {
	return q.plan.Kind.Idempotent && q.plan.Kind.HedgePercent > 0
}

func (q *Query) planHedge(sentAt time.Time, shard, replica int) {
	sh := &q.shards[shard]
	delay, sure := q.fleet.HedgeDelay(sentAt, q.plan.Shards[shard], replica)
	sh.hedgeAt = sentAt.Add(delay)
	sh.guessed = !sure
}

// replanHedges moves the hedges that were planned on a guess to where the
// answers of the other shards of this very query now put them. It runs after a
// half and after nine tenths of the answers, so that a query of many shards
// does not look at each shard after each answer.
func (q *Query) replanHedges() {
	n := len(q.shards)
	if answered := n - q.open; answered != (n+1)/2 && answered != n*9/10 {
		return
	}
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.closed || !sh.guessed || sh.hedgeAt.IsZero() {
			continue
		}
		a := &sh.attempts[len(sh.attempts)-1]
		q.planHedge(a.sentAt, i, a.replica)
	}
}

// hedge sends a second sub-request for every shard that has waited too long.
func (q *Query) hedge(now time.Time) {
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.closed || sh.hedgeAt.IsZero() || now.Before(sh.hedgeAt) {
			continue
		}
		sh.hedgeAt = time.Time{}
		if len(sh.attempts) < maxAttempts {
			q.send(now, i, Hedge)
		}
	}
}

// close ends a shard and withdraws its open attempts.
func (q *Query) close(now time.Time, shard int) {
	sh := &q.shards[shard]
	sh.closed = true
	sh.hedgeAt = time.Time{}
	q.open--
	for try := range sh.attempts {
		if a := &sh.attempts[try]; a.open {
			a.took = now.Sub(a.sentAt)
			q.fleet.Observe(now, Observation{Upstream: a.upstream, Took: a.took})
			q.actions = append(q.actions, Cancel{Attempt: AttemptID{Shard: shard, Try: try}, Upstream: a.upstream})
		}
	}
}

// settle ends the query when nothing is open, the deadline has come, or an
// early answer is good enough.
func (q *Query) settle(now time.Time) {
	switch {
	case q.ended:
	case q.open == 0:
		q.finish(now, MissingDeadline)
	case !now.Before(q.plan.Deadline):
		if !q.confirming(now) {
			q.finish(now, MissingDeadline)
		}
	case q.softDue(now):
		q.finish(now, MissingSoft)
	}
}

// confirming asks the owners, once the deadline has passed, to take back what is
// open, and tells whether their word is still waited for.
func (q *Query) confirming(now time.Time) bool {
	if !now.Before(q.plan.ConfirmBy) {
		return false
	}
	if !q.withdrawn {
		q.withdrawn = true
		q.withdraw()
	}
	return true
}

func (q *Query) withdraw() {
	for i := range q.shards {
		for try := range q.shards[i].attempts {
			if a := &q.shards[i].attempts[try]; a.open && !q.shards[i].closed {
				q.actions = append(q.actions, Withdraw{Attempt: AttemptID{Shard: i, Try: try}, Upstream: a.upstream})
			}
		}
	}
}

// softDue tells whether the soft deadline has passed with the floor reached.
func (q *Query) softDue(now time.Time) bool {
	soft := q.plan.SoftDeadline
	if soft.IsZero() || now.Before(soft) {
		return false
	}
	q.softPassed = true
	return float64(q.covered) >= q.plan.Kind.CoverageFloor*float64(q.total)
}

func (q *Query) finish(now time.Time, why Missing) {
	out := &Outcome{
		Snapshot: q.plan.Snapshot,
		Covered:  q.covered,
		Total:    q.total,
		TimedOut: q.open > 0 && why == MissingDeadline,
	}
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.closed {
			sh.missing = why
			q.unsure = q.unsure || sh.anyOpen()
			q.close(now, i)
		}
		out.Shards = append(out.Shards, q.shardOutcome(i))
	}
	out.Ran = q.ran
	out.Unsure = q.unsure
	q.ended = true
	q.actions = append(q.actions, Finish{Outcome: out})
}

func (q *Query) shardOutcome(i int) ShardOutcome {
	sh := &q.shards[i]
	out := ShardOutcome{Shard: q.plan.Shards[i], Body: sh.body, Missing: sh.missing}
	for _, a := range sh.attempts {
		out.Attempts = append(out.Attempts, AttemptRecord{
			Upstream: a.upstream.ID,
			Cause:    a.cause,
			Sent:     a.sentAt.Sub(q.started),
			Took:     a.took,
			Result:   a.label(),
		})
	}
	return out
}

func (a *attempt) label() string {
	if a.open {
		return "withdrawn"
	}
	return a.result.String()
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
