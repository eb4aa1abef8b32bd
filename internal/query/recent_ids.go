package query

// recentIDsSize is the number of cancelled sub-requests that a loop remembers.
const recentIDsSize = 4096

// recentIDs is a set of the last recentIDsSize ids added. It distinguishes a late reply
// from one that was never requested, in bounded memory.
type recentIDs struct {
	ring []uint64
	next int
	set  map[uint64]struct{}
}

func newRecentIDs() recentIDs {
	return recentIDs{ring: make([]uint64, recentIDsSize), set: make(map[uint64]struct{})}
}

func (r *recentIDs) add(id uint64) {
	delete(r.set, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % recentIDsSize
	r.set[id] = struct{}{}
}

// take removes an id and reports whether it was present.
func (r *recentIDs) take(id uint64) bool {
	_, ok := r.set[id]
	delete(r.set, id)
	return ok
}
