package dispatch

import "container/heap"

// placed is what a heap holds: it knows its order and its place.
type placed[T any] interface {
	before(T) bool
	// place is where the item stands in its heap, -1 while in none.
	place() *int
}

// placedHeap is a heap whose items can be moved and removed by their place. It
// implements heap.Interface.
type placedHeap[T placed[T]] []T

var _ heap.Interface = (*placedHeap[*Item])(nil)

func (h placedHeap[T]) Len() int           { return len(h) }
func (h placedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h placedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].place() = i
	*h[j].place() = j
}

func (h *placedHeap[T]) Push(x any) {
	it := x.(T)
	*it.place() = len(*h)
	*h = append(*h, it)
}

func (h *placedHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	var none T
	old[last] = none
	*it.place() = -1
	*h = old[:last]
	return it
}

// before orders the items of a flow by when they are due, then by arrival.
func (it *Item) before(o *Item) bool {
	if !it.due.Equal(o.due) {
		return it.due.Before(o.due)
	}
	return it.serial < o.serial
}

func (it *Item) place() *int { return &it.index }

// before orders flows by start, then by name so that every run is the same.
func (f *flow) before(o *flow) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return f.customer.name < o.customer.name
}

func (f *flow) place() *int { return &f.index }

// before puts the customer that holds most against its weight first.
func (c *customer) before(o *customer) bool {
	if a, b := c.use(), o.use(); a != b {
		return a > b
	}
	return c.name < o.name
}

func (c *customer) place() *int { return &c.index }
