package congestion

import (
	"math"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

const (
	// heldUpShare is the share of a query's objective that a part may wait at the VM before
	// it counts as held up, and that a query may wait for a place.
	heldUpShare = 0.25
	// maxWaiting bounds the queries of one class that wait for a place. The expected wait
	// is the usual bound; this one holds before the first query has ended.
	maxWaiting = 64
	// yieldPeriod is how long a refusal of a class keeps less urgent classes from being
	// refused less often.
	yieldPeriod = time.Second
	// minYieldEvidence is how many recent queries of a class its share of refusals must rest on
	// before less urgent classes yield to it.
	minYieldEvidence = 5
	// maxPromises bounds the promised returns that are remembered. Retry-After has reached its
	// upper bound long before.
	maxPromises = 1024
	// promiseGrace is how long after its due time a promised return counts as still to come.
	promiseGrace = 500 * time.Millisecond
	// retryDeadlineShare is the share of their remaining time up to which callers honour
	// Retry-After.
	retryDeadlineShare = 1.0 / 3
	// retrySpread is the least retry time as a share of the longest, among callers that are
	// refused at the same time.
	retrySpread = 0.6
	// retryMargin allows for an expected time until there is room that is too short.
	retryMargin = 1.25
)

// HeldUpAfter returns how long a part of a query with the given objective may wait at the VM
// before it counts as held up.
func HeldUpAfter(objective time.Duration) time.Duration {
	return time.Duration(heldUpShare * float64(objective))
}

// Query is a query that asks a Group for a place. The caller sets the exported fields.
type Query struct {
	Route    string
	Priority pb.Priority
	Arrived  time.Time
	// Objective is the time from Arrived within which the answer is due. A query without an
	// objective (0) does not wait for a place.
	Objective time.Duration
	// Deadline is how long the caller waits from Arrived; 0 if that is not known.
	Deadline time.Duration
	// Returning is set by Ask. It says that the caller has less time left than is usual for
	// the route, so that this is its second try.
	Returning bool

	class      *class
	admittedAt time.Time
	item       dispatch.Item
}

// WaitUntil returns when the query is refused if it has no place by then.
func (q *Query) WaitUntil() time.Time { return q.Arrived.Add(HeldUpAfter(q.Objective)) }

// due returns when the answer is due.
func (q *Query) due() time.Time {
	if q.Deadline > 0 {
		return q.Arrived.Add(min(q.Objective, q.Deadline))
	}
	return q.Arrived.Add(q.Objective)
}

// Decision is the result of asking for a place.
type Decision int

const (
	// Refused: the query must not run. RetryAfter gives the time for its caller.
	Refused Decision = iota
	// Admitted: the query has a place, which it gives back with Done or Abandon.
	Admitted
	// Waiting: the query is decided by a later Verdict, or leaves the queue with Leave.
	Waiting
)

// Verdict decides a query that was waiting.
type Verdict struct {
	Query    *Query
	Decision Decision
}

// Group limits the concurrent queries of the routes that share shards. Each priority class
// has a limit of its own, so that congestion of a less urgent class does not refuse a more
// urgent one. Queries wait a short time for a place. A Group is not safe for concurrent use.
type Group struct {
	policy Policy
	// classes holds the classes seen so far, the most urgent first.
	classes []*class
	// usual is the largest recent deadline of each route.
	usual  map[string]*recentMax
	serial uint64
}

// class is one priority class of a Group.
type class struct {
	priority pb.Priority
	limiter  *Limiter
	// queue holds the waiting queries by the time left.
	queue   *dispatch.Queue
	waiting map[uint64]*Query
	// promises holds the due times of the retries that callers were told to make, in order.
	promises       []time.Time
	asked, refused decayed
	lastRefusal    time.Time
}

// NewGroup returns a Group whose limits start at the policy's initial limit.
func NewGroup(p Policy) *Group {
	return &Group{policy: p, usual: map[string]*recentMax{}}
}

func (g *Group) class(p pb.Priority) *class {
	i, found := slices.BinarySearchFunc(g.classes, p, func(c *class, p pb.Priority) int { return int(p) - int(c.priority) })
	if !found {
		c := &class{priority: p, limiter: New(g.policy), queue: dispatch.New(dispatch.Options{MaxQueue: maxWaiting}), waiting: map[uint64]*Query{}}
		g.classes = slices.Insert(g.classes, i, c)
	}
	return g.classes[i]
}

// Ask decides an arriving query.
func (g *Group) Ask(now time.Time, q *Query) Decision {
	c := g.class(q.Priority)
	q.class = c
	q.Returning = g.returning(now, q)
	c.asked.add(now)
	c.dropLapsed(now)
	if q.Returning {
		c.redeem()
	}
	switch {
	case g.yields(now, c):
		return Refused
	case c.hasPlace():
		c.queue.Start()
		c.admit(now, q)
		return Admitted
	case g.enqueue(now, q):
		return Waiting
	default:
		return Refused
	}
}

// yields reports whether a class must refuse because a more urgent one has refused a larger
// share of its queries within yieldPeriod. A smaller fixed fraction of the limit would not
// keep the order: the limits of the classes adapt separately, and the loads of the classes
// differ. A class without a running query does not yield.
func (g *Group) yields(now time.Time, c *class) bool {
	if c.limiter.running == 0 {
		return false
	}
	for _, u := range g.classes {
		if u == c {
			return false
		}
		if now.Sub(u.lastRefusal) <= yieldPeriod && u.asked.value(now) >= minYieldEvidence && u.refusedShare(now) > c.refusedShare(now) {
			return true
		}
	}
	return false
}

// enqueue lets a query wait if it is expected to get a place within its limit and then to be
// in time.
func (g *Group) enqueue(now time.Time, q *Query) bool {
	c := q.class
	if q.Objective <= 0 || c.queue.Len() >= maxWaiting {
		return false
	}
	g.serial++
	q.item = dispatch.Item{Key: dispatch.Key{ID: g.serial}, Priority: q.Priority, Arrived: q.Arrived, Deadline: q.due()}
	c.queue.SetSlots(c.places())
	wait := c.queue.ExpectedWait(&q.item) + c.untilBelowLimit()
	start := now.Add(wait)
	if start.After(q.WaitUntil()) || start.Add(c.queue.ServiceTime()).After(q.due()) {
		return false
	}
	if refusal, _ := c.queue.Push(now, &q.item); refusal != nil {
		return false
	}
	c.waiting[g.serial] = q
	return true
}

// Done ends an admitted query and returns the waiting queries that are decided by it.
func (g *Group) Done(now time.Time, q *Query, o Outcome) []Verdict {
	o.Priority = q.Priority
	q.class.limiter.Done(now, q.admittedAt, o)
	q.class.queue.Done(now.Sub(q.admittedAt), false)
	return g.decide(now)
}

// Abandon ends an admitted query without adjusting the limit. It returns the waiting queries
// that are decided by it.
func (g *Group) Abandon(now time.Time, q *Query) []Verdict {
	q.class.limiter.Abandon()
	q.class.queue.Release()
	return g.decide(now)
}

// Leave removes a waiting query, whose time to wait is over or whose caller has left. It
// returns false if the query has been decided.
func (g *Group) Leave(q *Query) bool {
	c := q.class
	if c.waiting[q.item.Key.ID] != q {
		return false
	}
	c.queue.Cancel(q.item.Key)
	delete(c.waiting, q.item.Key.ID)
	return true
}

// decide gives free places to waiting queries, those of the most urgent class first.
func (g *Group) decide(now time.Time) []Verdict {
	var out []Verdict
	for _, c := range g.classes {
		c.dropLapsed(now)
		for c.queue.Len() > 0 {
			c.queue.SetSlots(c.places())
			next, late := c.queue.Pop(now)
			for _, r := range late {
				out = append(out, Verdict{Query: c.take(r.Item)})
			}
			if next == nil {
				break
			}
			q := c.take(next)
			c.admit(now, q)
			out = append(out, Verdict{Query: q, Decision: Admitted})
		}
	}
	return out
}

// RetryAfter records the refusal of a query and returns when its caller should retry: the
// expected time until there is room for it behind the waiting queries and the retries
// promised before. random, in [0, 1), spreads callers that are refused together. It returns
// 0 if the caller has no time left.
func (g *Group) RetryAfter(now time.Time, q *Query, random float64) time.Duration {
	c := g.class(q.Priority)
	c.refused.add(now)
	c.lastRefusal = now
	c.dropLapsed(now)
	longest := maxRetryAfter
	if q.Deadline > 0 {
		left := q.Deadline - now.Sub(q.Arrived)
		longest = max(0, min(longest, time.Duration(retryDeadlineShare*float64(left))))
	}
	high := min(longest, max(c.limiter.RetryAfter(now), time.Duration(retryMargin*float64(g.untilRoom(now, c)))))
	low := min(high, max(minRetryAfter, time.Duration(retrySpread*float64(high))))
	after := low + time.Duration(random*float64(high-low))
	if !q.Returning && after > 0 {
		c.promise(now.Add(after))
	}
	return after
}

// untilRoom returns the expected time until a class has room for one more query. It is not
// below that of a more urgent class that has refused lately, so that the more urgent callers
// return first.
func (g *Group) untilRoom(now time.Time, c *class) time.Duration {
	longest := time.Duration(0)
	for _, u := range g.classes {
		if u == c || now.Sub(u.lastRefusal) <= yieldPeriod {
			longest = max(longest, u.untilRoom())
		}
		if u == c {
			break
		}
	}
	return longest
}

// Limits calls visit with the limit of each class.
func (g *Group) Limits(visit func(p pb.Priority, limit float64)) {
	for _, c := range g.classes {
		visit(c.priority, c.limiter.Limit())
	}
}

// RetainRoutes drops the state of routes that are not in use.
func (g *Group) RetainRoutes(inUse map[string]bool) {
	for route := range g.usual {
		if !inUse[route] {
			delete(g.usual, route)
		}
	}
}

func (c *class) admit(now time.Time, q *Query) {
	c.limiter.running++
	q.admittedAt = now
}

// take removes and returns the query of an item that has left the queue.
func (c *class) take(it *dispatch.Item) *Query {
	q := c.waiting[it.Key.ID]
	delete(c.waiting, it.Key.ID)
	return q
}

// hasPlace reports whether a query may run at once. It does not overtake those that wait.
//
// Callers that return after a refusal have no preference. Their queries are late in any case, and
// under a lasting overload each place that is kept for them makes a new query late as well.
func (c *class) hasPlace() bool {
	return c.queue.Len() == 0 && c.limiter.running < c.places()
}

// places returns how many queries of the class may run.
func (c *class) places() int { return c.limiter.places(c.priority) }

// promise records that a caller was told to retry at the given time.
func (c *class) promise(at time.Time) {
	if len(c.promises) >= maxPromises {
		return
	}
	i, _ := slices.BinarySearchFunc(c.promises, at, time.Time.Compare)
	c.promises = slices.Insert(c.promises, i, at)
}

// redeem drops the earliest promise, for a caller that has returned. Callers return to any
// VM, so those that return here stand for those that were told to by this VM.
func (c *class) redeem() {
	if len(c.promises) > 0 {
		c.promises = slices.Delete(c.promises, 0, 1)
	}
}

// dropLapsed drops the promises whose callers have not returned in time.
func (c *class) dropLapsed(now time.Time) {
	n := 0
	for n < len(c.promises) && now.Sub(c.promises[n]) > promiseGrace {
		n++
	}
	c.promises = slices.Delete(c.promises, 0, n)
}

// untilRoom returns the expected time until the waiting queries, the promised returns and
// one more have had a place.
func (c *class) untilRoom() time.Duration {
	ahead := float64(c.queue.Len() + len(c.promises) + 1)
	return c.untilBelowLimit() + time.Duration(ahead*float64(c.queue.ServiceTime())/float64(c.limiter.places(c.priority)))
}

// untilBelowLimit returns the expected time until the queries that run above a lowered limit
// have ended.
func (c *class) untilBelowLimit() time.Duration {
	excess := float64(max(0, c.limiter.running-c.limiter.places(c.priority)))
	return time.Duration(excess * float64(c.queue.ServiceTime()) / float64(max(1, c.limiter.running)))
}

func (c *class) refusedShare(now time.Time) float64 {
	if asked := c.asked.value(now); asked > 0 {
		return c.refused.value(now) / asked
	}
	return 0
}

// decayHalfLife is the age at which an event counts half in a decayed count.
const decayHalfLife = time.Second

// decayed counts events by age.
type decayed struct {
	count float64
	at    time.Time
}

func (d *decayed) value(now time.Time) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp2(-now.Sub(d.at).Seconds()/decayHalfLife.Seconds())
}

