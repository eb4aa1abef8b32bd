package edge

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/connpool"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
	"sycamorekeel.example/sycamorekeel/internal/virtualtime"
)

// The simulated setup: one VM in data centre a, a query route whose shards have one replica
// in each of three data centres, and a plain route with as many upstreams.
const (
	simShards    = 6
	simObjective = 250 * time.Millisecond
	simDeadline  = 2 * time.Second
	// simLatency is the usual answer time of an upstream, simFarLatency the round trip to
	// another region.
	simLatency    = 30 * time.Millisecond
	simFarLatency = 24 * time.Millisecond
	// simRate is the requests per second of each of the two routes.
	simRate = 40
	// Faults start at simFaultStart and end at simFaultEnd; the run lasts until simEnd.
	simFaultStart = 10 * time.Second
	simFaultEnd   = 16 * time.Second
	simEnd        = 30 * time.Second
	// simBin is the interval at which first sends are counted.
	simBin = 250 * time.Millisecond
)

// behaviour is how an upstream handles a request that arrives at the given time after the
// start of its fault: the result, and the delay of the reply; never means that no reply
// comes.
type behaviour func(s *sim, u *catalog.Upstream, since time.Duration) (r scatter.Result, after time.Duration, never bool)

// sim runs an engine in virtual time against simulated upstreams.
type sim struct {
	start    time.Time
	clock    *virtualtime.Clock
	arrivals int
	rand     *rand.Rand
	engine   *Engine
	view     *catalog.View
	faulty   map[string]behaviour
	// reported is the load that upstreams report when they refuse, nil for none.
	reported *connpool.Load
	// firstSends counts the first sends to each upstream by bin.
	firstSends map[string]map[int]int
	// faultRequests counts the requests that arrived during the fault, the others those of
	// them that went wrong.
	faultRequests, failed, late, partial int
	// current is the request being stepped.
	current *simRequest
}

func newSim(seed uint64) *sim {
	s := &sim{start: start, clock: virtualtime.New(start), rand: rand.New(rand.NewPCG(seed, 1)), faulty: map[string]behaviour{}, firstSends: map[string]map[int]int{}}
	s.engine = New(s.start, Options{
		Traffic:     &traffic.Meter{},
		Logs:        logring.Nop(),
		Metrics:     NewMetrics(prometheus.NewRegistry()),
		Place:       locality.Place{DataCentre: "a", Region: "ra", Regions: map[string]string{"a": "ra", "b": "rb", "c": "rc"}},
		Budget:      retrybudget.Limit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 30},
		MaxRequests: 10_000,
		Random:      rand.New(rand.NewPCG(seed, 2)),
		ViewAge:     func() time.Duration { return 0 },
	})
	s.engine.now = s.clock.Now
	s.engine.startCall = s.call
	s.configure()
	return s
}

var start = time.Unix(1000, 0)

func (s *sim) configure() {
	c := &routing.Config{}
	query := routing.Route{Name: "query", Host: "h", Prefix: "/q/", Idempotent: true, Objective: simObjective, Attempts: 2, MinCoverage: 0.8, TopK: 3}
	s.view = &catalog.View{Revision: 1, Config: c, Upstreams: map[string]*catalog.Upstream{}, Services: map[string][]*catalog.Upstream{}}
	for i := range simShards {
		name := fmt.Sprintf("s%d", i)
		query.Shards = append(query.Shards, name)
		s.addService(c, name, 1)
	}
	s.addService(c, "p", 2)
	plain := routing.Route{Name: "plain", Host: "h", Prefix: "/p/", Idempotent: true, Objective: simObjective, Attempts: 2, Targets: []routing.Target{{Service: "p", Weight: 1}}}
	c.Routes = []routing.Route{query, plain}
	s.view.Table = routing.Compile(c)
	s.engine.SetView(s.clock.Now(), s.view)
}

func (s *sim) addService(c *routing.Config, name string, replicas int) {
	c.Services = append(c.Services, routing.Service{Name: name})
	for _, dc := range []string{"a", "b", "c"} {
		for i := range replicas {
			s.addUpstream(name, dc, i)
		}
	}
}

func (s *sim) addUpstream(service, dc string, i int) {
	u := &catalog.Upstream{ID: fmt.Sprintf("%s-%s%d", service, dc, i), Service: service, DataCentre: dc, Slots: 8}
	s.view.Upstreams[u.ID] = u
	s.view.Services[service] = append(s.view.Services[service], u)
}

