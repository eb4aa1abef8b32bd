package dispatch

import (
	"container/heap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// classes is the number of priorities, the unspecified one included.
const classes = int(pb.Priority_HIGH) + 1

// flow is the waiting items of one customer in one class, by deadline.
type flow struct {
	customer *customer
	class    *class
	items    placedHeap[*Item]
	// newest ends the list of items by arrival.
	newest *Item
	weight float64
	// start is the virtual time at which its next item is due.
	start float64
	// index is the place in the class's heap, -1 while it has no items.
	index int
}

func (f *flow) add(it *Item) {
	it.flow = f
	it.older = f.newest
	it.newer = nil
	if f.newest != nil {
		f.newest.newer = it
	}
	f.newest = it
	heap.Push(&f.items, it)
}

func (f *flow) remove(it *Item) {
	heap.Remove(&f.items, it.index)
	if it.newer != nil {
		it.newer.older = it.older
	} else {
		f.newest = it.older
	}
	if it.older != nil {
		it.older.newer = it.newer
	}
	it.older, it.newer = nil, nil
}

// burstTurns is how many turns a customer that was below its share may take
// ahead. Without it the second request of a small burst waits for a turn of
// every busy customer, and one customer's flood shows in the others' tail.
const burstTurns = 8

// class is one priority. Its customers take turns by start-time fair queueing:
// each served item moves its flow's start by 1/weight, and the flow with the
// lowest start is next.
type class struct {
	index int
	flows map[*customer]*flow
	ready placedHeap[*flow]
	// virtual is the start of the flow served last.
	virtual float64
	// weight is the sum over the flows with items.
	weight float64
	len    int
	// bypassed counts the items of higher classes served while this class
	// had some waiting.
	bypassed int
}

func (c *class) add(cu *customer, it *Item, weight float64) {
	f := c.flows[cu]
	if f == nil {
		f = &flow{customer: cu, class: c, index: -1}
		c.flows[cu] = f
	}
	if f.index < 0 {
		f.start = max(f.start, c.virtual-burstTurns/weight)
		f.weight = weight
		c.weight += weight
		heap.Push(&c.ready, f)
	}
	f.add(it)
	c.len++
}

func (c *class) remove(it *Item) {
	f := it.flow
	f.remove(it)
	c.len--
	if len(f.items) > 0 {
		return
	}
	heap.Remove(&c.ready, f.index)
	c.weight -= f.weight
	if c.len == 0 {
		c.weight = 0
	}
}

// head is the earliest deadline of the flow whose turn it is.
func (c *class) head() *Item {
	return c.ready[0].items[0]
}

// serve takes the earliest deadline of the flow whose turn it is.
func (c *class) serve() *Item {
	f := c.ready[0]
	it := f.items[0]
	c.virtual = max(c.virtual, f.start)
	f.start += 1 / f.weight
	heap.Fix(&c.ready, 0)
	c.remove(it)
	return it
}

// sweep forgets the flows without items that are no longer ahead of their share.
func (c *class) sweep() {
	for cu, f := range c.flows {
		if f.index < 0 && (f.start <= c.virtual-burstTurns/f.weight || c.len == 0) {
			delete(c.flows, cu)
		}
	}
}

// customer is one customer's part of the queue, over all classes.
type customer struct {
	name   string
	weight float64
	len    int
	// waiting is how many items it has in each class.
	waiting [classes]int
	// index is the place in the heap of customers, -1 while it has no items.
	index int
}

// use is what a customer holds of the queue against its weight.
func (c *customer) use() float64 {
	return float64(c.len) / c.weight
}
