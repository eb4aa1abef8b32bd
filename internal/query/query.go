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
}

// Fleet is what a query may read of the world. Its methods are quick and have
// no effect that a query waits for.
type Fleet interface {
	// Replica is the best upstream for a shard that is not in except, or nil.
	Replica(now time.Time, shard *contract.Shard, snapshot *pb.Snapshot, except []*contract.Upstream) *contract.Upstream
	// HedgeDelay is how long to wait for an upstream before asking another.
	HedgeDelay(u *contract.Upstream) time.Duration
	// Observe learns from the reply of an upstream.
	Observe(upstream string, r *pb.SubReply)
	// Spend takes one extra sub-request from the kind's budget.
	Spend(now time.Time, k *contract.Kind, cause Cause) bool
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

// Finish ends the query.
type Finish struct{ Outcome *Outcome }

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

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
	actions    []Action
}

type shardState struct {
	attempts []attempt
	body     []byte
	missing  Missing
	closed   bool
	hedgeAt  time.Time
}

type attempt struct {
	upstream *contract.Upstream
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
	q.fleet.Observe(a.upstream.ID, r)
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
	case pb.Result_UNKNOWN, pb.Result_RESULT_UNSPECIFIED:
		q.unsure = true
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
		q.answer(id, r)
	case pb.Result_UPSTREAM_ERROR:
		q.again(now, id.Shard, Retry, MissingFailed)
	case pb.Result_UNKNOWN, pb.Result_RESULT_UNSPECIFIED:
		q.again(now, id.Shard, Retry, MissingUnknown)
	case pb.Result_NO_SNAPSHOT:
		q.again(now, id.Shard, Redirect, MissingSnapshot)
	case pb.Result_TOO_LATE:
		q.again(now, id.Shard, Redirect, MissingDeadline)
	case pb.Result_UNREACHABLE, pb.Result_NOT_OWNER, pb.Result_VM_STOPPING, pb.Result_UPSTREAM_LEAVING:
		q.again(now, id.Shard, Redirect, MissingNoReplica)
	default:
		q.again(now, id.Shard, Redirect, MissingShed)
	}
}

func (q *Query) answer(id AttemptID, r *pb.SubReply) {
	sh := &q.shards[id.Shard]
	sh.body = r.Body
	q.covered += q.plan.Shards[id.Shard].Documents
	q.close(id.Shard)
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
		q.close(shard)
	}
}

// send starts an attempt at the best replica not yet tried.
func (q *Query) send(now time.Time, shard int, cause Cause) bool {
	sh := &q.shards[shard]
	u := q.fleet.Replica(now, q.plan.Shards[shard], q.plan.Snapshot, sh.tried())
	if u == nil {
		if len(sh.attempts) == 0 {
			sh.missing = MissingNoReplica
			q.close(shard)
		}
		return false
	}
	if (cause == Hedge || cause == Retry) && !q.fleet.Spend(now, q.plan.Kind, cause) {
		return false
	}
	id := AttemptID{Shard: shard, Try: len(sh.attempts)}
	sh.attempts = append(sh.attempts, attempt{upstream: u, cause: cause, sentAt: now, open: true})
	sh.hedgeAt = time.Time{}
	if q.plan.Kind.Idempotent && q.plan.Kind.HedgePercent > 0 && cause != Hedge {
		sh.hedgeAt = now.Add(q.fleet.HedgeDelay(u))
	}
	q.actions = append(q.actions, Send{Attempt: id, Kind: q.plan.Kind, Shard: q.plan.Shards[shard], Upstream: u, Cause: cause})
	return true
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
func (q *Query) close(shard int) {
	sh := &q.shards[shard]
	sh.closed = true
	sh.hedgeAt = time.Time{}
	q.open--
	for try := range sh.attempts {
		if a := &sh.attempts[try]; a.open {
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
		q.finish(now, MissingDeadline)
	case q.softDue(now):
		q.finish(now, MissingSoft)
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
			q.close(i)
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

func (s *shardState) tried() []*contract.Upstream {
	out := make([]*contract.Upstream, len(s.attempts))
	for i := range s.attempts {
		out[i] = s.attempts[i].upstream
	}
	return out
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