// run simulates until simEnd.
func (s *sim) run() {
	for _, path := range []string{"/q/", "/p/"} {
		s.clock.At(s.start, func() { s.arrive(path) })
	}
	for d := time.Second; d < simEnd; d += time.Second {
		s.clock.At(s.start.Add(d), func() { s.engine.Tick(s.clock.Now()) })
	}
	s.clock.Run()
}

// arrive starts a request and schedules the next one for the same path.
func (s *sim) arrive(path string) {
	if s.clock.Now().Sub(s.start) >= simEnd {
		return
	}
	gap := time.Duration((0.5 + s.rand.Float64()) * float64(time.Second) / simRate)
	s.clock.At(s.clock.Now().Add(gap), func() { s.arrive(path) })
	s.arrivals++
	r := &Request{Host: "h", Path: path, Received: s.clock.Now(), Deadline: simDeadline, Message: &connpool.Message{ID: fmt.Sprint(s.arrivals), Header: &fasthttp.RequestHeader{}}}
	r.Route = s.view.Table.Lookup("h", path)
	q := &simRequest{run: s.engine.newRun(s.view, r)}
	s.step(q, func() { q.dispatch(q.query.Start(s.clock.Now())) })
}

// simRequest is one simulated request.
type simRequest struct {
	*run
	counted bool
}

// step runs move on a request and schedules its next step, or counts the request when it has
// ended.
func (s *sim) step(q *simRequest, move func()) {
	if q.counted {
		return
	}
	s.current = q
	move()
	if v := q.query.Outcome(); v != nil {
		q.counted = true
		q.cancelOpen()
		a := q.answer(v)
		s.count(q, &a)
		return
	}
	s.clock.At(q.query.Next(), func() {
		s.step(q, func() { q.dispatch(q.query.Tick(s.clock.Now())) })
	})
}

// call replaces the connections to upstreams: the reply arrives when the behaviour of the
// upstream says.
func (s *sim) call(c *connpool.Call) {
	q := s.current
	since := s.clock.Now().Sub(s.start)
	if q.sends[len(q.sends)-1].cause == scatter.First {
		s.countFirstSend(c.Upstream.ID, since)
	}
	result, after, never := s.behave(c.Upstream)
	if never {
		return
	}
	s.clock.At(s.clock.Now().Add(after), func() {
		s.step(q, func() {
			c.Done(connpool.Reply{Result: result, Took: after, Response: &fasthttp.Response{}, Load: s.reported})
			q.takeReplies()
		})
	})
}

func (s *sim) countFirstSend(upstream string, since time.Duration) {
	if s.firstSends[upstream] == nil {
		s.firstSends[upstream] = map[int]int{}
	}
	s.firstSends[upstream][int(since/simBin)]++
}

func (s *sim) behave(u *catalog.Upstream) (scatter.Result, time.Duration, bool) {
	since := s.clock.Now().Sub(s.start)
	b := s.faulty[u.ID]
	if b == nil || since < simFaultStart || since >= simFaultEnd {
		return scatter.Answered, s.healthyLatency(u), false
	}
	return b(s, u, since-simFaultStart)
}

// healthyLatency returns an answer time of a healthy upstream. Upstreams in other data
// centres take longer, and one answer in twenty takes three times as long.
func (s *sim) healthyLatency(u *catalog.Upstream) time.Duration {
	took := time.Duration((0.7 + 0.6*s.rand.Float64()) * float64(simLatency))
	if s.rand.IntN(20) == 0 {
		took *= 3
	}
	if u.DataCentre != "a" {
		took += simFarLatency
	}
	return took
}

func (s *sim) count(q *simRequest, a *Answer) {
	since := q.req.Received.Sub(s.start)
	if since < simFaultStart || since >= simFaultEnd {
		return
	}
	s.faultRequests++
	switch {
	case a.Reason != "":
		s.failed++
	case s.clock.Now().Sub(q.req.Received) > simObjective:
		s.late++
	case a.Missing > 0:
		s.partial++
	}
}

// sendShare returns the upstream's share of its service's first sends between two times.
func (s *sim) sendShare(upstream string, from, to time.Duration) float64 {
	service, _, _ := strings.Cut(upstream, "-")
	sends, all := 0, 0
	for id, bins := range s.firstSends {
		if !strings.HasPrefix(id, service+"-") {
			continue
		}
		for bin, n := range bins {
			if at := time.Duration(bin) * simBin; at >= from && at < to {
				all += n
				if id == upstream {
					sends += n
				}
			}
		}
	}
	return float64(sends) / float64(max(1, all))
}

