// Package dispatch schedules the sub-requests that wait for an upstream's slots.
// It holds the queue, the admission checks, the limit on concurrent requests,
// the ledger of seen ids and the detector of process pauses.
//
// Every type is a pure state machine: callers pass the current time and hold a
// lock around each call.
package dispatch

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Key identifies a sub-request across all senders.
type Key struct {
	// VM and Incarnation identify the sending process.
	VM          string
	Incarnation uint64
	// ID is unique within the incarnation.
	ID uint64
}

// Item is a waiting sub-request.
type Item struct {
	Key      Key
	Customer string
	Priority pb.Priority
	// Weight is the customer's share relative to other customers; 0 counts as 1.
	Weight uint32
	// Arrived is the time of queueing; Deadline is the time by which the answer
	// is due.
	Arrived  time.Time
	Deadline time.Time
	Request  *pb.SubRequest
	// Reply answers the sender. It is called exactly once.
	Reply func(*pb.SubReply)

	flow *flow
	// sortTime orders the items of a flow: the deadline, or zero in FIFO order.
	sortTime time.Time
	// index is the position in the flow's heap.
	index int
	// older and newer link the items of one flow by arrival.
	older, newer *Item
	// serial is the arrival number within the queue.
	serial uint64
}

// Reason says why a sub-request did not run. It is more specific than the result
// sent to the sender.
type Reason string

// Reasons for not running a sub-request.
const (
	// DeadlinePassed: the deadline passed before arrival or in the queue.
	DeadlinePassed Reason = "deadline_passed"
	// CannotFinish: a slot became free, but the time left is shorter than the
	// expected service time.
	CannotFinish Reason = "cannot_finish"
	// PredictedWait: the predicted queueing and service time exceeds the time
	// left.
	PredictedWait Reason = "predicted_wait"
	// QueueFull: the queue is full and the customer has used its share of it.
	QueueFull Reason = "queue_full"
	// Displaced: evicted from a full queue in favour of a customer below its
	// share or of a higher class of the same customer.
	Displaced Reason = "displaced"
	// Withdrawn: cancelled in the queue.
	Withdrawn Reason = "withdrawn"
	// Tombstone: cancelled before arrival.
	Tombstone Reason = "tombstone"
	// Duplicate: the id was dispatched before.
	Duplicate Reason = "duplicate"
	// LedgerFull: the id cannot be recorded, so a repeated frame could run it
	// twice.
	LedgerFull Reason = "ledger_full"
	// NotOwner: this VM does not own the upstream, or no longer does.
	NotOwner Reason = "not_owner"
	// Leaving: the operators or the upstream itself announced that it is
	// leaving.
	Leaving Reason = "leaving"
	// CircuitOpen: recent connection attempts to the upstream failed.
	CircuitOpen Reason = "circuit_open"
	// Stopping: this VM is shutting down.
	Stopping Reason = "stopping"
	// Paused: this process was paused, and the request may have waited for that time.
	Paused Reason = "paused"
	// AtUpstream: the upstream refused the request.
	AtUpstream Reason = "at_upstream"
)

// Reasons lists every reason; metrics and documentation use it.
var Reasons = []Reason{
	DeadlinePassed, CannotFinish, PredictedWait, QueueFull, Displaced,
	Withdrawn, Tombstone, Duplicate, LedgerFull, NotOwner, Leaving,
	CircuitOpen, Stopping, Paused, AtUpstream,
}

// Refusal is the outcome of a sub-request that did not run.
type Refusal struct {
	Result pb.Result
	Reason Reason
	// RetryAfter is the expected time until the queue has room; 0 when unknown.
	RetryAfter time.Duration
}

// Refused is an item removed from the queue without running.
type Refused struct {
	Item *Item
	Refusal
}
