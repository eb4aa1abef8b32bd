package query

// recentSize is how many withdrawn sub-requests a loop remembers.
const recentSize = 4096

// recent is the last ids added: it tells a reply that comes late from one that
// was never asked for. Its memory is bounded.
type recent struct {
	ring []uint64
	next int
	set  map[uint64]struct{}
}

func newRecent() recent {
	return recent{ring: make([]uint64, recentSize), set: make(map[uint64]struct{})}
}

func (r *recent) add(id uint64) {
	delete(r.set, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % recentSize
	r.set[id] = struct{}{}
}

// take removes an id and tells whether it was there.
func (r *recent) take(id uint64) bool {
	_, ok := r.set[id]
	delete(r.set, id)
	return ok
}
