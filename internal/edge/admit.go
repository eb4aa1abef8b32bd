package edge

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/routing"
)

const (
	// schedulingWaits is how often a request waits for the processor: when it is read, when
	// its parts are sent, when most replies have arrived, and when the answer is written.
	schedulingWaits = 4
	// tolerableDelay is the scheduling delay up to which a process counts as healthy,
	// whatever the objective.
	tolerableDelay = 20 * time.Millisecond
	// queuedCallerCheckInterval is how often a query that waits for a place checks that its
	// caller is still connected. It is well below a quarter of the shortest objectives.
	queuedCallerCheckInterval = 10 * time.Millisecond
)

// place is a query's place under the limit of its shards.
type place struct {
	group *congestion.Group
	query *congestion.Query
	// decided receives whether a waiting query got a place. It has room for the decision,
	// which is made at most once.
	decided chan bool
}

// admitQuery gives a query a place under the limit of its shards, if need be after a short
// wait: beyond the limit most queries would lose a shard, and the work for their other shards
// would be wasted. Without a place it returns the answer for the caller.
func (e *Engine) admitQuery(v *catalog.View, r *Request) (*place, Answer) {
	p, decision := e.askPlace(v, r)
	if decision == congestion.Waiting {
		outcome := e.awaitPlace(p, r)
		e.opts.Metrics.waitEnded(outcome)
		switch outcome {
		case waitAdmitted:
			decision = congestion.Admitted
		case waitCallerGone:
			return nil, Answer{Reason: CallerGone, NotRun: true}
		default:
			decision = congestion.Refused
		}
	}
	if decision == congestion.Refused {
		return nil, refuse(Congested, e.congestedRetryAfter(p))
	}
	if r.returning {
		e.opts.Metrics.returningAdmitted(p.query.Priority)
	}
	return p, Answer{}
}

// askPlace asks for a place without waiting.
func (e *Engine) askPlace(v *catalog.View, r *Request) (*place, congestion.Decision) {
	p := &place{decided: make(chan bool, 1), query: &congestion.Query{
		Route: r.Route.Name, Priority: priorityClass(r.Route.Priority), Arrived: r.Received, Objective: r.Route.Objective, Deadline: r.Deadline,
	}}
	if p.query.Objective > 0 {
		p.query.Objective = objective(r.Route)
	}
	e.mu.Lock()
	p.group = e.limiter(v, r.Route)
	decision := p.group.Ask(e.now(), p.query)
	if decision == congestion.Waiting {
		e.waiting[p.query] = p
	}
	e.mu.Unlock()
	r.returning = p.query.Returning
	return p, decision
}

// waitOutcome is how the wait of a query for a place ended.
type waitOutcome string

const (
	waitAdmitted   waitOutcome = "admitted"
	waitRefused    waitOutcome = "refused"
	waitCallerGone waitOutcome = "caller_gone"
)

// awaitPlace waits until a query gets a place, its time to wait is over or its caller leaves.
func (e *Engine) awaitPlace(p *place, r *Request) waitOutcome {
	began := e.now()
	defer func() { r.queued = e.now().Sub(began) }()
	limit := e.after(p.query.WaitUntil().Sub(began))
	stopping := e.stop.begun
	for {
		select {
		case <-stopping:
			stopping = nil
			limit = e.after(min(p.query.WaitUntil().Sub(e.now()), e.stopLimits(r.Route).LastSend.Sub(e.now())))
		case admitted := <-p.decided:
			if !admitted {
				return waitRefused
			}
			return waitAdmitted
		case <-limit:
			return e.leaveQueue(p, waitRefused)
		case <-e.after(queuedCallerCheckInterval):
			if r.callerGone() {
				return e.leaveQueue(p, waitCallerGone)
			}
		}
	}
}

// leaveQueue ends the wait of a query with the given outcome. If the query has just got a
// place, it is admitted instead, and its run notices whether the caller has left.
func (e *Engine) leaveQueue(p *place, outcome waitOutcome) waitOutcome {
	e.mu.Lock()
	left := p.group.Leave(p.query)
	delete(e.waiting, p.query)
	e.mu.Unlock()
	if !left && <-p.decided {
		return waitAdmitted
	}
	return outcome
}

