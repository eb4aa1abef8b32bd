package balance

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/congestion"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// demand is a try of a caller that asks a VM for a place. One of admit and refuse is called,
// once.
type demand struct {
	*caller
	leaves time.Time
	random func() float64
	admit  func()
	// refuse gets the time until a retry.
	refuse func(time.Duration)
	// query is the demand as package congestion sees it.
	query *congestion.Query
}

// gate is a way to bound the queries under way at a VM.
type gate interface {
	ask(*demand)
	// ended takes in how an admitted query ended.
	ended(*demand, *query)
}

func newGate(v *vm) gate {
	m := v.model
	slots := m.opts.Copies * m.opts.Slots
	switch m.opts.Ways.Limit {
	case NoLimit:
		return open{}
	case ByClass:
		own := (slots + m.opts.VMs - 1) / m.opts.VMs
		seen := map[int]bool{}
		for _, k := range m.opts.Kinds {
			seen[k.Priority] = true
		}
		policy := congestion.DefaultPolicy().WithSlots(own).WithClasses(len(seen))
		return &classGate{vm: v, group: congestion.NewGroup(policy), waiting: map[*congestion.Query]*demand{}}
	case ByThreshold:
		return newThresholds(v)
	default:
		return &singleGate{vm: v, limiter: congestion.New(congestion.DefaultPolicy().WithSlots(slots))}
	}
}

// open admits all.
type open struct{}

func (open) ask(d *demand)         { d.admit() }
func (open) ended(*demand, *query) {}

// urgency is the class of a kind's priority.
func urgency(priority int) pb.Priority {
	if priority == 0 {
		return pb.Priority_HIGH
	}
	return pb.Priority_NORMAL
}

// classGate decides as package edge does.
type classGate struct {
	vm      *vm
	group   *congestion.Group
	waiting map[*congestion.Query]*demand
}

func (g *classGate) ask(d *demand) {
	now := g.vm.model.clock.Now()
	d.query = &congestion.Query{
		Route: d.kind.Name, Priority: urgency(d.kind.Priority), Arrived: now, Objective: d.kind.Objective, Deadline: d.leaves.Sub(now),
	}
	switch g.group.Ask(now, d.query) {
	case congestion.Admitted:
		d.admit()
	case congestion.Waiting:
		g.waiting[d.query] = d
		g.vm.model.clock.At(d.query.WaitUntil(), func() {
			if g.group.Leave(d.query) {
				delete(g.waiting, d.query)
				g.refuse(d)
			}
		})
	default:
		g.refuse(d)
	}
}

func (g *classGate) refuse(d *demand) {
	d.refuse(g.group.RetryAfter(g.vm.model.clock.Now(), d.query, d.random()))
}

func (g *classGate) ended(d *demand, q *query) {
	now := g.vm.model.clock.Now()
	shards := len(g.vm.model.services)
	verdicts := g.group.Done(now, d.query, congestion.Outcome{
		Shards: shards, RefusedShards: q.crowdedParts(), HeldUpShards: q.waitedParts(), Expendable: shards - q.kind.floor(shards),
		Late: now.Sub(q.began) > q.kind.Objective,
	})
	for _, v := range verdicts {
		next := g.waiting[v.Query]
		delete(g.waiting, v.Query)
		if v.Decision == congestion.Admitted {
			next.admit()
		} else {
			g.refuse(next)
		}
	}
}

// singleGate has one limit for all classes, as the project had before.
type singleGate struct {
	vm      *vm
	limiter *congestion.Limiter
}

func (g *singleGate) ask(d *demand) {
	if !g.limiter.Start(urgency(d.kind.Priority)) {
		d.refuse(g.limiter.RetryAfter(g.vm.model.clock.Now()))
		return
	}
	d.admit()
}

func (g *singleGate) ended(_ *demand, q *query) {
	now := g.vm.model.clock.Now()
	o := congestion.Outcome{Shards: len(g.vm.model.services), RefusedShards: q.crowdedParts(), Late: now.Sub(q.began) > q.kind.Objective}
	switch g.vm.model.opts.Ways.Limit {
	case ByManyFullParts:
		o.Late = false
	case ByClosedWindows:
		o.RefusedShards = q.heldUpParts()
	case ByLateAnswers:
		o.RefusedShards = 0
		if o.Late {
			o.RefusedShards = o.Shards / 2
		}
	}
	g.limiter.Done(now, q.began, o)
}
