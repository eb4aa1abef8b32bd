package dispatch

import (
	"container/heap"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Order selects how a queue picks the next item.
type Order int

const (
	// Fair orders by priority, then by turns of the customers according to
	// weight, then by deadline. It is the default.
	Fair Order = iota
	// FIFO serves in order of arrival, with one bound on the queue and no early
	// refusal. It is the baseline for benchmarks.
	FIFO
)

// maxBypass is how many items of higher classes may be served while a class
// waits; the class gets the next turn. It limits strict priority to maxBypass of
// maxBypass+1 turns.
const maxBypass = 16

// Options configure a Queue.
type Options struct {
	Order Order
	// Slots is the maximum number of running requests.
	Slots int
	// MaxQueue is the maximum number of waiting items.
	MaxQueue int
}

// Queue holds the waiting sub-requests of one upstream and counts the running
// ones. Every operation but Expire and Flush is O(log n). It is not safe for
// concurrent use.
type Queue struct {
	opts      Options
	classes   [numClasses]class
	customers map[string]*customer
	// active holds the customers with items.
	active indexedHeap[*customer]
	// weight is the sum of the weights of the active customers.
	weight  float64
	byKey   map[Key]*Item
	service estimate
	running int
	serial  uint64
	// idleSweepSize is the number of customers at which idle ones are removed.
	idleSweepSize int
}

// New returns an empty queue.
func New(opts Options) *Queue {
	q := &Queue{opts: opts, customers: map[string]*customer{}, byKey: map[Key]*Item{}}
	for i := range q.classes {
		q.classes[i].index = i
		q.classes[i].flows = map[*customer]*flow{}
	}
	return q
}

// SetSlots changes the number of slots. Running requests are not interrupted.
func (q *Queue) SetSlots(n int) {
	q.opts.Slots = n
}

// Push adds an item or refuses it. displaced, when not nil, is an item that was
// evicted to make room and did not run.
func (q *Queue) Push(now time.Time, it *Item) (refusal *Refusal, displaced *Refused) {
	if !now.Before(it.Deadline) {
		return &Refusal{Result: pb.Result_TOO_LATE, Reason: DeadlinePassed}, nil
	}
	if q.opts.Order == FIFO {
		return q.pushFIFO(it), nil
	}
	cu := q.customer(it)
	if wait := q.predictedWait(cu, it); q.missesDeadline(now, it, wait) {
		return &Refusal{Result: pb.Result_TOO_LATE, Reason: PredictedWait, RetryAfter: wait}, nil
	}
	if len(q.byKey) >= q.opts.MaxQueue {
		victim := q.victim(cu, it)
		if victim == nil {
			return &Refusal{Result: pb.Result_QUEUE_FULL, Reason: QueueFull, RetryAfter: q.drainTime()}, nil
		}
		q.remove(victim)
		displaced = &Refused{Item: victim, Refusal: Refusal{Result: pb.Result_QUEUE_FULL, Reason: Displaced, RetryAfter: q.drainTime()}}
	}
	q.add(cu, it)
	return nil, displaced
}

// pushFIFO adds an item as if all belonged to one customer and one class.
func (q *Queue) pushFIFO(it *Item) *Refusal {
	if len(q.byKey) >= q.opts.MaxQueue {
		return &Refusal{Result: pb.Result_QUEUE_FULL, Reason: QueueFull}
	}
	q.add(q.customerNamed(""), it)
	return nil
}

// missesDeadline reports whether an item could not be answered in time after
// waiting. An idle upstream is always tried: if an estimate that is too high
// refused every request, no new observation would correct it, and the upstream
// would stay unused.
func (q *Queue) missesDeadline(now time.Time, it *Item, wait time.Duration) bool {
	if q.running == 0 && len(q.byKey) == 0 {
		return false
	}
	return now.Add(wait + q.service.lowerBound()).After(it.Deadline)
}

// predictedWait estimates the time until the item gets a slot: the items served
// before it, at the typical service time, spread over all slots.
func (q *Queue) predictedWait(cu *customer, it *Item) time.Duration {
	if q.running < q.opts.Slots && len(q.byKey) == 0 {
		return 0
	}
	cl := q.class(it)
	ahead := float64(q.aheadInClass(cl, cu, it) + 1)
	for i := cl.index + 1; i < numClasses; i++ {
		ahead += float64(q.classes[i].len)
	}
	return time.Duration(ahead * float64(q.service.typical()) / float64(max(1, q.opts.Slots)))
}

// aheadInClass estimates how many items of the class are served first: those of
// the same customer with earlier deadlines, and the turns that the other
// customers get meanwhile.
func (q *Queue) aheadInClass(cl *class, cu *customer, it *Item) int {
	weight := itemWeight(it)
	own, total := 0, cl.weight
	f := cl.flows[cu]
	if f == nil || f.index < 0 {
		total += weight
	} else if !it.Deadline.Before(f.items[0].Deadline) {
		own = len(f.items)
	}
	due := int(float64(own+1)*total/weight) - 1
	return min(due, cl.len)
}

// ExpectedWait estimates how long an item would wait for a slot if it were pushed now.
func (q *Queue) ExpectedWait(it *Item) time.Duration {
	return q.predictedWait(q.customer(it), it)
}

// Start takes a slot for a request that did not wait in the queue. The caller has checked
// that a slot is free.
func (q *Queue) Start() { q.running++ }

// drainTime estimates how long the slots need to serve all waiting items.
func (q *Queue) drainTime() time.Duration {
	return q.service.typical() * time.Duration(len(q.byKey)) / time.Duration(max(1, q.opts.Slots))
}

// victim selects the item to evict from a full queue in favour of it, or nil. It
// prefers the newest item of a lower class of the same customer. Otherwise, if
// that customer is below its share, it is the newest item of the lowest class of
// the customer with the highest usage.
func (q *Queue) victim(cu *customer, it *Item) *Item {
	for i := range q.class(it).index {
		if cu.waitingByClass[i] > 0 {
			return q.classes[i].flows[cu].newest
		}
	}
	heaviest := q.active[0]
	if heaviest == cu || float64(cu.len+1)/cu.weight >= heaviest.usage() {
		return nil
	}
	if float64(cu.len+1) > q.share(cu) {
		return nil
	}
	for i := range numClasses {
		if heaviest.waitingByClass[i] > 0 {
			return q.classes[i].flows[heaviest].newest
		}
	}
	return nil
}

// share is a customer's part of MaxQueue, at least one place.
func (q *Queue) share(cu *customer) float64 {
	total := q.weight
	if cu.index < 0 {
		total += cu.weight
	}
	return max(1, float64(q.opts.MaxQueue)*cu.weight/total)
}

// Pop starts the next item if a slot is free. late holds the items removed on
// the way because their remaining time is too short; they take no slot.
func (q *Queue) Pop(now time.Time) (next *Item, late []Refused) {
	for q.running < q.opts.Slots && len(q.byKey) > 0 {
		cl := q.nextClass()
		it := cl.head()
		if reason, ok := q.tooLate(now, it); ok {
			// The customer keeps its turn. Otherwise a customer of little weight
			// whose items are served just in time would lose one turn after
			// another to items that are slightly too late.
			q.remove(it)
			late = append(late, Refused{Item: it, Refusal: Refusal{Result: pb.Result_TOO_LATE, Reason: reason}})
			continue
		}
		q.countBypass(cl)
		cl.dequeue()
		q.unlink(it)
		q.running++
		return it, late
	}
	return nil, late
}

func (q *Queue) tooLate(now time.Time, it *Item) (Reason, bool) {
	if !now.Before(it.Deadline) {
		return DeadlinePassed, true
	}
	// As in missesDeadline, an idle upstream is always tried.
	if q.opts.Order == FIFO || q.running == 0 {
		return "", false
	}
	need := q.service.lowerBound()
	if len(q.byKey) > q.opts.Slots {
		need = q.service.upperBound()
	}
	return CannotFinish, now.Add(need).After(it.Deadline)
}

// nextClass returns the class whose turn it is: the highest with items, unless a
// lower one was bypassed maxBypass times.
func (q *Queue) nextClass() *class {
	var best *class
	for i := range q.classes {
		c := &q.classes[i]
		if c.len == 0 {
			c.bypassed = 0
			continue
		}
		if best == nil || best.bypassed < maxBypass {
			best = c
		}
	}
	return best
}

// countBypass counts a bypass for each lower class with items.
func (q *Queue) countBypass(served *class) {
	for i := range served.index {
		if q.classes[i].len > 0 {
			q.classes[i].bypassed++
		}
	}
	served.bypassed = 0
}

// Done frees the slot of a started item that took d. cutOff means that the
// request was abandoned after d, so its service time is at least d.
func (q *Queue) Done(d time.Duration, cutOff bool) {
	q.running--
	if cutOff && d < q.service.typical() {
		return
	}
	q.service.observe(d)
}

// Release frees the slot of a started item without an observation of the service
// time, for example after a refusal.
func (q *Queue) Release() {
	q.running--
}

// Cancel removes a waiting item. The item does not run.
func (q *Queue) Cancel(key Key) (*Item, bool) {
	it, ok := q.byKey[key]
	if ok {
		q.remove(it)
	}
	return it, ok
}

// Expire removes the items whose deadline has passed. It is called periodically
// so that they are answered even if no slot becomes free.
func (q *Queue) Expire(now time.Time) []Refused {
	var late []Refused
	for i := range q.classes {
		for _, f := range append(indexedHeap[*flow](nil), q.classes[i].active...) {
			for len(f.items) > 0 && !now.Before(f.items[0].Deadline) {
				it := f.items[0]
				q.remove(it)
				late = append(late, Refused{Item: it, Refusal: Refusal{Result: pb.Result_TOO_LATE, Reason: DeadlinePassed}})
			}
		}
	}
	return late
}

// Flush removes every waiting item with the given refusal.
func (q *Queue) Flush(why Refusal) []Refused {
	var out []Refused
	for i := range q.classes {
		for c := &q.classes[i]; c.len > 0; {
			it := c.dequeue()
			q.unlink(it)
			out = append(out, Refused{Item: it, Refusal: why})
		}
	}
	return out
}

// Len returns the number of waiting items, Running the number of used slots.
func (q *Queue) Len() int     { return len(q.byKey) }
func (q *Queue) Running() int { return q.running }

// ServiceTime returns the mean service time; 0 before the first observation.
func (q *Queue) ServiceTime() time.Duration { return q.service.typical() }

func (q *Queue) class(it *Item) *class {
	if q.opts.Order == FIFO {
		return &q.classes[0]
	}
	return &q.classes[min(max(int(it.Priority), 0), numClasses-1)]
}

// customer returns the item's customer and updates its weight.
func (q *Queue) customer(it *Item) *customer {
	cu := q.customerNamed(it.Customer)
	weight := itemWeight(it)
	if cu.index >= 0 && cu.weight != weight {
		q.weight += weight - cu.weight
		cu.weight = weight
		heap.Fix(&q.active, cu.index)
	}
	cu.weight = weight
	return cu
}

func (q *Queue) customerNamed(name string) *customer {
	cu := q.customers[name]
	if cu == nil {
		q.removeIdleCustomers()
		cu = &customer{name: name, weight: 1, index: -1}
		q.customers[name] = cu
	}
	return cu
}

// minIdleCustomers is the least number of new customers between two removals of
// idle ones. Idle customers are kept because their flows record the turns that
// they took ahead of their share.
const minIdleCustomers = 64

// removeIdleCustomers removes idle customers without flows. It runs again once
// the number of customers has about doubled, so its amortised cost per new
// customer is constant.
func (q *Queue) removeIdleCustomers() {
	if len(q.customers) < q.idleSweepSize {
		return
	}
	for i := range q.classes {
		q.classes[i].removeIdleFlows()
	}
	for name, cu := range q.customers {
		if cu.index < 0 && !q.hasFlow(cu) {
			delete(q.customers, name)
		}
	}
	q.idleSweepSize = 2*len(q.customers) + minIdleCustomers
}

func (q *Queue) hasFlow(cu *customer) bool {
	for i := range q.classes {
		if q.classes[i].flows[cu] != nil {
			return true
		}
	}
	return false
}

func (q *Queue) add(cu *customer, it *Item) {
	q.serial++
	it.serial = q.serial
	cl := q.class(it)
	if q.opts.Order == Fair {
		it.sortTime = it.Deadline
	}
	cl.add(cu, it, itemWeight(it))
	q.byKey[it.Key] = it
	cu.len++
	cu.waitingByClass[cl.index]++
	if cu.index < 0 {
		q.weight += cu.weight
		heap.Push(&q.active, cu)
		return
	}
	heap.Fix(&q.active, cu.index)
}

// remove removes a waiting item from all indices.
func (q *Queue) remove(it *Item) {
	it.flow.class.remove(it)
	q.unlink(it)
}

// unlink removes an item that has left its class from the other indices.
func (q *Queue) unlink(it *Item) {
	delete(q.byKey, it.Key)
	cu := it.flow.customer
	cu.len--
	cu.waitingByClass[it.flow.class.index]--
	if cu.len > 0 {
		heap.Fix(&q.active, cu.index)
		return
	}
	heap.Remove(&q.active, cu.index)
	q.weight -= cu.weight
	if len(q.active) == 0 {
		q.weight = 0
	}
}

func itemWeight(it *Item) float64 {
	return float64(max(1, it.Weight))
}
