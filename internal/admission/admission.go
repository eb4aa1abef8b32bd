// Package admission decides whether a caller's request may start, before any
// work is spent on it. It checks the deadline against recent latencies, the
// rate and concurrency against this VM's share of the contract, and the
// customer's part of the VM's capacity. The package is pure: callers pass the
// time in.
package admission

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/latency"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

const (
	// burstWindowSeconds is the period whose requests, at the contracted rate,
	// may start at once after an idle period.
	burstWindowSeconds = 0.5
	// minDeadlineQuantile is the latency quantile that a caller's own deadline
	// must reach: nine of ten answers take longer.
	minDeadlineQuantile = 0.1
	// minLatencySamples is the number of recent answers needed before a
	// deadline is checked against them.
	minLatencySamples = 20
	// quantileError is the factor by which the tracker may overestimate a
	// quantile.
	quantileError = 1.2
	// probeEvery is the interval, in requests with too short a deadline, at
	// which one is admitted all the same. Without these probes the VM could not
	// detect that a kind became faster.
	probeEvery = 20
	// minRetryAfter is the shortest retry delay in a refusal.
	minRetryAfter = 5 * time.Millisecond
	// overloadRetryAfter is the retry delay in a refusal by a VM without
	// capacity.
	overloadRetryAfter = 500 * time.Millisecond
)

// LimitOf returns the whole limit of a kind. After an idle period a kind may
// start as many requests at once as its concurrency, or half a second of its
// rate, whichever is more.
func LimitOf(k *contract.Kind) share.Amount {
	return share.Amount{
		Rate:        k.RatePerSecond,
		Burst:       max(int(k.Concurrency), int(k.RatePerSecond*burstWindowSeconds)),
		Concurrency: int(k.Concurrency),
	}
}

// Controller tracks the requests of every customer and kind. It is not safe for
// concurrent use.
type Controller struct {
	capacity capacity
	kinds    map[share.Kind]*kindState
}

// kindState is the state of one kind.
type kindState struct {
	bucket         bucket
	running        int
	latency        latency.Tracker
	shortDeadlines int
	arrivals       arrivalRate
	peakRunning    int
	slotRefusals   int
	slotDemand     float64
}

// New returns a Controller that admits at most maxRunning concurrent requests
// over all customers.
func New(maxRunning int) *Controller {
	return &Controller{capacity: newCapacity(maxRunning), kinds: map[share.Kind]*kindState{}}
}

// SetWeights sets the customers that this VM serves and divides its capacity
// between them by weight.
func (c *Controller) SetWeights(weights map[string]int) {
	c.capacity.setWeights(weights)
}

// SetShare puts a kind's share into effect at now.
func (c *Controller) SetShare(now time.Time, kind share.Kind, s share.Share) {
	c.state(kind).bucket.set(now, s)
}

// Remove discards the state of a kind unless requests of it are running.
func (c *Controller) Remove(kind share.Kind) {
	if state := c.kinds[kind]; state != nil && state.running == 0 {
		delete(c.kinds, kind)
	}
}

// Admit starts a request or returns why it may not start. Budget is the time
// left until the caller's deadline. Every admitted request must be ended with
// Done. A refused request consumes no capacity: the rate token is taken last.
func (c *Controller) Admit(now time.Time, k *contract.Kind, budget time.Duration) *refusal.Error {
	state := c.state(KindOf(k))
	state.arrivals.count++
	if need, ok := state.deadlineTooShort(now, k, budget); ok {
		return refusal.New(refusal.DeadlineTooShort, "answers of this kind lately took at least "+need.String()).WithRetryAfter(need)
	}
	if state.running >= state.bucket.share.At(now).Concurrency {
		state.slotRefusals++
		return refusal.New(refusal.ConcurrencyLimit, "too many requests of this kind are running").WithRetryAfter(state.expectedSlotWait(k))
	}
	if !c.capacity.admits(k.Customer, k.Priority) {
		return refusal.New(refusal.Overloaded, "this VM has no room for another query of this customer").WithRetryAfter(overloadRetryAfter)
	}
	if wait, ok := state.bucket.take(now); !ok {
		return refusal.New(refusal.RateLimit, "the contracted rate of this kind is used up").WithRetryAfter(max(wait, minRetryAfter))
	}
	state.running++
	state.peakRunning = max(state.peakRunning, state.running)
	c.capacity.add(k.Customer, 1)
	return nil
}

// Done ends an admitted request. The latency took is recorded only if the
// request was answered.
func (c *Controller) Done(now time.Time, k *contract.Kind, took time.Duration, answered bool) {
	state := c.state(KindOf(k))
	state.running--
	c.capacity.add(k.Customer, -1)
	if answered {
		state.latency.Observe(now, took)
	}
}

// Running returns the number of admitted requests in progress.
func (c *Controller) Running() int {
	return c.capacity.running
}

// Usage returns the demand of a kind since the previous call.
func (c *Controller) Usage(now time.Time, kind share.Kind) share.Usage {
	state := c.state(kind)
	want := float64(state.peakRunning)
	if state.slotRefusals > 0 {
		// The concurrency of the refused requests is unknown. The estimate at
		// most doubles the peak and adds one.
		want += float64(min(state.slotRefusals, state.peakRunning+1))
	}
	state.slotDemand = max(want, state.slotDemand*slotDemandDecay)
	state.peakRunning, state.slotRefusals = state.running, 0
	return share.Usage{
		Rate:           state.arrivals.rate(now),
		Concurrency:    int(state.slotDemand + 0.5),
		Running:        state.running,
		TokenAvailable: state.bucket.ready(now),
	}
}

// TokenAvailable reports whether the rate admits a request at now.
func (c *Controller) TokenAvailable(now time.Time, kind share.Kind) bool {
	return c.state(kind).bucket.ready(now)
}

// KindOf returns the key of a contract's kind.
func KindOf(k *contract.Kind) share.Kind {
	return share.Kind{Customer: k.Customer, Name: k.Name}
}

func (c *Controller) state(kind share.Kind) *kindState {
	state := c.kinds[kind]
	if state == nil {
		state = &kindState{}
		c.kinds[kind] = state
	}
	return state
}

// deadlineTooShort reports whether a deadline shorter than the contract's is
// less than nearly all answers take, and returns the time they need. Every
// probeEvery-th such request passes as a probe.
func (s *kindState) deadlineTooShort(now time.Time, k *contract.Kind, budget time.Duration) (time.Duration, bool) {
	if budget >= k.Deadline() || s.latency.Weight(now) < minLatencySamples {
		return 0, false
	}
	need := time.Duration(float64(s.latency.Quantile(minDeadlineQuantile)) / quantileError)
	if budget >= need {
		return 0, false
	}
	s.shortDeadlines++
	return need, s.shortDeadlines%probeEvery != 0
}

// expectedSlotWait estimates when one of the running requests frees its slot.
func (s *kindState) expectedSlotWait(k *contract.Kind) time.Duration {
	d := s.latency.Quantile(0.5)
	if d == 0 {
		d = k.Deadline() / 2
	}
	return max(d/time.Duration(max(1, s.running)), minRetryAfter)
}
