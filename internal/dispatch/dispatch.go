// Package dispatch decides the order in which an owner gives an upstream's
// slots to waiting sub-requests, and which of them can no longer be served.
package dispatch

import (
	"container/heap"
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
	Weight   uint32
	// Arrived is when it was queued; Deadline when its answer is due.
	Arrived  time.Time
	Deadline time.Time
	Request  *pb.SubRequest
	// Reply answers the sender; it is called once.
	Reply func(*pb.SubReply)

	index int
}

// Options are the limits of one queue.
type Options struct {
	// Slots is how many requests the upstream runs at a time.
	Slots int
	// MaxQueue is how many may wait.
	MaxQueue int
}

// Queue is the waiting sub-requests of one upstream. It is not safe for
// concurrent use; the owner holds a lock around it.
type Queue struct {
	opts    Options
	waiting itemHeap
	byKey   map[Key]*Item
	running int
}

// New makes an empty queue.
func New(opts Options) *Queue {
	return &Queue{opts: opts, byKey: map[Key]*Item{}}
}

// SetSlots changes the number of slots; requests that run are not cut off.
func (q *Queue) SetSlots(n int) {
	q.opts.Slots = n
}

// Push takes an item in. Any result but RESULT_UNSPECIFIED refuses it.
func (q *Queue) Push(now time.Time, it *Item) pb.Result {
	if !now.Before(it.Deadline) {
		return pb.Result_TOO_LATE
	}
	if len(q.waiting) >= q.opts.MaxQueue {
		return pb.Result_QUEUE_FULL
	}
	heap.Push(&q.waiting, it)
	q.byKey[it.Key] = it
	return pb.Result_RESULT_UNSPECIFIED
}

// Pop starts the next item when a slot is free. Late holds the items whose
// deadline passed while they waited: they take no slot and did not run.
func (q *Queue) Pop(now time.Time) (next *Item, late []*Item) {
	for q.running < q.opts.Slots && len(q.waiting) > 0 {
		it := heap.Pop(&q.waiting).(*Item)
		delete(q.byKey, it.Key)
		if !now.Before(it.Deadline) {
			late = append(late, it)
			continue
		}
		q.running++
		return it, late
	}
	return nil, late
}

// Done frees the slot of a started item.
func (q *Queue) Done() {
	q.running--
}

// Cancel removes a waiting item; it did not run.
func (q *Queue) Cancel(key Key) (*Item, bool) {
	it, ok := q.byKey[key]
	if !ok {
		return nil, false
	}
	heap.Remove(&q.waiting, it.index)
	delete(q.byKey, key)
	return it, true
}

// Len is how many wait; Running is how many hold a slot.
func (q *Queue) Len() int     { return len(q.waiting) }
func (q *Queue) Running() int { return q.running }

// itemHeap orders by priority, then by deadline.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].Deadline.Before(h[j].Deadline)
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
