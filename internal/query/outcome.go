package query

import (
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Outcome is what the shards gave.
type Outcome struct {
	Snapshot *pb.Snapshot
	Shards   []ShardOutcome
	// Covered and Total are documents: answered and in the pinned map.
	Covered, Total uint64
	// Ran says that some sub-request ran; Unsure that some may have.
	Ran, Unsure bool
	// TimedOut says that the deadline ended the wait for a shard.
	TimedOut bool
	// Restarts are the changes of the pinned snapshot.
	Restarts []RestartRecord
	Tally    Tally
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
	// Hits are the shard's answer, in its order. Without an answer Missing says
	// why.
	Hits    []Hit
	Missing Missing
	// Attempts are every send at the final snapshot, for explain.
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
	MissingMalformed  Missing = "malformed_answer"
)

// AttemptRecord is one send and how it ended.
type AttemptRecord struct {
	Upstream string `json:"upstream"`
	Cause    Cause  `json:"cause"`
	// Why it was sent, for all but first ones.
	Why string `json:"why,omitempty"`
	// Standby says that it went through the upstream's standby VM.
	Standby bool          `json:"standby,omitempty"`
	Sent    time.Duration `json:"sent_ns"`
	Took    time.Duration `json:"took_ns"`
	Result  string        `json:"result"`
	// Detail is what the owner or the upstream said of a failure.
	Detail string `json:"detail,omitempty"`
}

// RestartRecord is one change of the pinned snapshot.
type RestartRecord struct {
	At   time.Duration `json:"at_ns"`
	From *pb.Snapshot  `json:"from"`
	To   *pb.Snapshot  `json:"to"`
	// Shard is the one that no replica could answer from the former snapshot.
	Shard uint32 `json:"shard"`
	// Discarded is how many answers of the former snapshot were thrown away.
	Discarded int `json:"discarded"`
}

// Tally counts what a query did beyond its first sub-requests.
type Tally struct {
	// Sent is the sub-requests by cause.
	Sent [causes]int
	// After is the retries and redirects by the result that they follow.
	After map[AfterKey]int
	// Refused is the hedges and retries that their budget refused.
	Refused [causes]int
	// WrongSnapshot is the replies of another snapshot, Malformed the answers
	// that could not be read.
	WrongSnapshot int
	Malformed     int
}

// AfterKey is the cause of a send and the result that it follows.
type AfterKey struct {
	Cause  Cause
	Result pb.Result
}

func (t *Tally) sent(cause Cause, after pb.Result) {
	t.Sent[cause]++
	if cause != Retry && cause != Redirect {
		return
	}
	if t.After == nil {
		t.After = map[AfterKey]int{}
	}
	t.After[AfterKey{cause, after}]++
}

// label is a result's name in metrics and explain.
func label(r pb.Result) string {
	return strings.ToLower(r.String())
}