// avoidedAfter returns how long after the start of the fault the upstream's share of first
// sends fell below a third of the former one for half a second, or -1 if it never did.
func (s *sim) avoidedAfter(upstream string) time.Duration {
	usual := s.sendShare(upstream, 2*time.Second, simFaultStart)
	for at := simFaultStart; at < simFaultEnd; at += simBin {
		if s.sendShare(upstream, at, at+2*simBin) < usual/3 {
			return at - simFaultStart
		}
	}
	return -1
}

// reusedAfter returns how long after the end of the fault the upstream had half of its
// former share again, or -1 if it never had.
func (s *sim) reusedAfter(upstream string) time.Duration {
	usual := s.sendShare(upstream, 2*time.Second, simFaultStart)
	for at := simFaultEnd; at < simEnd; at += simBin {
		if s.sendShare(upstream, at, at+2*simBin) >= usual/2 {
			return at - simFaultEnd
		}
	}
	return -1
}

// sometimes applies a behaviour to a random share of the requests; the others are answered
// normally.
func sometimes(share float64, b behaviour) behaviour {
	return func(s *sim, u *catalog.Upstream, since time.Duration) (scatter.Result, time.Duration, bool) {
		if s.rand.Float64() < share {
			return b(s, u, since)
		}
		return scatter.Answered, s.healthyLatency(u), false
	}
}

func endsWith(r scatter.Result, after time.Duration) behaviour {
	return func(*sim, *catalog.Upstream, time.Duration) (scatter.Result, time.Duration, bool) {
		return r, after, false
	}
}

func noReply(*sim, *catalog.Upstream, time.Duration) (scatter.Result, time.Duration, bool) {
	return 0, 0, true
}

func slower(factor float64) behaviour {
	return func(s *sim, u *catalog.Upstream, _ time.Duration) (scatter.Result, time.Duration, bool) {
		return scatter.Answered, time.Duration(factor * float64(s.healthyLatency(u))), false
	}
}

// flapping alternates each second between a behaviour and normal answers.
func flapping(b behaviour) behaviour {
	return func(s *sim, u *catalog.Upstream, since time.Duration) (scatter.Result, time.Duration, bool) {
		if since/time.Second%2 == 0 {
			return b(s, u, since)
		}
		return scatter.Answered, s.healthyLatency(u), false
	}
}

// simSeeds is the number of runs that are summed up for each case.
const simSeeds = 6

// runSeeds returns the sum of simSeeds runs with the same faulty upstreams.
func runSeeds(faulty map[string]behaviour) *sim {
	sum := newSim(0)
	for seed := range uint64(simSeeds) {
		s := newSim(seed + 1)
		s.faulty = faulty
		s.run()
		sum.add(s)
	}
	return sum
}

func (s *sim) add(other *sim) {
	s.faultRequests += other.faultRequests
	s.failed += other.failed
	s.late += other.late
	s.partial += other.partial
	for id, bins := range other.firstSends {
		if s.firstSends[id] == nil {
			s.firstSends[id] = map[int]int{}
		}
		for bin, n := range bins {
			s.firstSends[id][bin] += n
		}
	}
}

// percent returns n as a percentage of the requests that arrived during the fault.
func (s *sim) percent(n int) float64 { return 100 * float64(n) / float64(s.faultRequests) }

