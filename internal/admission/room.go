package admission

import "sycamorekeel.example/sycamorekeel/internal/pb"

// reservedPart of a VM's room is divided over its customers by weight; the rest
// is for whoever comes.
const reservedPart = 0.5

// room divides the requests that this VM can hold. Each customer has a reserved
// part, which nobody else can fill, so a customer below it is always let in.
// What a customer has above its part comes from a common pool, in which it may
// hold a multiple of what is still free. So one customer alone can use most of
// the pool, several share it, and as it fills up low priorities are turned away
// first.
type room struct {
	total    int
	running  int
	reserved map[string]int
	byName   map[string]int
	// pool is the size of the common pool, pooled what is in use of it.
	pool   int
	pooled int
}

func newRoom(total int) room {
	return room{total: total, pool: total, reserved: map[string]int{}, byName: map[string]int{}}
}

func (r *room) setWeights(weights map[string]int) {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	r.reserved = make(map[string]int, len(weights))
	r.pool = r.total
	for name, w := range weights {
		part := int(float64(r.total) * reservedPart * float64(w) / float64(sum))
		r.reserved[name] = part
		r.pool -= part
	}
	r.pooled = 0
	for name, n := range r.byName {
		r.pooled += max(0, n-r.reserved[name])
	}
}

// admits tells whether there is room for one more request of the customer. Only
// after the weights changed can the room be full and a reserved part not: until
// requests from before have ended.
func (r *room) admits(customer string, p pb.Priority) bool {
	if r.running >= r.total {
		return false
	}
	above := r.byName[customer] - r.reserved[customer]
	if above < 0 {
		return true
	}
	free := r.pool - r.pooled
	return free > 0 && above < poolFactor(p)*free
}

// poolFactor is how many times the free part of the pool a customer may hold.
func poolFactor(p pb.Priority) int {
	switch p {
	case pb.Priority_HIGH:
		return 16
	case pb.Priority_LOW:
		return 1
	default:
		return 4
	}
}

// add counts n requests more of a customer, or fewer.
func (r *room) add(customer string, n int) {
	before := max(0, r.byName[customer]-r.reserved[customer])
	r.running += n
	r.byName[customer] += n
	r.pooled += max(0, r.byName[customer]-r.reserved[customer]) - before
	if r.byName[customer] == 0 {
		delete(r.byName, customer)
	}
}
