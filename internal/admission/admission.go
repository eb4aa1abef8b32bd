// Package admission decides whether a caller's request may start: its rate and
// its concurrency within this VM's share of the contract. It is pure: time is
// handed in.
package admission

import (
	"time"

	"golang.org/x/time/rate"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// burstSeconds is how much of the rate an idle kind may use at once.
const burstSeconds = 0.5

// Share is this VM's part of a kind's limits.
type Share struct {
	// Rate is in requests a second.
	Rate        float64
	Concurrency int
}

type key struct{ customer, kind string }

type counter struct {
	limiter *rate.Limiter
	share   Share
	running int
}

// Controller counts the requests of every customer and kind. It is not safe for
// concurrent use.
type Controller struct {
	maxRunning int
	running    int
	counters   map[key]*counter
}

// New admits at most maxRunning requests at a time, over all customers.
func New(maxRunning int) *Controller {
	return &Controller{maxRunning: maxRunning, counters: map[key]*counter{}}
}

// Admit starts a request or says why it may not start. A request that was
// admitted must be ended by Done.
func (c *Controller) Admit(now time.Time, k *contract.Kind, share Share) *refusal.Error {
	if c.running >= c.maxRunning {
		return refusal.New(refusal.Overloaded, "this VM has no room for another query").After(time.Second)
	}
	n := c.counter(now, k, share)
	if n.running >= share.Concurrency {
		return refusal.New(refusal.ConcurrencyLimit, "too many requests of this kind are running").After(k.Deadline() / 2)
	}
	if !n.limiter.AllowN(now, 1) {
		return refusal.New(refusal.RateLimit, "the contracted rate of this kind is used up").After(wait(n.limiter, now))
	}
	n.running++
	c.running++
	return nil
}

// wait is when the limiter has a token again.
func wait(l *rate.Limiter, now time.Time) time.Duration {
	r := l.ReserveN(now, 1)
	defer r.CancelAt(now)
	return r.DelayFrom(now)
}

// Done ends an admitted request.
func (c *Controller) Done(k *contract.Kind) {
	c.running--
	if n := c.counters[key{k.Customer, k.Name}]; n != nil {
		n.running--
	}
}

// Running is the number of admitted requests.
func (c *Controller) Running() int {
	return c.running
}

func (c *Controller) counter(now time.Time, k *contract.Kind, share Share) *counter {
	id := key{k.Customer, k.Name}
	n := c.counters[id]
	if n == nil {
		n = &counter{limiter: rate.NewLimiter(rate.Limit(share.Rate), burst(share.Rate)), share: share}
		c.counters[id] = n
	}
	if n.share != share {
		n.share = share
		n.limiter.SetLimitAt(now, rate.Limit(share.Rate))
		n.limiter.SetBurstAt(now, burst(share.Rate))
	}
	return n
}

func burst(perSecond float64) int {
	return max(1, int(perSecond*burstSeconds))
}