// Guards against a replica that keeps getting requests although it answers badly, while its
// health check succeeds. In each case the nearest replica of a shard and one of the two
// nearest of a plain service are faulty for six seconds. The test bounds the requests lost
// meanwhile, the time until the replica is avoided, and the time until it is used again.
func TestOneFaultyReplicaCostsLittle(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		fault behaviour
		// avoided is the maximum time until the replica is avoided, negative if the fault
		// comes and goes; reused is the maximum time until it is used again.
		avoided, reused time.Duration
	}{
		{"errors", sometimes(0.4, endsWith(scatter.Failed, simLatency)), time.Second, 3 * time.Second},
		{"shed", sometimes(0.4, endsWith(scatter.Refused, 2*ms)), time.Second, 3 * time.Second},
		{"reset", sometimes(0.4, endsWith(scatter.Lost, 5*ms)), time.Second, 3 * time.Second},
		{"hang", sometimes(0.4, noReply), time.Second, 3 * time.Second},
		{"mute", noReply, time.Second, 5 * time.Second},
		{"slow", slower(8), time.Second, 5 * time.Second},
		{"down", endsWith(scatter.Unreached, ms), time.Second, 3 * time.Second},
		{"flapping, down", flapping(endsWith(scatter.Unreached, ms)), -1, 3 * time.Second},
		{"flapping, silent", flapping(noReply), -1, 3 * time.Second},
	} {
		shard, plain := "s0-a0", "p-a0"
		s := runSeeds(map[string]behaviour{shard: c.fault, plain: c.fault})
		t.Logf("| %s | %d | %d | %d | %d | %v | %v | %v | %v |", c.name, s.faultRequests, s.failed, s.late, s.partial,
			s.avoidedAfter(shard), s.reusedAfter(shard), s.avoidedAfter(plain), s.reusedAfter(plain))
		if s.percent(s.failed+s.late+s.partial) > 0.5 {
			t.Errorf("%s: of %d requests %d failed, %d were late and %d partial", c.name, s.faultRequests, s.failed, s.late, s.partial)
		}
		for _, id := range []string{shard, plain} {
			if avoided := s.avoidedAfter(id); c.avoided >= 0 && (avoided < 0 || avoided > c.avoided) {
				t.Errorf("%s: %s was avoided after %v", c.name, id, avoided)
			}
			if reused := s.reusedAfter(id); reused < 0 || reused > c.reused {
				t.Errorf("%s: %s was used again after %v", c.name, id, reused)
			}
		}
	}
}

// Guards against treating replicas that refuse because of their own failure as full: each VM
// then retries them every second or two, until the budget of extra sends is used up and
// queries are refused as congested while half of the replicas are healthy.
func TestReplicasThatRefuseWithFreeSlotsAreAvoided(t *testing.T) {
	const shard = "s0-a0"
	shed := sometimes(0.6, endsWith(scatter.Refused, 2*time.Millisecond))
	relativeShare := func(reported *connpool.Load) float64 {
		s := newSim(0)
		for seed := range uint64(simSeeds) {
			r := newSim(seed + 1)
			r.faulty, r.reported = map[string]behaviour{shard: shed}, reported
			r.run()
			s.add(r)
		}
		if reused := s.reusedAfter(shard); reused < 0 || reused > 3*time.Second {
			t.Errorf("reported %+v: used again after %v", reported, reused)
		}
		return s.sendShare(shard, simFaultStart+time.Second, simFaultEnd) / s.sendShare(shard, 2*time.Second, simFaultStart)
	}
	free, full, silent := relativeShare(&connpool.Load{Running: 1, Slots: 4}), relativeShare(&connpool.Load{Running: 4, Waiting: 20, Slots: 4}), relativeShare(nil)
	t.Logf("first sends relative to normal: free slots %.3f, full %.3f, nothing reported %.3f", free, full, silent)
	if free > full/2 || free > 0.1 {
		t.Errorf("first sends relative to normal: with free slots %.3f, full %.3f", free, full)
	}
	if full != silent {
		t.Errorf("a replica that reports nothing is not treated as full: %.3f and %.3f", silent, full)
	}
}

// Guards against queries that are refused as congested because replicas refuse with free
// slots.
func TestRefusalsWithFreeSlotsAreNotCongestion(t *testing.T) {
	x := &run{sends: []send{
		{part: 0, replied: true, reply: connpool.Reply{Result: scatter.Refused, Load: &connpool.Load{Running: 1, Slots: 4}}},
		{part: 1, replied: true, reply: connpool.Reply{Result: scatter.Refused, Load: &connpool.Load{Running: 4, Slots: 4}}},
		{part: 2, replied: true, reply: connpool.Reply{Result: scatter.Refused}},
		{part: 3, replied: true, reply: connpool.Reply{Result: scatter.Failed}},
	}}
	if n := x.congestedParts(); n != 2 {
		t.Errorf("%d parts count as congested, want 2", n)
	}
}

// upstreamsWhere assigns a behaviour to all upstreams whose id matches.
func upstreamsWhere(matches func(id string) bool, b behaviour) map[string]behaviour {
	out := map[string]behaviour{}
	for id := range newSim(0).view.Upstreams {
		if matches(id) {
			out[id] = b
		}
	}
	return out
}

