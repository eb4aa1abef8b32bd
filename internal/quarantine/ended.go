package quarantine

import (
	"slices"
	"time"
)

// endedProcesses counts the upstream processes that have ended under one request, at most
// MaxInstances.
//
// Crash.Instance alone does not tell two processes apart: until a VM has the registration of a
// restarted process, it takes that process for the former one. But a connection that was opened
// after a process had ended leads to another process. So for each instance, bounds[i] is a time
// by which at least i+1 of its processes had ended. A bound from a peer is late by the delay of
// the message, which makes it weaker and never wrong. Merging keeps the earliest bounds, in any
// order and however often an entry arrives.
type endedProcesses struct {
	instances []endedInstance
	// observed holds the crashes that this VM has detected itself, whose connections it can
	// compare with the bounds of peers.
	observed []Crash
}

// endedInstance is one value of Crash.Instance.
type endedInstance struct {
	id     uint32
	bounds []time.Time
}

// observe adds a crash detected by this VM. It returns false if an earlier crash may have been
// that of the same process.
func (p *endedProcesses) observe(c Crash) bool {
	before := p.count()
	p.remember(c)
	p.apply(c)
	return p.count() > before
}

// remember stores a crash for later comparisons. Of connections that may have led to the same
// process it stores the last one, which proves the most about other processes.
func (p *endedProcesses) remember(c Crash) {
	for i, o := range p.observed {
		if o.Instance == c.Instance && !c.ConnectedAt.After(o.EndedAt) && !o.ConnectedAt.After(c.EndedAt) {
			if c.ConnectedAt.After(o.ConnectedAt) {
				p.observed[i] = c
			}
			return
		}
	}
	if len(p.observed) < MaxInstances {
		p.observed = append(p.observed, c)
	}
}

// apply derives a bound from a crash: its process was none of those that had ended before its
// connection was opened. It reports whether that says more of two or more processes than was known.
func (p *endedProcesses) apply(c Crash) bool {
	others := 0
	for _, bound := range p.bounds(c.Instance) {
		if c.ConnectedAt.After(bound) {
			others++
		}
	}
	return p.setBound(c.Instance, others, c.EndedAt) && others > 0
}

// merge adds the bounds of a peer: the i-th process of Ended had ended at endedAt[i]. It reports
// whether the crashes that this VM observed then say more than was known.
func (p *endedProcesses) merge(instances []uint32, endedAt []time.Time) bool {
	known := map[uint32]int{}
	for i, id := range instances {
		p.setBound(id, known[id], endedAt[i])
		known[id]++
	}
	slices.SortFunc(p.observed, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	news := false
	for _, c := range p.observed {
		news = p.apply(c) || news
	}
	return news
}

// setBound lowers a bound, or adds one unless there are MaxInstances. It reports whether the
// bound has changed.
func (p *endedProcesses) setBound(id uint32, i int, at time.Time) bool {
	n := slices.IndexFunc(p.instances, func(e endedInstance) bool { return e.id == id })
	if n >= 0 && i < len(p.instances[n].bounds) {
		bound := &p.instances[n].bounds[i]
		earlier := at.Before(*bound)
		if earlier {
			*bound = at
		}
		return earlier
	}
	if p.count() >= MaxInstances {
		return false
	}
	if n < 0 {
		p.instances = append(p.instances, endedInstance{id: id})
		n = len(p.instances) - 1
	}
	p.instances[n].bounds = append(p.instances[n].bounds, at)
	return true
}

func (p *endedProcesses) bounds(id uint32) []time.Time {
	for _, e := range p.instances {
		if e.id == id {
			return e.bounds
		}
	}
	return nil
}

// count returns how many processes have ended at least.
func (p *endedProcesses) count() int {
	n := 0
	for _, e := range p.instances {
		n += len(e.bounds)
	}
	return n
}

// list returns the processes in the form that merge takes.
func (p *endedProcesses) list() (instances []uint32, endedAt []time.Time) {
	for _, e := range p.instances {
		for _, bound := range e.bounds {
			instances = append(instances, e.id)
			endedAt = append(endedAt, bound)
		}
	}
	return instances, endedAt
}
