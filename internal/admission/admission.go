// Package admission decides whether a caller's request may start, before any
// work is spent on it: its rate and concurrency within this VM's share of the
// contract, its customer's part of what this VM can hold, and whether the time
// it brings can suffice. It is pure: time is handed in.
package admission

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/latency"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

const (
	// burstSeconds of the rate may start at once after a pause.
	burstSeconds = 0.5
	// shortestQuantile of the answer times is the least a caller's own deadline
	// must leave: nine of ten answers took longer.
	shortestQuantile = 0.1
	// enoughAnswers must have been seen lately before a deadline is judged.
	enoughAnswers = 20
	// bucketWidth is by how much a quantile may be read too high.
	bucketWidth = 1.2
	// probeEvery request with a shorter deadline is let in all the same, as
	// otherwise a kind that got faster would never be seen to.
	probeEvery = 20
	// shortestRetry is the least time a refused caller is asked to wait.
	shortestRetry = 5 * time.Millisecond
	// overloadRetry is when a caller may come back to a VM without room.
	overloadRetry = 500 * time.Millisecond
)

// LimitOf is the whole limit of a kind. A kind that was idle may start as many
// requests at once as its concurrency holds, or half a second of its rate.
func LimitOf(k *contract.Kind) share.Amount {
	return share.Amount{
		Rate:        k.RatePerSecond,
		Burst:       max(int(k.Concurrency), int(k.RatePerSecond*burstSeconds)),
		Concurrency: int(k.Concurrency),
	}
}

// Controller counts the requests of every customer and kind. It is not safe for
// concurrent use.
type Controller struct {
	room     room
	counters map[share.Kind]*counter
}

// counter is one kind.
type counter struct {
	bucket    bucket
	running   int
	latency   latency.Tracker
	tooShort  int
	arrivals  arrivals
	peak      int
	noSlot    int
	wantSlots float64
}

// New admits at most maxRunning requests at a time, over all customers.
func New(maxRunning int) *Controller {
	return &Controller{room: newRoom(maxRunning), counters: map[share.Kind]*counter{}}
}

// SetWeights says which customers this VM serves and divides its room.
func (c *Controller) SetWeights(weights map[string]int) {
	c.room.setWeights(weights)
}

// SetShare puts a kind's share in force at now.
func (c *Controller) SetShare(now time.Time, kind share.Kind, s share.Share) {
	c.counter(kind).bucket.set(now, s)
}

// Remove forgets a kind without a share, unless a request of it runs.
func (c *Controller) Remove(kind share.Kind) {
	if n := c.counters[kind]; n != nil && n.running == 0 {
		delete(c.counters, kind)
	}
}

// Admit starts a request or says why it may not start. Budget is the time the
// caller gives it. A request that was admitted must be ended by Done. A refusal
// uses up nothing: the token of the rate is taken last.
func (c *Controller) Admit(now time.Time, k *contract.Kind, budget time.Duration) *refusal.Error {
	n := c.counter(KindOf(k))
	n.arrivals.count++
	if need, ok := n.outOfTime(now, k, budget); ok {
		return refusal.New(refusal.DeadlineTooShort, "answers of this kind lately took at least "+need.String()).After(need)
	}
	if n.running >= n.bucket.share.At(now).Concurrency {
		n.noSlot++
		return refusal.New(refusal.ConcurrencyLimit, "too many requests of this kind are running").After(n.typical(k))
	}
	if !c.room.admits(k.Customer, k.Priority) {
		return refusal.New(refusal.Overloaded, "this VM has no room for another query of this customer").After(overloadRetry)
	}
	if wait, ok := n.bucket.take(now); !ok {
		return refusal.New(refusal.RateLimit, "the contracted rate of this kind is used up").After(max(wait, shortestRetry))
	}
	n.running++
	n.peak = max(n.peak, n.running)
	c.room.add(k.Customer, 1)
	return nil
}

// Done ends an admitted request. Took counts when the request was answered.
func (c *Controller) Done(now time.Time, k *contract.Kind, took time.Duration, answered bool) {
	n := c.counter(KindOf(k))
	n.running--
	c.room.add(k.Customer, -1)
	if answered {
		n.latency.Observe(now, took)
	}
}

// Running is the number of admitted requests.
func (c *Controller) Running() int {
	return c.room.running
}

// Usage is what a kind needed since it was last asked for.
func (c *Controller) Usage(now time.Time, kind share.Kind) share.Usage {
	n := c.counter(kind)
	want := float64(n.peak)
	if n.noSlot > 0 {
		// How many more would have run at a time is not known: at most double.
		want += float64(min(n.noSlot, n.peak+1))
	}
	n.wantSlots = max(want, n.wantSlots*usageDecay)
	n.peak, n.noSlot = n.running, 0
	return share.Usage{
		Rate:        n.arrivals.rate(now),
		Concurrency: int(n.wantSlots + 0.5),
		Running:     n.running,
		Ready:       n.bucket.ready(now),
	}
}

// Ready tells whether the rate would let a request in at now.
func (c *Controller) Ready(now time.Time, kind share.Kind) bool {
	return c.counter(kind).bucket.ready(now)
}

// KindOf is the key of a contract's kind.
func KindOf(k *contract.Kind) share.Kind {
	return share.Kind{Customer: k.Customer, Name: k.Name}
}

func (c *Controller) counter(kind share.Kind) *counter {
	n := c.counters[kind]
	if n == nil {
		n = &counter{}
		c.counters[kind] = n
	}
	return n
}

// outOfTime tells whether a deadline shorter than the contract's is below what
// nearly all answers take.
func (n *counter) outOfTime(now time.Time, k *contract.Kind, budget time.Duration) (time.Duration, bool) {
	if budget >= k.Deadline() || n.latency.Weight(now) < enoughAnswers {
		return 0, false
	}
	need := time.Duration(float64(n.latency.Quantile(shortestQuantile)) / bucketWidth)
	if budget >= need {
		return 0, false
	}
	n.tooShort++
	return need, n.tooShort%probeEvery != 0
}

// typical is the time in which a running request makes room.
func (n *counter) typical(k *contract.Kind) time.Duration {
	d := n.latency.Quantile(0.5)
	if d == 0 {
		d = k.Deadline() / 2
	}
	return max(d/time.Duration(max(1, n.running)), shortestRetry)
}
