package replica

import "time"

// State classifies an upstream for logs and metrics. Choose does not use it: it ranks
// upstreams by a continuous cost.
type State int

// States, from best to worst.
const (
	// Usable upstreams answer about as fast as others of their service.
	Usable State = iota
	// Slow upstreams take much longer than expected.
	Slow
	// Paused upstreams have an open send that is far overdue.
	Paused
	// Failing upstreams fail or refuse a large share of their requests.
	Failing
	// Unreachable upstreams accept no connection.
	Unreachable
)

// States lists all states.
var States = []State{Usable, Slow, Paused, Failing, Unreachable}

// String returns the state's name in logs and metrics.
func (s State) String() string {
	return [...]string{"usable", "slow", "paused", "failing", "unreachable"}[s]
}

// The thresholds have hysteresis: an upstream enters a state at one value and leaves it at a
// lower one, so that an upstream near a threshold does not flood the log.
const (
	// enterSlow and leaveSlow are ratios to the expected answer time: an upstream that is
	// twice as slow gets half its share of the requests.
	enterSlow = 2.0
	leaveSlow = 1.5
	// enterFailing and leaveFailing are rates of failures and refusals. One failure adds
	// failureAlpha, so it takes two in short succession to enter.
	enterFailing = 0.6
	leaveFailing = 0.3
	// minPause is the minimum age of the oldest open send of a paused upstream. Pauses of a
	// garbage collector are shorter, and too frequent for one log line each.
	minPause = 400 * time.Millisecond
)

// StateChange is a change of an upstream's state, with the values that it is based on.
type StateChange struct {
	Upstream string
	Was, Is  State
	// Slowness is the ratio of the upstream's answer time to the expected one.
	Slowness float64
	// Failures is the share of recent requests that failed or were refused, 0 to 1.
	Failures float64
	// Open is the number of open sends from this VM.
	Open int
}

// ReclassifyAll classifies all upstreams anew and returns those whose state differs from
// the previous classification.
func (t *Table) ReclassifyAll(now time.Time) []StateChange {
	var out []StateChange
	for id := range t.upstreams {
		if change, ok := t.Reclassify(now, id); ok {
			out = append(out, change)
		}
	}
	return out
}

// Reclassify classifies one upstream anew and reports whether its state differs from the
// previous classification. It returns false for an unknown upstream.
func (t *Table) Reclassify(now time.Time, id string) (StateChange, bool) {
	u := t.upstreams[id]
	if u == nil {
		return StateChange{}, false
	}
	was, is := u.state, u.classify(now)
	u.state = is
	return StateChange{
		Upstream: id,
		Was:      was,
		Is:       is,
		Slowness: u.slowness(now),
		Failures: u.errorRate(now),
		Open:     len(u.open),
	}, was != is
}

// Count returns the number of upstreams by state, as of their last classification.
func (t *Table) Count() map[State]int {
	out := map[State]int{}
	for _, u := range t.upstreams {
		out[u.state]++
	}
	return out
}

// Unhealthy returns the states of the upstreams that are not usable, by id, as of their last
// classification.
func (t *Table) Unhealthy() map[string]State {
	out := map[string]State{}
	for id, u := range t.upstreams {
		if u.state != Usable {
			out[id] = u.state
		}
	}
	return out
}

// classify returns the upstream's state now, given the one it had before.
func (u *upstreamStats) classify(now time.Time) State {
	failing, slow := enterFailing, enterSlow
	if u.state == Failing {
		failing = leaveFailing
	}
	if u.state == Slow {
		slow = leaveSlow
	}
	switch {
	case now.Before(u.downUntil):
		return Unreachable
	case u.errorRate(now) >= failing:
		return Failing
	case u.paused(now) && u.oldestOpen(now) >= minPause:
		return Paused
	case u.slowness(now) >= slow:
		return Slow
	default:
		return Usable
	}
}

// oldestOpen returns the age of the oldest open send, 0 if there is none.
func (u *upstreamStats) oldestOpen(now time.Time) time.Duration {
	var longest time.Duration
	for i := range u.open {
		longest = max(longest, u.open[i].age(now))
	}
	return longest
}
