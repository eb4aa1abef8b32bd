// Package query decides how one caller's request becomes sub-requests and an
// answer: what to send where, when to send again, when to stop waiting, and
// what the answer covers. Query is a pure state machine; Engine drives it.
//
// Lock order: loop.mu and running.mu are leaves, never held together.
package query

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Plan is what a query is to do, fixed before anything is sent.
type Plan struct {
	Kind      *contract.Kind
	RequestID string
	Body      []byte
	// Key chooses the shard of a kind that asks a single one.
	Key string
	// Map and Snapshot are pinned: every sub-request carries the snapshot and a
	// reply of another one is discarded.
	Map      *contract.ShardMap
	Snapshot *pb.Snapshot
	// Deadline is when the caller's answer is due; SoftDeadline, when set, is
	// when an answer at the coverage floor is given.
	Deadline     time.Time
	SoftDeadline time.Time
	// ConfirmBy, when set, is after Deadline: until then the owners are asked to
	// take back what is still open, and their word is waited for. It is for
	// non-idempotent kinds, where "it never left the queue" is worth more than
	// the time.
	ConfirmBy time.Time
	// Trial says that upstreams have ended under the same request before: one is asked
	// alone, and others once it has survived it.
	Trial bool
	// Witness takes in what upstreams show of the request itself; nil for nobody.
	Witness Witness
}

// Witness learns what becomes of upstreams under a request. It is called from the worker
// of the query and must not block.
type Witness interface {
	// Ended tells of an upstream that ended while it had the request.
	Ended(u *contract.Upstream, sentAt, endedAt time.Time)
	// Survived tells that an upstream has run the request and lives.
	Survived(now time.Time)
	// Blocked tells whether the request is to be sent to no upstream any more.
	Blocked(now time.Time) bool
}

// nobody learns nothing.
type nobody struct{}

func (nobody) Ended(*contract.Upstream, time.Time, time.Time) {}
func (nobody) Survived(time.Time)                             {}
func (nobody) Blocked(time.Time) bool                         { return false }

// shardsOf is the shards of a map that the plan asks.
func (p *Plan) shardsOf(m *contract.ShardMap) []*contract.Shard {
	if p.Kind.Merge != pb.Merge_SINGLE {
		return m.Shards
	}
	i := xxhash.Sum64String(p.Key) % uint64(len(m.Shards))
	return m.Shards[i : i+1]
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
	HedgeDelay(now time.Time, k *contract.Kind, shard *contract.Shard, replica int) (delay time.Duration, sure bool)
	// Observe learns from the end of an attempt.
	Observe(now time.Time, o Observation)
	// Earn adds what n first sub-requests allow to the kind's budgets.
	Earn(k *contract.Kind, n int)
	// Spend takes one extra sub-request from the kind's budget for the cause.
	Spend(k *contract.Kind, cause Cause) bool
	// Repin chooses a snapshot other than the one that has retired.
	Repin(now time.Time, s *contract.Service, retired *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool)
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
	// Snapshot is the one that was asked for.
	Snapshot *pb.Snapshot
	// Took is the time since it was sent.
	Took time.Duration
	// Reply is nil when the attempt was withdrawn: Took is then a lower bound.
	Reply *pb.SubReply
}

// Cause is why a sub-request is sent.
type Cause int

// Causes of sends. Hedges, retries and restarts are extra load upstream; a
// redirect follows a refusal that did not run and so is none.
const (
	First Cause = iota
	Hedge
	Retry
	Redirect
	Restart
	causes
)

var causeNames = [causes]string{"first", "hedge", "retry", "redirect", "restart"}

// String is the cause's name in metrics and explain.
func (c Cause) String() string { return causeNames[c] }

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Cause) UnmarshalText(text []byte) error {
	for i, name := range causeNames {
		if name == string(text) {
			*c = Cause(i)
			return nil
		}
	}
	return trace.BadParameter("cause %q is unknown", text)
}

// Extra tells whether sends of this cause are extra load upstream.
func (c Cause) Extra() bool { return c == Hedge || c == Retry || c == Restart }

// Op is what an action asks for.
type Op int

// Operations of a driver.
const (
	// OpSend asks for one sub-request.
	OpSend Op = iota
	// OpCancel withdraws an attempt whose answer is no longer wanted.
	OpCancel
	// OpWithdraw asks the owner to take an attempt back and goes on waiting for
	// its word: that it did not run, or what came of it.
	OpWithdraw
	// OpDecode asks for an answer's body to be decoded.
	OpDecode
	// OpFinish ends the query.
	OpFinish
)

// Action is one thing the driver must do.
type Action struct {
	Op       Op
	Attempt  AttemptID
	Upstream *contract.Upstream
	// Shard, Snapshot, Cause and Standby belong to a send. Standby goes through
	// the standby VM of the upstream in place of its owner.
	Shard    *contract.Shard
	Snapshot *pb.Snapshot
	Cause    Cause
	Standby  bool
	// Wire and VM belong to a cancel or a withdrawal: where Sent said the attempt went.
	Wire uint64
	VM   string
	// Body belongs to a decode.
	Body []byte
	// Outcome belongs to a finish.
	Outcome *Outcome
}

// AttemptID names an attempt within its query.
type AttemptID struct {
	// Round is the number of restarts before it.
	Round int
	Shard int
	Try   int
}
