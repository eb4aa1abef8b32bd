package sendlimit

import (
	"math"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	// minAnswers is the number of answers before an unloaded time is known.
	minAnswers = 8
	// lowRank is the rank of the low quantile among the last minAnswers answers. The
	// shortest one may be a request with exceptionally little work.
	lowRank = 1
	// rise is the relative increase of an unloaded time per second without a lower
	// quantile. It follows the time and not the answers: under load many answers come in a
	// second, and the unloaded time would soon include the queue.
	rise = 0.02
	// maxUnloaded is above the objective of any route.
	maxUnloaded = time.Hour
)

// unloaded is the unloaded answer time of one route at one distance.
type unloaded struct {
	// last holds the times of the latest answers, next is the position of the oldest one.
	last  [minAnswers]time.Duration
	next  int
	count int
	// time is the unloaded time as of at.
	time time.Duration
	at   time.Time
}

// Unloaded holds the answer times of routes without a queue at the upstream, by distance. It
// is not safe for concurrent use.
type Unloaded struct {
	routes map[string]*[locality.Distances]unloaded
}

// NewUnloaded returns an Unloaded without answers.
func NewUnloaded() *Unloaded {
	return &Unloaded{routes: map[string]*[locality.Distances]unloaded{}}
}

// Observe records the time of an answer.
func (u *Unloaded) Observe(now time.Time, route string, d locality.Distance, took time.Duration) {
	r := u.routes[route]
	if r == nil {
		r = &[locality.Distances]unloaded{}
		u.routes[route] = r
	}
	r[d].observe(now, took)
}

func (o *unloaded) observe(now time.Time, took time.Duration) {
	o.last[o.next] = took
	o.next = (o.next + 1) % minAnswers
	if o.count++; o.count < minAnswers {
		return
	}
	sorted := o.last
	slices.Sort(sorted[:])
	low := sorted[lowRank]
	if o.count > minAnswers {
		low = min(low, o.after(now))
	}
	o.time, o.at = low, now
}

// after returns the unloaded time as of now, at most maxUnloaded: without a bound the time
// would overflow after some twenty minutes without an answer.
func (o *unloaded) after(now time.Time) time.Duration {
	return time.Duration(min(float64(o.time)*math.Pow(1+rise, now.Sub(o.at).Seconds()), float64(maxUnloaded)))
}

// Time returns the unloaded time of a route at a distance, and false while there are too few
// answers.
func (u *Unloaded) Time(now time.Time, route string, d locality.Distance) (time.Duration, bool) {
	r := u.routes[route]
	if r == nil || r[d].count < minAnswers {
		return 0, false
	}
	return r[d].after(now), true
}

// Retain drops the routes that are not in known.
func (u *Unloaded) Retain(known map[string]bool) {
	for name := range u.routes {
		if !known[name] {
			delete(u.routes, name)
		}
	}
}
