package query

import (
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Outcome is the result of a query.
type Outcome struct {
	Snapshot *pb.Snapshot
	Shards   []ShardOutcome
	// Covered is the number of documents in the shards that answered, Total the number
	// in all queried shards of the pinned map.
	Covered, Total uint64
	// Ran is set if some sub-request ran, MayHaveRun if some sub-request may have run.
	Ran, MayHaveRun bool
	// TimedOut is set if a shard is missing because of the deadline.
	TimedOut bool
	// Restarts lists the changes of the pinned snapshot.
	Restarts []RestartRecord
	Stats    Stats
}

// Coverage returns the fraction of the documents covered, from 0 to 1.
func (o *Outcome) Coverage() float64 {
	if o.Total == 0 {
		return 0
	}
	return float64(o.Covered) / float64(o.Total)
}

// ShardOutcome is the result of one shard.
type ShardOutcome struct {
	Shard *contract.Shard
	// Hits are the shard's hits in the upstream's order. If there is no answer, Missing
	// says why.
	Hits    []Hit
	Missing Missing
	// Attempts lists every send at the final snapshot, for the explain output.
	Attempts []AttemptRecord
}

// Missing is the reason why a shard has no answer; empty if it has one.
type Missing string

// Reasons for a missing shard.
const (
	MissingDeadline      Missing = "deadline"
	MissingSoftDeadline  Missing = "soft_deadline"
	MissingNoReplica     Missing = "no_replica"
	MissingSnapshot      Missing = "snapshot_not_ready"
	MissingShed          Missing = "shed"
	MissingFailed        Missing = "failed"
	MissingUnknown       Missing = "outcome_unknown"
	MissingWrongSnapshot Missing = "wrong_snapshot"
	MissingMalformed     Missing = "malformed_answer"
)

// AttemptRecord describes one send and how it ended.
type AttemptRecord struct {
	Upstream string `json:"upstream"`
	Cause    Cause  `json:"cause"`
	// Why explains the send; empty for first sub-requests.
	Why string `json:"why,omitempty"`
	// Standby is set if the sub-request went through the upstream's standby VM.
	Standby bool          `json:"standby,omitempty"`
	Sent    time.Duration `json:"sent_ns"`
	Took    time.Duration `json:"took_ns"`
	Result  string        `json:"result"`
	// Detail is the description of a failure by the owner or the upstream.
	Detail string `json:"detail,omitempty"`
}

// RestartRecord describes one change of the pinned snapshot.
type RestartRecord struct {
	At   time.Duration `json:"at_ns"`
	From *pb.Snapshot  `json:"from"`
	To   *pb.Snapshot  `json:"to"`
	// Shard is the one that no replica could answer from the former snapshot.
	Shard uint32 `json:"shard"`
	// Discarded counts the answers from the former snapshot that were discarded.
	Discarded int `json:"discarded"`
}

// Stats counts the sends of a query and the answers it discarded.
type Stats struct {
	// Sent counts sub-requests by cause.
	Sent [numCauses]int
	// Resends counts retries and redirects by cause and by the result that they follow.
	Resends map[ResendKey]int
	// BudgetDenied counts hedges and retries that the budget denied, by cause.
	BudgetDenied [numCauses]int
	// WrongSnapshot counts answers from another snapshot, Malformed answers that could
	// not be decoded.
	WrongSnapshot int
	Malformed     int
}

// ResendKey is the cause of a send and the result that it follows.
type ResendKey struct {
	Cause  Cause
	Result pb.Result
}

func (s *Stats) recordSend(cause Cause, after pb.Result) {
	s.Sent[cause]++
	if cause != Retry && cause != Redirect {
		return
	}
	if s.Resends == nil {
		s.Resends = map[ResendKey]int{}
	}
	s.Resends[ResendKey{cause, after}]++
}

// resultLabel returns a result's name in metrics and explain output.
func resultLabel(r pb.Result) string {
	return strings.ToLower(r.String())
}
