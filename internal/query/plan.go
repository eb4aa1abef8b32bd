// Package query turns one caller's request into sub-requests and an answer. It decides
// which replicas to ask, when to retry, hedge or restart, when to stop waiting, and
// what the answer covers. Query is a state machine without I/O; Engine drives it.
//
// Lock order: loop.mu and runningQuery.mu are leaf locks and are never held together.
package query

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Plan describes a query. It does not change after the query starts.
type Plan struct {
	Kind      *contract.Kind
	RequestID string
	Body      []byte
	// Key selects the shard for a kind that queries a single shard.
	Key string
	// Map and Snapshot are pinned: every sub-request carries the snapshot, and replies
	// from another one are discarded.
	Map      *contract.ShardMap
	Snapshot *pb.Snapshot
	// Deadline is when the answer is due. SoftDeadline, if set, is when the query may
	// end early, provided that the answer reaches the coverage floor.
	Deadline     time.Time
	SoftDeadline time.Time
	// ConfirmBy, if set, is later than Deadline. Between the two, owners are asked to
	// cancel the open sub-requests and the query waits for their confirmations. It
	// serves non-idempotent kinds, for which proof that a request never left the queue
	// is worth the extra time.
	ConfirmBy time.Time
	// Trial isolates the query from the start, because upstreams have ended while they
	// had the same request: one upstream is asked alone, and the others once it has
	// survived.
	Trial bool
	// CrashGuard records how upstreams fare with this request. It may be nil.
	CrashGuard CrashGuard
}

// CrashGuard records which upstreams end and which survive while they handle a request. It
// is called from the worker of the query and must not block.
type CrashGuard interface {
	// RecordCrash records that an upstream ended while it had the request.
	RecordCrash(u *contract.Upstream, sentAt, endedAt time.Time)
	// RecordSurvival records that an upstream has run the request and is still alive.
	RecordSurvival(now time.Time)
	// Blocked reports whether the request must no longer be sent to any upstream.
	Blocked(now time.Time) bool
}

// nopCrashGuard is a CrashGuard that records nothing.
type nopCrashGuard struct{}

func (nopCrashGuard) RecordCrash(*contract.Upstream, time.Time, time.Time) {}
func (nopCrashGuard) RecordSurvival(time.Time)                             {}
func (nopCrashGuard) Blocked(time.Time) bool                               { return false }

// shardsIn returns the shards of a map that the plan queries.
func (p *Plan) shardsIn(m *contract.ShardMap) []*contract.Shard {
	if p.Kind.Merge != pb.Merge_SINGLE {
		return m.Shards
	}
	i := xxhash.Sum64String(p.Key) % uint64(len(m.Shards))
	return m.Shards[i : i+1]
}

// UpstreamPolicy provides replica selection, latency statistics and budgets to a query. Its
// methods must return quickly and must not block.
type UpstreamPolicy interface {
	// PickReplica returns the index of the best replica for a sub-request, or NoReplica.
	PickReplica(now time.Time, w ReplicaRequest) int
	// RecordSend records that a sub-request is sent to an upstream.
	RecordSend(now time.Time, u *contract.Upstream)
	// HedgeDelay returns how long to wait for a replica of the shard before a hedge. If
	// known is false, no latencies are known and the delay is a guess.
	HedgeDelay(now time.Time, k *contract.Kind, shard *contract.Shard, replica int) (delay time.Duration, known bool)
	// Observe records the end of an attempt.
	Observe(now time.Time, o Observation)
	// Earn credits the kind's hedge and retry budgets for n first sub-requests.
	Earn(k *contract.Kind, n int)
	// Spend takes one extra sub-request from the kind's budget for the cause. It
	// returns false if the budget is used up.
	Spend(k *contract.Kind, cause Cause) bool
	// Repin returns a shard map and snapshot to use in place of a retired one, or false
	// if there is none.
	Repin(now time.Time, s *contract.Service, retired *pb.Snapshot) (*contract.ShardMap, *pb.Snapshot, bool)
}

// NoReplica is the index that UpstreamPolicy.PickReplica returns if no replica can take a
// sub-request.
const NoReplica = -1

// ReplicaRequest describes a sub-request that needs a replica.
type ReplicaRequest struct {
	Shard    *contract.Shard
	Snapshot *pb.Snapshot
	// Bit i of Tried is set when replica i has already been asked.
	Tried uint64
	// Explore allows choosing a replica without recent observations. It is set for
	// sub-requests that can be hedged if that replica turns out slow.
	Explore bool
}

// Observation describes the end of one attempt.
type Observation struct {
	Upstream *contract.Upstream
	// Snapshot is the one that was requested.
	Snapshot *pb.Snapshot
	// Took is the time since the send.
	Took time.Duration
	// Reply is nil if the attempt was cancelled; Took is then a lower bound of the
	// latency.
	Reply *pb.SubReply
}

// Cause is the reason for sending a sub-request.
type Cause int

// Causes of sends. Hedges, retries and restarts are extra load on upstreams. A redirect
// follows a refusal that did not run, so it is not extra load.
const (
	First Cause = iota
	Hedge
	Retry
	Redirect
	Restart
	numCauses
)

var causeNames = [numCauses]string{"first", "hedge", "retry", "redirect", "restart"}

// String returns the cause's name in metrics and explain output.
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

// Extra reports whether sends with this cause are extra load on upstreams.
func (c Cause) Extra() bool { return c == Hedge || c == Retry || c == Restart }

// Op is the kind of an Action.
type Op int

// Operations that a query requests from its driver.
const (
	// OpSend sends a sub-request.
	OpSend Op = iota
	// OpCancel cancels an attempt whose reply is no longer awaited.
	OpCancel
	// OpConfirmCancel asks the owner to cancel an attempt and keeps waiting for its
	// reply, which either confirms that the sub-request did not run or carries its
	// result.
	OpConfirmCancel
	// OpDecode decodes the body of an answer and passes the hits to Query.Decoded.
	OpDecode
	// OpFinish ends the query with an outcome.
	OpFinish
)

// Action is one operation that the driver must carry out.
type Action struct {
	Op       Op
	Attempt  AttemptID
	Upstream *contract.Upstream
	// Shard, Snapshot, Cause and Standby are set for OpSend. Standby routes the
	// sub-request through the upstream's standby VM in place of its owner.
	Shard    *contract.Shard
	Snapshot *pb.Snapshot
	Cause    Cause
	Standby  bool
	// WireID and VM are set for OpCancel and OpConfirmCancel. They are the values
	// passed to Query.Sent.
	WireID uint64
	VM     string
	// Body is set for OpDecode.
	Body []byte
	// Outcome is set for OpFinish.
	Outcome *Outcome
}

// AttemptID identifies an attempt within its query.
type AttemptID struct {
	// Round is the number of restarts before the attempt.
	Round int
	Shard int
	Try   int
}
