package admission

import "sycamorekeel.example/sycamorekeel/internal/pb"

// reservedFraction of a VM's capacity is divided between its customers by
// weight. The rest forms the common pool.
const reservedFraction = 0.5

// capacity divides the requests that this VM can hold. Each customer has a
// reserved part that no other customer can use, so a customer below it is
// always admitted. Beyond its part a customer uses a common pool, in which it
// may hold a multiple of what is still free. One customer alone can therefore
// use most of the pool, several share it, and low priorities are refused first
// as it fills up.
type capacity struct {
	total             int
	running           int
	reserved          map[string]int
	runningByCustomer map[string]int
	// poolSize is the size of the common pool, poolUsed the part of it in use.
	poolSize int
	poolUsed int
}

func newCapacity(total int) capacity {
	return capacity{total: total, poolSize: total, reserved: map[string]int{}, runningByCustomer: map[string]int{}}
}

func (c *capacity) setWeights(weights map[string]int) {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	c.reserved = make(map[string]int, len(weights))
	c.poolSize = c.total
	for name, w := range weights {
		part := int(float64(c.total) * reservedFraction * float64(w) / float64(sum))
		c.reserved[name] = part
		c.poolSize -= part
	}
	c.poolUsed = 0
	for name, n := range c.runningByCustomer {
		c.poolUsed += max(0, n-c.reserved[name])
	}
}

// admits reports whether the customer may start one more request. The VM can be
// full while a reserved part is not only after a change of weights, until
// enough earlier requests have ended.
func (c *capacity) admits(customer string, p pb.Priority) bool {
	if c.running >= c.total {
		return false
	}
	above := c.runningByCustomer[customer] - c.reserved[customer]
	if above < 0 {
		return true
	}
	free := c.poolSize - c.poolUsed
	return free > 0 && above < poolMultiple(p)*free
}

// poolMultiple is how many times the free part of the pool a customer may hold.
func poolMultiple(p pb.Priority) int {
	switch p {
	case pb.Priority_HIGH:
		return 16
	case pb.Priority_LOW:
		return 1
	default:
		return 4
	}
}

// add changes the number of running requests of a customer by n.
func (c *capacity) add(customer string, n int) {
	before := max(0, c.runningByCustomer[customer]-c.reserved[customer])
	c.running += n
	c.runningByCustomer[customer] += n
	c.poolUsed += max(0, c.runningByCustomer[customer]-c.reserved[customer]) - before
	if c.runningByCustomer[customer] == 0 {
		delete(c.runningByCustomer, customer)
	}
}