func (d *decayed) add(now time.Time) {
	d.count = d.value(now) + 1
	d.at = now
}

const (
	// usualPeriod is how long the largest deadline of a route is remembered at least.
	usualPeriod = 10 * time.Second
	// returnMargin and returnShare are how far below the usual deadline of its route a
	// deadline shows a second try: less than the shortest Retry-After, whether that is
	// minRetryAfter or a share of a short deadline.
	returnMargin = 200 * time.Millisecond
	returnShare  = 0.25
)

// returning reports whether a query is its caller's second try.
func (g *Group) returning(now time.Time, q *Query) bool {
	if q.Deadline <= 0 {
		return false
	}
	m := g.usual[q.Route]
	if m == nil {
		m = &recentMax{}
		g.usual[q.Route] = m
	}
	usual := m.observe(now, q.Deadline)
	return q.Deadline <= usual-min(returnMargin, time.Duration(returnShare*float64(usual)))
}

// recentMax is the largest duration seen in this period of usualPeriod and the one before.
type recentMax struct {
	current, previous time.Duration
	since             time.Time
}

// observe takes in a duration and returns the largest.
func (m *recentMax) observe(now time.Time, d time.Duration) time.Duration {
	if age := now.Sub(m.since); age > usualPeriod {
		m.previous = m.current
		if age > 2*usualPeriod {
			m.previous = 0
		}
		m.current, m.since = 0, now
	}
	m.current = max(m.current, d)
	return max(m.current, m.previous)
}
