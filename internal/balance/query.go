package balance

import (
	"math"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
)

const (
	// usualShare is the part of the objective taken for the usual time of a kind that is
	// not known yet, as in package edge.
	usualShare = 0.25
	// answerMargin and giveUpMargin are taken off the objective and the deadline, as in
	// package edge.
	answerMargin = 20 * time.Millisecond
	giveUpMargin = 15 * time.Millisecond
	// lastMargin is how long before the objective an answer can leave and still be in time: one
	// way to a caller at 3 ms, and the wait for the processor.
	lastMargin = 8 * time.Millisecond
	// hedgeRetryInterval is after which time Unconditional tries a refused hedge again.
	hedgeRetryInterval = 25 * time.Millisecond
	// longGrace and shortGrace are waits of late answers.
	longGrace  = 100 * time.Millisecond
	shortGrace = 25 * time.Millisecond
)

// query is one query of a caller at one VM.
type query struct {
	vm    *vm
	kind  *Kind
	began time.Time
	query *scatter.Query
	sends []*send
	// done gets the verdict, once.
	done func(*query, *scatter.Outcome)
	over bool
	// wakeAt is when its next step is planned, zero for none.
	wakeAt time.Time
}

// ask begins a query that came at a time and whose caller leaves at another.
func (v *vm) ask(k *Kind, came, leaves time.Time, done func(*query, *scatter.Outcome)) {
	now := v.model.clock.Now()
	for _, b := range v.budgets {
		b.AddRequest()
	}
	q := &query{vm: v, kind: k, began: came, done: done}
	services := v.model.services
	answerBy := q.answerBy(leaves)
	q.query = scatter.New(scatter.Plan{
		Services: services, Idempotent: true, Attempts: 2, MinParts: k.floor(len(services)),
		AnswerBy: answerBy, LatestInTime: q.latestInTime(answerBy), LateGrace: q.lateGrace(), Deadline: leaves.Add(-giveUpMargin),
	}, q)
	q.step(func() []scatter.Send { return q.query.Start(now) })
}

// answerBy is when an answer leaves without the parts that are late.
func (q *query) answerBy(leaves time.Time) time.Time {
	switch q.vm.model.opts.Ways.Ending {
	case AtFloor:
		return q.began
	case AtDeadline:
		return leaves.Add(-giveUpMargin)
	default:
		return q.began.Add(q.kind.Objective - answerMargin)
	}
}

// latestInTime is the last time at which an answer that should have left at answerBy leaves at
// once.
func (q *query) latestInTime(answerBy time.Time) time.Time {
	last := q.began.Add(q.kind.Objective - lastMargin)
	if q.vm.model.opts.Ways.Late == LongWaitFromAnswerBy || last.Before(answerBy) {
		return answerBy
	}
	return last
}

// lateGrace is how long a late answer waits for the parts beyond its minimum.
func (q *query) lateGrace() time.Duration {
	switch q.vm.model.opts.Ways.Late {
	case ShortWait:
		return shortGrace
	case LongWait, LongWaitFromAnswerBy:
		return longGrace
	default:
		return 0
	}
}

func (q *query) usual() time.Duration {
	return time.Duration(usualShare * float64(q.kind.Objective))
}

// step moves the query on, makes its sends and plans its next step.
func (q *query) step(move func() []scatter.Send) {
	if q.over {
		return
	}
	for _, s := range move() {
		q.send(s)
	}
	if v := q.query.Outcome(); v != nil {
		q.over = true
		q.withdraw(func(*send) bool { return true })
		q.done(q, v)
		return
	}
	q.plan(q.query.Next())
}

// plan has the query wake at a time, unless it does so sooner.
func (q *query) plan(at time.Time) {
	if !q.wakeAt.IsZero() && !at.Before(q.wakeAt) {
		return
	}
	q.wakeAt = at
	clock := q.vm.model.clock
	clock.At(at, func() {
		if !q.wakeAt.Equal(at) {
			return
		}
		q.wakeAt = time.Time{}
		q.step(func() []scatter.Send { return q.query.Tick(clock.Now()) })
	})
}

func (q *query) send(s scatter.Send) {
	v := q.vm
	now := v.model.clock.Now()
	v.sends++
	out := &send{id: v.sends, query: q, part: s.Part, server: v.model.servers[s.Upstream.ID], sentAt: now}
	q.sends = append(q.sends, out)
	v.replicas.Sent(now, q.kind.Name, q.usual(), s.Upstream, out.id, out.waitedFor)
	v.model.countSend(s.Cause)
	v.do(out)
}

// reply takes in how a send ended.
func (q *query) reply(s *send, r scatter.Result, load *connpool.Load, took time.Duration) {
	if q.over {
		return
	}
	s.full = r == scatter.Refused && q.takenForFull(load)
	s.endedAt = q.vm.model.clock.Now()
	q.vm.note(s, r, took)
	n := slices.Index(q.sends, s)
	q.step(func() []scatter.Send { return q.query.Ended(q.vm.model.clock.Now(), n, r) })
	if r == scatter.Answered {
		q.withdraw(func(other *send) bool { return other.part == s.part })
	}
}

