// Package balance is a model, in virtual time, of services whose copies have slots, queues,
// pauses, noise, refusals, cold starts and lost answers, under queries from several VMs. The
// decisions are those of packages replica, scatter, retrybudget and congestion; connections,
// links and upstreams are modelled. Ways of deciding are played on the same loads and seeds,
// so that a difference between two rows is the way's.
package balance

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
)

// Kind is one kind of queries; each asks all shards.
type Kind struct {
	Name string
	// Share is its part of the queries, 0 to 1.
	Share float64
	// Work is how long an upstream works on a part, in the mean.
	Work time.Duration
	// Objective is the time from which on an answer is late; Deadline when its caller leaves.
	Objective, Deadline time.Duration
	// MinCoverage is the part of the shards that an answer needs.
	MinCoverage float64
	// Priority is 0 for the most urgent.
	Priority int
}

// Pattern is what befalls the upstreams from Begin to End of a run.
type Pattern struct {
	Name string
	// Share is the part of the copies that it befalls.
	Share float64
	// Refuse and Lose are the parts of the requests that a copy refuses with free slots, and
	// whose answers are lost.
	Refuse, Lose float64
	// Slow is how many times as long work takes; 0 for as usual.
	Slow float64
	// Down copies are not reached.
	Down bool
	// Cold copies work as slowly as just after a start.
	Cold bool
	// Load is what is offered, in times of what the upstreams' slots take; 0 for as usual.
	Load float64
}

// usualBusy is the part of the upstreams' slots that the usual load keeps busy.
const usualBusy = 0.08

// Patterns is the loads of the experiment by name.
var Patterns = []Pattern{
	{Name: "quiet"},
	{Name: "refusing", Share: 0.5, Refuse: 0.6},
	{Name: "slow", Share: 0.3, Slow: 4},
	{Name: "losing", Share: 0.5, Lose: 0.1},
	{Name: "down", Share: 0.3, Down: true},
	{Name: "cold", Share: 0.5, Cold: true},
	{Name: "capacity", Load: 1},
	{Name: "twice", Load: 2},
	{Name: "four-times", Load: 4},
	{Name: "eight-times", Load: 8},
	{Name: "half", Load: 0.5},
	{Name: "slow-busy", Share: 0.25, Slow: 4, Load: 1.7 * usualBusy},
}

// PatternNames is the names of all patterns.
func PatternNames() []string {
	var names []string
	for _, p := range Patterns {
		names = append(names, p.Name)
	}
	return names
}

// Options is what is played.
type Options struct {
	VMs, Shards, Copies, Slots int
	Kinds                      []Kind
	// Busy is the part of the upstreams' slots that the usual load keeps busy.
	Busy   float64
	Budget retrybudget.Limit
	// Begin and End of the pattern, and Length of the run.
	Begin, End, Length time.Duration
	Seed               uint64
	Pattern            Pattern
	Ways               Ways
}

// DefaultOptions is a dozen VMs that carry callers, and two kinds of queries over shards of
// three copies.
func DefaultOptions() Options {
	return Options{
		VMs: 12, Shards: 8, Copies: 3, Slots: 2,
		Kinds: []Kind{
			{Name: "sweep", Share: 0.65, Work: 11 * time.Millisecond, Objective: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond, MinCoverage: 0.9, Priority: 1},
			{Name: "check", Share: 0.35, Work: 4 * time.Millisecond, Objective: 120 * time.Millisecond, Deadline: 1500 * time.Millisecond, MinCoverage: 0.8},
		},
		Busy:   usualBusy,
		Budget: retrybudget.Limit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 170},
		Begin:  4 * time.Second, End: 8 * time.Second, Length: 14 * time.Second,
	}
}

// mostUrgent is the priority of the most urgent kind.
func (o *Options) mostUrgent() int {
	least := o.Kinds[0].Priority
	for _, k := range o.Kinds {
		least = min(least, k.Priority)
	}
	return least
}

// rate is the queries a second of the usual load.
func (o *Options) rate() float64 {
	work := 0.0
	for _, k := range o.Kinds {
		work += k.Share * k.Work.Seconds()
	}
	return o.Busy * float64(o.Copies*o.Slots) / work
}
