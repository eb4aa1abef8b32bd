package dispatch

import (
	"container/heap"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// numClasses is the number of priorities, including the unspecified one.
const numClasses = int(pb.Priority_HIGH) + 1

// flow holds the waiting items of one customer in one class, ordered by
// sortTime.
type flow struct {
	customer *customer
	class    *class
	items    indexedHeap[*Item]
	// newest is the tail of the list of items by arrival.
	newest *Item
	weight float64
	// startTag is the virtual start time of the flow's next item.
	startTag float64
	// index is the position in the class's heap, -1 while the flow is empty.
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

// burstCredit is the number of turns that a customer below its share may take
// ahead of the others. Without it the second request of a small burst waits for
// a turn of every busy customer, and a flood by one customer raises the tail
// latency of the others.
const burstCredit = 8

// class holds the waiting items of one priority. Its customers take turns by
// start-time fair queueing: each served item advances its flow's start tag by
// 1/weight, and the flow with the lowest start tag is next.
type class struct {
	index int
	flows map[*customer]*flow
	// active holds the flows with items.
	active indexedHeap[*flow]
	// virtualTime is the start tag of the last served flow.
	virtualTime float64
	// weight is the sum of the weights of the active flows.
	weight float64
	len    int
	// bypassed counts the items of higher classes that were served since this
	// class was last served or empty.
	bypassed int
}

func (c *class) add(cu *customer, it *Item, weight float64) {
	f := c.flows[cu]
	if f == nil {
		f = &flow{customer: cu, class: c, index: -1}
		c.flows[cu] = f
	}
	if f.index < 0 {
		f.startTag = max(f.startTag, c.virtualTime-burstCredit/weight)
		f.weight = weight
		c.weight += weight
		heap.Push(&c.active, f)
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
	heap.Remove(&c.active, f.index)
	c.weight -= f.weight
	if c.len == 0 {
		c.weight = 0
	}
}

// head returns the next item of the flow whose turn it is.
func (c *class) head() *Item {
	return c.active[0].items[0]
}

// dequeue removes and returns the next item of the flow whose turn it is, and
// charges the flow for it.
func (c *class) dequeue() *Item {
	f := c.active[0]
	it := f.items[0]
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += 1 / f.weight
	heap.Fix(&c.active, 0)
	c.remove(it)
	return it
}

// removeIdleFlows removes the empty flows that are not ahead of their share; if
// the class is empty, it removes all.
func (c *class) removeIdleFlows() {
	for cu, f := range c.flows {
		if f.index < 0 && (f.startTag <= c.virtualTime-burstCredit/f.weight || c.len == 0) {
			delete(c.flows, cu)
		}
	}
}

// customer is one customer's part of the queue, across all classes.
type customer struct {
	name   string
	weight float64
	len    int
	// waitingByClass is the number of waiting items in each class.
	waitingByClass [numClasses]int
	// index is the position in the heap of active customers, -1 while the
	// customer has no items.
	index int
}

// usage is the number of queue places in use relative to the weight.
func (c *customer) usage() float64 {
	return float64(c.len) / c.weight
}
