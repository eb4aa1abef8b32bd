// Package dispatch decides the order in which an owner gives an upstream's
// slots to waiting sub-requests, which of them can no longer be served, how many
// slots may be used, and which ids were seen before. Everything in it is a pure
// state machine: the caller passes the time in and holds a lock around it.
package dispatch

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Key names a sub-request over all senders.
type Key struct {
	// VM and incarnation of the sender.
	VM          string
	Incarnation uint64
	// ID is unique within the incarnation.
	ID uint64
}

// Item is one waiting sub-request.
type Item struct {
	Key      Key
	Customer string
	Priority pb.Priority
	// Weight is the customer's share against other customers; 0 counts as 1.
	Weight uint32
	// Arrived is when it was queued; Deadline when its answer is due.
	Arrived  time.Time
	Deadline time.Time
	Request  *pb.SubRequest
	// Reply answers the sender; it is called once.
	Reply func(*pb.SubReply)

	flow *flow
	// due orders the items of a flow.
	due time.Time
	// index is the place in the flow's heap.
	index int
	// older and newer link the items of one flow by arrival.
	older, newer *Item
	// serial is the order of arrival over the whole queue.
	serial uint64
}

// Reason says why a sub-request was not run, in more detail than the result
// that its sender gets.
type Reason string

// Reasons for not running a sub-request.
const (
	// DeadlinePassed: the time was up on arrival or while it waited.
	DeadlinePassed Reason = "deadline_passed"
	// CannotFinish: a free slot came, but too late for the service time.
	CannotFinish Reason = "cannot_finish"
	// PredictedWait: the queue ahead takes longer than the time left.
	PredictedWait Reason = "predicted_wait"
	// QueueFull: the queue is full and its customer has had its share of it.
	QueueFull Reason = "queue_full"
	// Displaced: it made room for a customer that was below its share.
	Displaced Reason = "displaced"
	// Withdrawn: cancelled while it waited.
	Withdrawn Reason = "withdrawn"
	// Tombstone: cancelled before it arrived.
	Tombstone Reason = "tombstone"
	// Duplicate: its id was dispatched before.
	Duplicate Reason = "duplicate"
	// LedgerFull: no room to remember its id, so it could run twice.
	LedgerFull Reason = "ledger_full"
	// NotOwner: this VM does not own the upstream, or does no longer.
	NotOwner Reason = "not_owner"
	// Leaving: the operators or the upstream itself announced its leaving.
	Leaving Reason = "leaving"
	// CircuitOpen: the upstream could not be reached a moment ago.
	CircuitOpen Reason = "circuit_open"
	// Stopping: this VM is stopping.
	Stopping Reason = "stopping"
	// Paused: this process was paused for longer than the time left.
	Paused Reason = "paused"
	// AtUpstream: the upstream itself refused.
	AtUpstream Reason = "at_upstream"
)

// Reasons is every reason, for metrics and the pages.
var Reasons = []Reason{
	DeadlinePassed, CannotFinish, PredictedWait, QueueFull, Displaced,
	Withdrawn, Tombstone, Duplicate, LedgerFull, NotOwner, Leaving,
	CircuitOpen, Stopping, Paused, AtUpstream,
}

// Refusal tells a sender that its sub-request did not run.
type Refusal struct {
	Result pb.Result
	Reason Reason
	// RetryAfter is when room is expected; 0 when nothing is known.
	RetryAfter time.Duration
}

// Refused is an item taken out of the queue without running.
type Refused struct {
	Item *Item
	Refusal
}