// Guards against queries that fail or are late when a data centre or a whole shard is lost,
// although replicas elsewhere or the other shards would do: each query finds out about the
// loss by itself and waits for replies that cannot come, and hedges spend the budget that
// others need. Each case makes many upstreams faulty for six seconds.
func TestWideOutagesLeaveAnswersInTime(t *testing.T) {
	const ms = time.Millisecond
	near := func(id string) bool { return strings.Contains(id, "-a") }
	shard := func(id string) bool { return strings.HasPrefix(id, "s0-") }
	for _, c := range []struct {
		name   string
		faulty map[string]behaviour
		// failed and late are the maximum percentages; partial says that answers may leave
		// the shard out.
		failed, late float64
		partial      bool
	}{
		{"this data centre: down", upstreamsWhere(near, endsWith(scatter.Unreached, ms)), 0.5, 0.5, false},
		{"this data centre: silent", upstreamsWhere(near, noReply), 1, 0.5, false},
		{"this data centre: slow", upstreamsWhere(near, slower(8)), 0.5, 0.5, false},
		{"this data centre: errors", upstreamsWhere(near, sometimes(0.4, endsWith(scatter.Failed, simLatency))), 0.5, 0.5, false},
		{"this data centre: shed", upstreamsWhere(near, sometimes(0.4, endsWith(scatter.Refused, 2*ms))), 0.5, 0.5, false},
		{"a whole shard: down", upstreamsWhere(shard, endsWith(scatter.Unreached, ms)), 0.5, 0.5, true},
		{"a whole shard: silent", upstreamsWhere(shard, noReply), 0.5, 0.5, true},
		{"a whole shard: errors", upstreamsWhere(shard, endsWith(scatter.Failed, simLatency)), 0.5, 0.5, true},
		{"a whole shard: shed", upstreamsWhere(shard, endsWith(scatter.Refused, 2*ms)), 0.5, 0.5, true},
	} {
		s := runSeeds(c.faulty)
		t.Logf("| %s | %d | %d | %d | %d |", c.name, s.faultRequests, s.failed, s.late, s.partial)
		if s.percent(s.failed) > c.failed || s.percent(s.late) > c.late || s.partial > 0 && !c.partial {
			t.Errorf("%s: of %d requests %d failed, %d were late and %d partial", c.name, s.faultRequests, s.failed, s.late, s.partial)
		}
	}
}

// Guards against old upstreams that stay as loaded as before after their service has grown:
// replicas that are unknown, or that were slow once, are not tried. Four replicas register
// near this VM and are slow at first.
func TestNewReplicasTakeTheirShare(t *testing.T) {
	const cold = 2 * time.Second
	s := newSim(1)
	s.clock.At(s.start.Add(simFaultStart), func() {
		s.view = s.withNewReplicas("p", 4, cold)
		s.engine.SetView(s.clock.Now(), s.view)
		for i := range 4 {
			s.faulty[fmt.Sprintf("p-a%d", 2+i)] = func(s *sim, u *catalog.Upstream, since time.Duration) (scatter.Result, time.Duration, bool) {
				if since < cold {
					return slower(3)(s, u, since)
				}
				return scatter.Answered, s.healthyLatency(u), false
			}
		}
	})
	s.run()
	early, late := 0.0, 0.0
	for i := range 4 {
		id := fmt.Sprintf("p-a%d", 2+i)
		early += s.sendShare(id, simFaultStart, simFaultStart+cold)
		late += s.sendShare(id, simFaultStart+2*cold, simEnd)
	}
	t.Logf("four new of six near replicas: %.2f of the first sends while slow, %.2f from two seconds after", early, late)
	if s.failed+s.late > 0 {
		t.Errorf("of %d requests %d failed and %d were late", s.faultRequests, s.failed, s.late)
	}
	if early > 0.5 || late < 0.5 || late > 0.8 {
		t.Errorf("the new replicas have %.2f of the first sends while slow and %.2f after", early, late)
	}
}

// withNewReplicas returns the view with more replicas of a service near this VM.
func (s *sim) withNewReplicas(service string, n int, cold time.Duration) *catalog.View {
	v := *s.view
	v.Revision++
	v.Upstreams, v.Services = maps.Clone(v.Upstreams), maps.Clone(v.Services)
	for i := range n {
		u := &catalog.Upstream{ID: fmt.Sprintf("%s-a%d", service, 2+i), Service: service, DataCentre: "a", Slots: 8, ColdFor: cold}
		v.Upstreams[u.ID] = u
		v.Services[service] = append(v.Services[service], u)
	}
	return &v
}
