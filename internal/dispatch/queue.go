package dispatch

import (
	"container/heap"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Order selects how a queue chooses the next item.
type Order int

const (
	// Fair is the default: priority, then customers by weight, then deadline.
	Fair Order = iota
	// Arrival is first come, first served with a common bound and no early
	// refusal: the baseline for measurements.
	Arrival
)

// starvationTurns is how many items of higher classes may be served while a
// class waits; the next turn is its own. It bounds what strict priority can
// take to starvationTurns in starvationTurns+1.
const starvationTurns = 16

// Options are the limits of one queue.
type Options struct {
	Order Order
	// Slots is how many requests may run at a time.
	Slots int
	// MaxQueue is how many may wait.
	MaxQueue int
}

// Queue is the waiting sub-requests of one upstream. Every operation but Expire
// and Flush is O(log n). It is not safe for concurrent use.
type Queue struct {
	opts      Options
	classes   [classes]class
	customers map[string]*customer
	// holders are the customers with items.
	holders placedHeap[*customer]
	// weight is the sum over the holders.
	weight  float64
	byKey   map[Key]*Item
	service estimate
	running int
	serial  uint64
	// sweepAt is the number of customers at which the idle ones are forgotten.
	sweepAt int
}

// New makes an empty queue.
func New(opts Options) *Queue {
	q := &Queue{opts: opts, customers: map[string]*customer{}, byKey: map[Key]*Item{}}
	for i := range q.classes {
		q.classes[i].index = i
		q.classes[i].flows = map[*customer]*flow{}
	}
	return q
}

// SetSlots changes the number of slots; requests that run are not cut off.
func (q *Queue) SetSlots(n int) {
	q.opts.Slots = n
}

// Push takes an item in, or refuses it. Displaced, when set, is an item that
// gave its place up and did not run.
func (q *Queue) Push(now time.Time, it *Item) (refusal *Refusal, displaced *Refused) {
	if !now.Before(it.Deadline) {
		return &Refusal{Result: pb.Result_TOO_LATE, Reason: DeadlinePassed}, nil
	}
	if q.opts.Order == Arrival {
		return q.pushArrival(it), nil
	}
	cu := q.customer(it)
	if wait := q.predictedWait(cu, it); q.hopeless(now, it, wait) {
		return &Refusal{Result: pb.Result_TOO_LATE, Reason: PredictedWait, RetryAfter: wait}, nil
	}
	if len(q.byKey) >= q.opts.MaxQueue {
		victim := q.victim(cu, it)
		if victim == nil {
			return &Refusal{Result: pb.Result_QUEUE_FULL, Reason: QueueFull, RetryAfter: q.emptiesIn()}, nil
		}
		q.remove(victim)
		displaced = &Refused{Item: victim, Refusal: Refusal{Result: pb.Result_QUEUE_FULL, Reason: Displaced, RetryAfter: q.emptiesIn()}}
	}
	q.add(cu, it)
	return nil, displaced
}

// pushArrival treats all items as one customer's of one class.
func (q *Queue) pushArrival(it *Item) *Refusal {
	if len(q.byKey) >= q.opts.MaxQueue {
		return &Refusal{Result: pb.Result_QUEUE_FULL, Reason: QueueFull}
	}
	q.add(q.customerNamed(""), it)
	return nil
}

// hopeless tells whether an item could not be answered in time after a wait.
// An upstream with nothing to do is always tried: refusing on an estimate that
// has become too high would leave nothing to correct it, and the upstream would
// stay unused for good.
func (q *Queue) hopeless(now time.Time, it *Item, wait time.Duration) bool {
	if q.running == 0 && len(q.byKey) == 0 {
		return false
	}
	return now.Add(wait + q.service.least()).After(it.Deadline)
}

// predictedWait is the time until the item would get a slot: the items that
// would be served before it, at the typical service time over all slots.
func (q *Queue) predictedWait(cu *customer, it *Item) time.Duration {
	if q.running < q.opts.Slots && len(q.byKey) == 0 {
		return 0
	}
	cl := q.class(it)
	ahead := float64(q.aheadInClass(cl, cu, it) + 1)
	for i := cl.index + 1; i < classes; i++ {
		ahead += float64(q.classes[i].len)
	}
	return time.Duration(ahead * float64(q.service.typical()) / float64(max(1, q.opts.Slots)))
}

// aheadInClass counts the items of the class served first: its customer's own
// of an earlier deadline, and what the others are due meanwhile.
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

// emptiesIn is the time in which the slots would serve all that waits.
func (q *Queue) emptiesIn() time.Duration {
	return q.service.typical() * time.Duration(len(q.byKey)) / time.Duration(max(1, q.opts.Slots))
}

// victim is the item that gives its place in a full queue to the newcomer: the
// newcomer's own customer's youngest of a lower class, or else the youngest of
// the lowest class of the customer furthest above its share, if the newcomer's
// customer is below its own.
func (q *Queue) victim(cu *customer, it *Item) *Item {
	for i := range q.class(it).index {
		if cu.waiting[i] > 0 {
			return q.classes[i].flows[cu].newest
		}
	}
	most := q.holders[0]
	if most == cu || float64(cu.len+1)/cu.weight >= most.use() {
		return nil
	}
	if float64(cu.len+1) > q.share(cu) {
		return nil
	}
	for i := range classes {
		if most.waiting[i] > 0 {
			return q.classes[i].flows[most].newest
		}
	}
	return nil
}

// share is a customer's part of the bound, at least one place.
func (q *Queue) share(cu *customer) float64 {
	total := q.weight
	if cu.index < 0 {
		total += cu.weight
	}
	return max(1, float64(q.opts.MaxQueue)*cu.weight/total)
}

// Pop starts the next item when a slot is free. Late are the items found on the
// way whose time no longer suffices: they take no slot.
func (q *Queue) Pop(now time.Time) (next *Item, late []Refused) {
	for q.running < q.opts.Slots && len(q.byKey) > 0 {
		cl := q.choose()
		it := cl.head()
		if reason, ok := q.tooLate(now, it); ok {
			// Its customer keeps the turn. Were the turn lost, a customer of
			// little weight whose items are served just in time would lose
			// turn after turn to items that are just too late.
			q.remove(it)
			late = append(late, Refused{Item: it, Refusal: Refusal{Result: pb.Result_TOO_LATE, Reason: reason}})
			continue
		}
		q.countTurn(cl)
		cl.serve()
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
	// As in hopeless, an upstream with nothing to do is always tried.
	if q.opts.Order == Arrival || q.running == 0 {
		return "", false
	}
	need := q.service.least()
	if len(q.byKey) > q.opts.Slots {
		need = q.service.likely()
	}
	return CannotFinish, now.Add(need).After(it.Deadline)
}

// choose is the class whose turn it is: the highest with items, unless a lower
// one has been bypassed too often.
func (q *Queue) choose() *class {
	var best *class
	for i := range q.classes {
		c := &q.classes[i]
		if c.len == 0 {
			c.bypassed = 0
			continue
		}
		if best == nil || best.bypassed < starvationTurns {
			best = c
		}
	}
	return best
}

// countTurn notes that the lower classes are passed by once more.
func (q *Queue) countTurn(served *class) {
	for i := range served.index {
		if q.classes[i].len > 0 {
			q.classes[i].bypassed++
		}
	}
	served.bypassed = 0
}

// Done frees the slot of a started item that took d. Cut off says that the
// request was given up after d, so that it may have needed longer.
func (q *Queue) Done(d time.Duration, cutOff bool) {
	q.running--
	if cutOff && d < q.service.typical() {
		return
	}
	q.service.observe(d)
}

// Release frees the slot of a started item that tells nothing of the service
// time, such as one that was refused.
func (q *Queue) Release() {
	q.running--
}

// Cancel removes a waiting item; it did not run.
func (q *Queue) Cancel(key Key) (*Item, bool) {
	it, ok := q.byKey[key]
	if ok {
		q.remove(it)
	}
	return it, ok
}

// Expire removes the items whose deadline has passed. It is for a periodic call,
// so that they are answered although no slot becomes free.
func (q *Queue) Expire(now time.Time) []Refused {
	var late []Refused
	for i := range q.classes {
		for _, f := range append(placedHeap[*flow](nil), q.classes[i].ready...) {
			for len(f.items) > 0 && !now.Before(f.items[0].Deadline) {
				it := f.items[0]
				q.remove(it)
				late = append(late, Refused{Item: it, Refusal: Refusal{Result: pb.Result_TOO_LATE, Reason: DeadlinePassed}})
			}
		}
	}
	return late
}

// Flush removes every waiting item.
func (q *Queue) Flush(why Refusal) []Refused {
	var out []Refused
	for i := range q.classes {
		for c := &q.classes[i]; c.len > 0; {
			it := c.serve()
			q.unlink(it)
			out = append(out, Refused{Item: it, Refusal: why})
		}
	}
	return out
}

// Len is how many wait; Running is how many hold a slot.
func (q *Queue) Len() int     { return len(q.byKey) }
func (q *Queue) Running() int { return q.running }

// ServiceTime is the typical service time; 0 while nothing was observed.
func (q *Queue) ServiceTime() time.Duration { return q.service.typical() }

func (q *Queue) class(it *Item) *class {
	if q.opts.Order == Arrival {
		return &q.classes[0]
	}
	return &q.classes[min(max(int(it.Priority), 0), classes-1)]
}

// customer finds the item's customer and notes its newest weight.
func (q *Queue) customer(it *Item) *customer {
	cu := q.customerNamed(it.Customer)
	weight := itemWeight(it)
	if cu.index >= 0 && cu.weight != weight {
		q.weight += weight - cu.weight
		cu.weight = weight
		heap.Fix(&q.holders, cu.index)
	}
	cu.weight = weight
	return cu
}

func (q *Queue) customerNamed(name string) *customer {
	cu := q.customers[name]
	if cu == nil {
		q.sweep()
		cu = &customer{name: name, weight: 1, index: -1}
		q.customers[name] = cu
	}
	return cu
}

// idleCustomers is how many customers without items are remembered at least:
// their flows tell what they took ahead of their share.
const idleCustomers = 64

// sweep forgets idle customers. The next sweep is due when their number has
// doubled, so that its cost is spread over as many newcomers.
func (q *Queue) sweep() {
	if len(q.customers) < q.sweepAt {
		return
	}
	for i := range q.classes {
		q.classes[i].sweep()
	}
	for name, cu := range q.customers {
		if cu.index < 0 && !q.remembered(cu) {
			delete(q.customers, name)
		}
	}
	q.sweepAt = 2*len(q.customers) + idleCustomers
}

func (q *Queue) remembered(cu *customer) bool {
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
		it.due = it.Deadline
	}
	cl.add(cu, it, itemWeight(it))
	q.byKey[it.Key] = it
	cu.len++
	cu.waiting[cl.index]++
	if cu.index < 0 {
		q.weight += cu.weight
		heap.Push(&q.holders, cu)
		return
	}
	heap.Fix(&q.holders, cu.index)
}

// remove takes a waiting item out of everything.
func (q *Queue) remove(it *Item) {
	it.flow.class.remove(it)
	q.unlink(it)
}

// unlink takes an item that has left its class out of the rest.
func (q *Queue) unlink(it *Item) {
	delete(q.byKey, it.Key)
	cu := it.flow.customer
	cu.len--
	cu.waiting[it.flow.class.index]--
	if cu.len > 0 {
		heap.Fix(&q.holders, cu.index)
		return
	}
	heap.Remove(&q.holders, cu.index)
	q.weight -= cu.weight
	if len(q.holders) == 0 {
		q.weight = 0
	}
}

func itemWeight(it *Item) float64 {
	return float64(max(1, it.Weight))
}
