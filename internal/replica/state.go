package replica

import "time"

// State is what an upstream counts as, for logs and metrics. Choices go by its
// cost, which has no steps.
type State int

// States, from the best to the worst.
const (
	// Usable upstreams answer about as fast as others of their service.
	Usable State = iota
	// Slow ones take much longer than usual.
	Slow
	// Paused ones have an open request that is overdue by far.
	Paused
	// Failing ones answer a good part of their requests with failures.
	Failing
	// Unreachable ones accept no connection.
	Unreachable
)

// States is all of them.
var States = []State{Usable, Slow, Paused, Failing, Unreachable}

// String is the state's name in logs and metrics.
func (s State) String() string {
	return [...]string{"usable", "slow", "paused", "failing", "unreachable"}[s]
}

// An upstream enters a state at one bound and leaves it at a lower one, so that
// one that is near a bound does not fill the log.
const (
	// slowFrom and slowUntil are times the usual answer time: twice as slow
	// halves an upstream's share of the requests.
	slowFrom  = 2.0
	slowUntil = 1.5
	// failingFrom and failingUntil are shares of failures: one failure weighs
	// faultShare, so that it takes two that are close together.
	failingFrom  = 0.6
	failingUntil = 0.3
	// pausedFrom is how long the oldest open request must have waited: pauses of
	// a garbage collector are over before, and too frequent for a line each.
	pausedFrom = 400 * time.Millisecond
)

// StateChange is a change of an upstream's state and the grounds for it.
type StateChange struct {
	Upstream string
	Was, Is  State
	// Slowness is the answer time against the usual one.
	Slowness float64
	// Failures is the share of recent requests that failed, 0 to 1.
	Failures float64
	// Open is the requests under way from this VM.
	Open int
}

// StateChanges gives the upstreams whose state has changed since it was last asked.
func (t *Table) StateChanges(now time.Time) []StateChange {
	var out []StateChange
	for id := range t.upstreams {
		if turn, ok := t.StateChanged(now, id); ok {
			out = append(out, turn)
		}
	}
	return out
}

// StateChanged gives the change of one upstream's state since it was last asked; false
// without one, and for an upstream that is not known.
func (t *Table) StateChanged(now time.Time, id string) (StateChange, bool) {
	u := t.upstreams[id]
	if u == nil {
		return StateChange{}, false
	}
	was, is := u.state, u.judge(now)
	u.state = is
	return StateChange{
		Upstream: id,
		Was:      was,
		Is:       is,
		Slowness: u.slowness(now),
		Failures: u.failing(now),
		Open:     len(u.open),
	}, was != is
}

// Count is how many upstreams are in each state, as last judged.
func (t *Table) Count() map[State]int {
	out := map[State]int{}
	for _, u := range t.upstreams {
		out[u.state]++
	}
	return out
}

// Troubled is the upstreams that are not usable, as last judged.
func (t *Table) Troubled() map[string]State {
	out := map[string]State{}
	for id, u := range t.upstreams {
		if u.state != Usable {
			out[id] = u.state
		}
	}
	return out
}

func (u *upstream) judge(now time.Time) State {
	failing, slow := failingFrom, slowFrom
	if u.state == Failing {
		failing = failingUntil
	}
	if u.state == Slow {
		slow = slowUntil
	}
	switch {
	case now.Before(u.downUntil):
		return Unreachable
	case u.failing(now) >= failing:
		return Failing
	case u.paused(now) && u.oldest(now) >= pausedFrom:
		return Paused
	case u.slowness(now) >= slow:
		return Slow
	default:
		return Usable
	}
}

// oldest is how long the oldest open request has waited.
func (u *upstream) oldest(now time.Time) time.Duration {
	var longest time.Duration
	for i := range u.open {
		longest = max(longest, u.open[i].age(now))
	}
	return longest
}
