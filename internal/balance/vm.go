package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/replica"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/sendlimit"
)

const (
	// connections is how many a VM may have to one upstream, and maxWaiting how many sends may
	// wait for one, as in package direct.
	connections = 6
	maxWaiting  = 64
)

// vm is one VM: what it has seen of the upstreams, and its part of the bounds.
type vm struct {
	model    *model
	rand     *rand.Rand
	place    locality.Place
	replicas *replica.Table
	budgets  map[string]*retrybudget.Budget
	gate     gate
	unloaded *sendlimit.Unloaded
	pools    map[string]*pool
	sends    uint64
}

// pool is the connections of a VM to one upstream, and the sends that wait for one.
type pool struct {
	// window bounds the connections in use further, 0 for not.
	window  int
	busy    int
	waiting []*send
	// limits bounds the open sends by class. wakeAt is the end of the next pause of a class that
	// waits, zero for none.
	limits sendlimit.Limiter
	wakeAt time.Time
}

func (p *pool) hasRoom() bool {
	return p.busy < connections && (p.window == 0 || p.busy < p.window)
}

// queued is how many waiting sends go before a further one of a priority.
func (p *pool) queued(priority int) int {
	n := 0
	for _, s := range p.waiting {
		if s.query.kind.Priority <= priority {
			n++
		}
	}
	return n
}

// send is one send of a query.
type send struct {
	id     uint64
	query  *query
	part   int
	server *server
	sentAt time.Time
	// started says that it has a connection, waited how long it has waited for one.
	started bool
	waited  time.Duration
	// startedAt is when it got the connection.
	startedAt time.Time
	// job is the request at the upstream, once started.
	job *job
	// over says that it has ended or was withdrawn, full that the upstream had no room.
	over, full bool
	// endedAt is when its reply came, zero before and if it was withdrawn.
	endedAt time.Time
	// closed says that it has had to wait for the upstream's window.
	closed bool
}

// waitedFor is how long it has waited for a connection.
func (s *send) waitedFor(now time.Time) time.Duration {
	if s.started {
		return s.waited
	}
	return now.Sub(s.sentAt)
}

func newVM(m *model, i int) *vm {
	place := locality.Place{DataCentre: dataCentre(i), Region: region(dataCentre(i)), Regions: regionOf}
	r := rand.New(rand.NewPCG(m.opts.Seed, uint64(i)+100))
	v := &vm{model: m, rand: r, place: place, budgets: map[string]*retrybudget.Budget{}, pools: map[string]*pool{}, unloaded: sendlimit.NewUnloaded()}
	v.replicas = replica.New(place, r)
	v.replicas.SetUpstreams(m.clock.Now(), m.registered)
	v.gate = newGate(v)
	for _, service := range m.services {
		v.budgets[service] = retrybudget.New(m.opts.Budget, 1/float64(m.opts.VMs), m.clock.Now())
	}
	for id, s := range m.servers {
		v.pools[id] = v.newPool(s.Upstream)
	}
	return v
}

// do gives a send to a connection, or lets it wait for one.
func (v *vm) do(s *send) {
	p := v.pools[s.server.ID]
	if p.hasRoom() && v.mayStart(p, s.query.kind.Priority) {
		v.start(s, p)
		return
	}
	s.closed = p.window > 0 && p.window < connections
	if v.queuedBefore(p, s.query.kind.Priority) >= maxWaiting {
		s.over = true
		v.model.clock.After(0, func() { s.query.reply(s, scatter.NoConnection, nil, 0) })
		return
	}
	i, _ := slices.BinarySearchFunc(p.waiting, s, func(a, b *send) int {
		if a.query.kind.Priority <= b.query.kind.Priority {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, i, s)
	v.wake(p)
}

func (v *vm) start(s *send, p *pool) {
	m := v.model
	p.busy++
	s.waited = m.clock.Now().Sub(s.sentAt)
	s.started = true
	begun := m.clock.Now()
	s.startedAt = begun
	p.limits.Start(s.query.kind.Priority)
	hop := v.hop(s.server.DataCentre)
	s.job = &job{work: s.query.kind.Work}
	s.job.ended = func(r scatter.Result, load *connpool.Load) {
		m.clock.After(hop, func() {
			if s.over {
				return
			}
			v.release(s, p)
			s.query.reply(s, r, load, m.clock.Now().Sub(begun))
		})
	}
	m.clock.After(hop, func() {
		if !s.job.withdrawn {
			s.server.arrive(s.job)
		}
	})
}

// release frees the connection of a send for the next one that waits.
func (v *vm) release(s *send, p *pool) {
	s.over = true
	p.busy--
	now := v.model.clock.Now()
	p.limits.End(now, s.query.kind.Priority, now.Sub(s.startedAt))
	v.next(p)
}

func (v *vm) next(p *pool) {
	for p.hasRoom() {
		i := slices.IndexFunc(p.waiting, func(s *send) bool { return v.mayStart(p, s.query.kind.Priority) })
		if i < 0 {
			break
		}
		s := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		v.start(s, p)
	}
	v.wake(p)
}

// withdraw ends the interest in a send.
func (v *vm) withdraw(s *send) {
	p := v.pools[s.server.ID]
	if !s.started {
		s.over = true
		p.waiting = slices.DeleteFunc(p.waiting, func(w *send) bool { return w == s })
		return
	}
	v.model.clock.After(v.hop(s.server.DataCentre), func() { s.server.withdraw(s.job) })
	v.release(s, p)
}

// setWindow bounds the connections to an upstream that are in use.
func (v *vm) setWindow(u *catalog.Upstream) {
	p := v.pools[u.ID]
	p.window = v.replicas.Window(u)
	v.next(p)
}

// hop is the time of a message to a data centre.
func (v *vm) hop(to string) time.Duration { return hops[v.place.Distance(to)] }

// note takes in how a send ended.
func (v *vm) note(s *send, r scatter.Result, took time.Duration) {
	now := v.model.clock.Now()
	u := s.server.Upstream
	v.observeQueue(s, r, took)
	switch r {
	case scatter.Answered:
		v.replicas.Answered(now, s.query.kind.Name, s.query.usual(), u, s.id, took)
	case scatter.Unreached:
		v.replicas.Unreachable(now, u, s.id)
	case scatter.NoConnection:
		v.replicas.Unsent(u, s.id)
	case scatter.Refused:
		if s.full {
			v.replicas.Refused(now, u, s.id)
		} else {
			v.failed(u, s.id)
		}
	default:
		v.failed(u, s.id)
	}
	v.setWindow(u)
}

// failed notes a fault of an upstream, and tells it where that is shared.
func (v *vm) failed(u *catalog.Upstream, id uint64) {
	m := v.model
	v.replicas.Failed(m.clock.Now(), u, id)
	if m.opts.Ways.Verdicts != Shared {
		return
	}
	for _, peer := range m.vms {
		if peer != v && peer.place.DataCentre == v.place.DataCentre {
			m.clock.After(hops[locality.Near], func() { peer.replicas.Failed(m.clock.Now(), u, noSend) })
		}
	}
}

// noSend is the number of no send.
const noSend = 0