// congestedRetryAfter returns when the caller of a query refused for congestion may retry.
func (e *Engine) congestedRetryAfter(p *place) time.Duration {
	random := e.randomFloat()
	e.opts.Metrics.admissionRefused(p.query.Priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	return p.group.RetryAfter(e.now(), p.query, random)
}

// endQuery gives back the place of a query that has ended and wakes the waiting queries that
// this decides.
func (e *Engine) endQuery(p *place, r *Request, a *Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if a.Reason == CallerGone {
		e.tellDecided(p.group.Abandon(now, p.query))
		return
	}
	shards := len(r.Route.Shards)
	e.tellDecided(p.group.Done(now, p.query, congestion.Outcome{
		Shards: shards, RefusedShards: a.CongestedParts, HeldUpShards: a.HeldUpParts, Expendable: shards - minParts(r.Route),
		Late: now.Sub(r.Received) > objective(r.Route),
	}))
}

// tellDecided wakes the requests whose wait for a place has ended. The caller holds mu; the
// channels have room, so that no send blocks.
func (e *Engine) tellDecided(verdicts []congestion.Verdict) {
	for _, d := range verdicts {
		e.waiting[d.Query].decided <- d.Decision == congestion.Admitted
		delete(e.waiting, d.Query)
	}
}

// limiter returns the limits of a route's shards. The caller holds mu.
func (e *Engine) limiter(v *catalog.View, route *routing.Route) *congestion.Group {
	g := e.limiters[route.Shards[0]]
	if g == nil {
		g = congestion.NewGroup(e.limitPolicy(v, route.Shards))
		e.limiters[route.Shards[0]] = g
	}
	return g
}

// limitPolicy returns the policy of the limits of some shards: the classes of all VMs divide the
// initial limit. Outcomes of queries with few shards do not adjust a limit, so that it must not
// begin low.
func (e *Engine) limitPolicy(v *catalog.View, shards []string) congestion.Policy {
	policy := congestion.DefaultPolicy()
	slots := minShardSlots(v, shards)
	if len(shards) < policy.MinShards {
		return policy.WithSlots(slots)
	}
	return policy.WithSlots(e.ownSlots(slots)).WithClasses(classesOf(v, shards[0]))
}

// ownSlots returns this VM's share of slots that all VMs use: each VM that callers are
// directed to starts with as many queries as keep its share busy.
func (e *Engine) ownSlots(slots int) int {
	vms := max(1, e.shares.Load().IngressVMs)
	return (slots + vms - 1) / vms
}

// classesOf returns how many priority classes the queries over a shard have.
func classesOf(v *catalog.View, first string) int {
	classes := map[pb.Priority]bool{}
	if v.Config != nil {
		for i := range v.Config.Routes {
			if r := &v.Config.Routes[i]; r.FanOut() && r.Shards[0] == first {
				classes[priorityClass(r.Priority)] = true
			}
		}
	}
	return len(classes)
}

// minShardSlots returns the slots of the shard that has the fewest, among the shards that
// have an upstream, or 0 if none has.
func minShardSlots(v *catalog.View, shards []string) int {
	least := 0
	for _, shard := range shards {
		slots := 0
		for _, u := range v.Services[shard] {
			slots += max(1, u.Slots)
		}
		if slots > 0 && (least == 0 || slots < least) {
			least = slots
		}
	}
	return least
}

// priorityClass maps a route's priority, of which 0 is the most urgent, to its class.
func priorityClass(priority int) pb.Priority {
	switch {
	case priority <= 0:
		return pb.Priority_HIGH
	case priority == 1:
		return pb.Priority_NORMAL
	default:
		return pb.Priority_LOW
	}
}

// cannotMeetObjective reports whether the scheduling delay of this process is so high that
// it cannot meet the route's objective: a request waits for the processor several times.
// Such a request is refused at once, while another VM can still serve it in time.
func (e *Engine) cannotMeetObjective(route *routing.Route) bool {
	delay := time.Duration(e.schedulingDelay.Load())
	return delay > tolerableDelay && delay*schedulingWaits > objective(route)
}

// SetSchedulingDelay sets how late the operating system wakes this process.
func (e *Engine) SetSchedulingDelay(delay time.Duration) { e.schedulingDelay.Store(int64(delay)) }
