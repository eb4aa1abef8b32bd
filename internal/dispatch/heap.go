package dispatch

import "container/heap"

// heapItem is an element of an indexedHeap.
type heapItem[T any] interface {
	less(T) bool
	// heapIndex points to the element's position in its heap, -1 when in none.
	heapIndex() *int
}

// indexedHeap is a heap whose elements record their position, so that an element
// can be moved or removed in O(log n). It implements heap.Interface.
type indexedHeap[T heapItem[T]] []T

var _ heap.Interface = (*indexedHeap[*Item])(nil)

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].less(h[j]) }
func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapIndex() = i
	*h[j].heapIndex() = j
}

func (h *indexedHeap[T]) Push(x any) {
	it := x.(T)
	*it.heapIndex() = len(*h)
	*h = append(*h, it)
}

func (h *indexedHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	var zero T
	old[last] = zero
	*it.heapIndex() = -1
	*h = old[:last]
	return it
}

// less orders the items of a flow by sortTime, then by arrival.
func (it *Item) less(o *Item) bool {
	if !it.sortTime.Equal(o.sortTime) {
		return it.sortTime.Before(o.sortTime)
	}
	return it.serial < o.serial
}

func (it *Item) heapIndex() *int { return &it.index }

// less orders flows by start tag, then by customer name for a deterministic
// order.
func (f *flow) less(o *flow) bool {
	if f.startTag != o.startTag {
		return f.startTag < o.startTag
	}
	return f.customer.name < o.customer.name
}

func (f *flow) heapIndex() *int { return &f.index }

// less puts the customer with the highest usage first.
func (c *customer) less(o *customer) bool {
	if a, b := c.usage(), o.usage(); a != b {
		return a > b
	}
	return c.name < o.name
}

func (c *customer) heapIndex() *int { return &c.index }
