package balance

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/virtualtime"
)

const (
	// dataCentres are in regions of two each.
	dataCentres = 6
	// retries is how often a caller comes back after a query that was refused or failed.
	retries = 1
	// refusedRetry and noUpstreamRetry are what refusals recommend, as in package edge.
	refusedRetry    = 100 * time.Millisecond
	noUpstreamRetry = time.Second
	// lateWorth is what a late answer is worth of one in time.
	lateWorth = 0.1
	// secondWorth is what an answer is worth that is in time from the second try on.
	secondWorth = (1 + lateWorth) / 2
)

// hops is the time of a message one way by distance.
var hops = [locality.Distances]time.Duration{200 * time.Microsecond, 1400 * time.Microsecond, 12 * time.Millisecond}

// startTime is when a run begins.
var startTime = time.Unix(1000, 0)

// regionOf is the region of each data centre.
var regionOf = func() map[string]string {
	out := map[string]string{}
	for i := range dataCentres {
		out[dataCentre(i)] = fmt.Sprintf("region-%d", i%(dataCentres/2))
	}
	return out
}()

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func region(dataCentre string) string { return regionOf[dataCentre] }

// model is one run.
type model struct {
	opts  Options
	clock *virtualtime.Clock
	// rand draws the queries and the trouble, the same in every way; returns the VMs that
	// callers come back to.
	rand, returns *rand.Rand
	services      []string
	copies        [][]*catalog.Upstream
	registered    map[string]*catalog.Upstream
	servers       map[string]*server
	vms           []*vm
	result        Result
}

// Play runs the options to their end.
func Play(opts Options) Result {
	m := &model{
		opts: opts, clock: virtualtime.New(startTime), rand: rand.New(rand.NewPCG(opts.Seed, 1)), returns: rand.New(rand.NewPCG(opts.Seed, 2)),
		registered: map[string]*catalog.Upstream{}, servers: map[string]*server{},
		result: newResult(&opts),
	}
	m.addServers()
	for i := range opts.VMs {
		m.vms = append(m.vms, newVM(m, i))
	}
	m.planTrouble()
	m.clock.After(0, m.arrive)
	m.clock.Run()
	return m.result
}

func (m *model) addServers() {
	end := startTime.Add(m.opts.Length)
	for shard := range m.opts.Shards {
		service := fmt.Sprintf("shard-%d", shard)
		m.services = append(m.services, service)
		var copies []*catalog.Upstream
		for i := range m.opts.Copies {
			u := &catalog.Upstream{ID: fmt.Sprintf("%s-%d", service, i), Service: service, DataCentre: dataCentre(shard + i), Slots: m.opts.Slots}
			s := newServer(m.clock, rand.New(rand.NewPCG(m.opts.Seed, uint64(1000+shard*m.opts.Copies+i))), u)
			s.live(end)
			m.registered[u.ID], m.servers[u.ID] = u, s
			copies = append(copies, u)
		}
		m.copies = append(m.copies, copies)
	}
}

// planTrouble plans what befalls the upstreams, and its end.
func (m *model) planTrouble() {
	p := m.opts.Pattern
	var befallen []*server
	for _, copies := range m.copies {
		for _, u := range copies {
			if m.rand.Float64() < p.Share {
				befallen = append(befallen, m.servers[u.ID])
			}
		}
	}
	m.clock.After(m.opts.Begin, func() {
		for _, s := range befallen {
			s.trouble = p
		}
	})
	m.clock.After(m.opts.End, func() {
		for _, s := range befallen {
			s.trouble = Pattern{}
		}
	})
}

// during tells whether a time is in the pattern.
func (m *model) during(at time.Time) bool {
	since := at.Sub(startTime)
	return since >= m.opts.Begin && since < m.opts.End
}

// arrive brings a query to a VM and plans the next.
func (m *model) arrive() {
	now := m.clock.Now()
	if now.Sub(startTime) >= m.opts.Length {
		return
	}
	rate := m.opts.rate()
	if load := m.opts.Pattern.Load; load > 0 && m.during(now) {
		rate *= load / m.opts.Busy
	}
	m.clock.After(time.Duration(m.rand.ExpFloat64()*float64(time.Second)/rate), m.arrive)
	c := &caller{model: m, kind: m.draw(), began: now, left: retries, user: m.returns.Float64()}
	c.ask(m.vms[m.rand.IntN(len(m.vms))])
}

// draw is the kind of the next query.
func (m *model) draw() *Kind {
	x := m.rand.Float64()
	for i := range m.opts.Kinds {
		k := &m.opts.Kinds[i]
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return &m.opts.Kinds[len(m.opts.Kinds)-1]
}

func (m *model) countSend(cause scatter.Cause) {
	m.result.Sends++
	if cause != scatter.First {
		m.result.Extra++
	}
}

// caller asks, and comes back when it is told to.
type caller struct {
	model *model
	kind  *Kind
	began time.Time
	// came is when the try under way began.
	came time.Time
	left int
	// user is its place among the callers of its class, 0 to 1, the same for all its tries.
	user float64
}

func (c *caller) ask(v *vm) {
	now := c.model.clock.Now()
	c.came = now
	d := &demand{caller: c, leaves: c.began.Add(c.kind.Deadline), random: v.rand.Float64}
	d.admit = func() {
		v.ask(c.kind, now, d.leaves, func(q *query, verdict *scatter.Outcome) {
			v.gate.ended(d, q)
			c.verdict(verdict)
		})
	}
	d.refuse = func(wait time.Duration) {
		c.model.result.countCongested(c)
		c.rejected(outcome{refused: true}, wait)
	}
	v.gate.ask(d)
}

func (c *caller) verdict(v *scatter.Outcome) {
	switch {
	case v.Reason == scatter.None:
		missing := 0
		for _, n := range v.Parts {
			if n < 0 {
				missing++
			}
		}
		c.end(outcome{coverage: 1 - float64(missing)/float64(len(v.Parts))})
	case v.NotRun && v.Reason == scatter.NoUpstream:
		c.rejected(outcome{refused: true}, noUpstreamRetry)
	case v.NotRun:
		c.rejected(outcome{refused: true}, refusedRetry)
	default:
		c.rejected(outcome{}, 0)
	}
}

// rejected has the caller come back after a wait, if it still may and is in time.
func (c *caller) rejected(o outcome, wait time.Duration) {
	back := c.model.clock.Now().Add(wait)
	if c.left == 0 || back.Sub(c.began) >= c.kind.Deadline {
		c.end(o)
		return
	}
	c.left--
	vms := c.model.vms
	c.model.clock.At(back, func() { c.ask(vms[c.model.returns.IntN(len(vms))]) })
}

func (c *caller) end(o outcome) {
	now := c.model.clock.Now()
	o.took, o.tryTook = now.Sub(c.began), now.Sub(c.came)
	c.model.result.count(c, o)
}