// takenForFull tells whether a refusal is taken for want of room.
func (q *query) takenForFull(load *connpool.Load) bool {
	switch q.vm.model.opts.Ways.Refusals {
	case AllFull:
		return true
	case AllFaults:
		return false
	default:
		return load == nil || !load.HasFreeSlot()
	}
}

// withdraw ends the interest in some sends that are open.
func (q *query) withdraw(which func(*send) bool) {
	v := q.vm
	now := v.model.clock.Now()
	for _, s := range q.sends {
		if s.over || !which(s) {
			continue
		}
		v.replicas.Abandoned(now, q.kind.Name, q.usual(), s.server.Upstream, s.id, now.Sub(s.sentAt)-s.waitedFor(now))
		v.observeWithdrawn(s)
		v.withdraw(s)
		v.setWindow(s.server.Upstream)
	}
}

// crowdedParts is how many parts an upstream refused for want of room.
func (q *query) crowdedParts() int {
	crowded := map[int]bool{}
	for _, s := range q.sends {
		if s.full {
			crowded[s.part] = true
		}
	}
	return len(crowded)
}

// heldUpParts is how many parts found no room at an upstream or have waited a quarter of
// the objective for one whose window was closed.
func (q *query) heldUpParts() int {
	now := q.vm.model.clock.Now()
	held := map[int]bool{}
	for _, s := range q.sends {
		if s.full || s.closed && s.waitedFor(now) >= q.kind.Objective/4 {
			held[s.part] = true
		}
	}
	return len(held)
}

// waitedParts is how many parts have waited a quarter of the objective at the VM.
func (q *query) waitedParts() int {
	now := q.vm.model.clock.Now()
	waited := map[int]bool{}
	for _, s := range q.sends {
		if s.waitedFor(now) >= congestion.HeldUpAfter(q.kind.Objective) {
			waited[s.part] = true
		}
	}
	return len(waited)
}

// floor is the least parts of an answer.
func (k *Kind) floor(shards int) int {
	return max(1, int(math.Ceil(k.MinCoverage*float64(shards)-1e-9)))
}

// Choose implements scatter.Policy.
func (q *query) Choose(part int, tried []string) *catalog.Upstream {
	v := q.vm
	candidates := v.model.copies[part]
	switch v.model.opts.Ways.Choice {
	case TwoChoices:
		candidates = q.draw(candidates, tried, 2)
	case AnyCopy:
		candidates = q.draw(candidates, tried, 1)
	}
	ahead := make([]float64, len(candidates))
	for i, u := range candidates {
		ahead[i] = v.ahead(v.pools[u.ID], q.kind.Priority)
	}
	return v.replicas.Choose(v.model.clock.Now(), q.kind.Name, q.usual(), candidates, ahead, tried)
}

// draw is some of the copies that were not tried yet.
func (q *query) draw(candidates []*catalog.Upstream, tried []string, n int) []*catalog.Upstream {
	var left []*catalog.Upstream
	for _, u := range candidates {
		if !slices.Contains(tried, u.ID) {
			left = append(left, u)
		}
	}
	q.vm.rand.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	return left[:min(n, len(left))]
}

// Reachable implements scatter.Policy.
func (q *query) Reachable(part int) bool {
	return q.vm.replicas.Reachable(q.vm.model.clock.Now(), q.vm.model.copies[part])
}

// Spend implements scatter.Policy.
func (q *query) Spend(part int, kind retrybudget.Kind) bool {
	return q.vm.budgets[q.vm.model.services[part]].Spend(q.vm.model.clock.Now(), q.claim(kind))
}

// Busy implements scatter.Policy.
func (q *query) Busy(_ int, u *catalog.Upstream) (bool, time.Duration) {
	v := q.vm
	if v.model.opts.Ways.Hedging == Unconditional || v.ahead(v.pools[u.ID], q.kind.Priority) == 0 {
		return false, 0
	}
	return true, v.replicas.NextAnswer(v.model.clock.Now(), q.kind.Name, q.usual(), u)
}

// HedgeAllowedAt implements scatter.Policy.
func (q *query) HedgeAllowedAt(part int) time.Time {
	now := q.vm.model.clock.Now()
	if q.vm.model.opts.Ways.Hedging == Unconditional {
		return now.Add(hedgeRetryInterval)
	}
	return q.vm.budgets[q.vm.model.services[part]].AllowedAt(now, q.claim(retrybudget.Hedge))
}

// claim is the kind as which an extra send claims budget.
func (q *query) claim(kind retrybudget.Kind) retrybudget.Kind {
	m := q.vm.model
	if kind == retrybudget.Hedge && m.opts.Ways.Claims == ByUrgency && q.kind.Priority > m.opts.mostUrgent() {
		return retrybudget.LessUrgentHedge
	}
	return kind
}

// HedgeDelay implements scatter.Policy.
func (q *query) HedgeDelay(_ int, u *catalog.Upstream) time.Duration {
	if q.vm.model.opts.Ways.Hedging == Never {
		return q.kind.Deadline
	}
	return q.vm.replicas.HedgeDelay(q.vm.model.clock.Now(), q.kind.Name, q.usual(), q.kind.Objective-answerMargin, u)
}
