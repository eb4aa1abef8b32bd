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
	"sycamorekeel.example/sycamorekeel/internal/direct"
	"sycamorekeel.example/sycamorekeel/internal/locality"
	"sycamorekeel.example/sycamorekeel/internal/logring"
	"sycamorekeel.example/sycamorekeel/internal/retrybudget"
	"sycamorekeel.example/sycamorekeel/internal/routing"
	"sycamorekeel.example/sycamorekeel/internal/scatter"
	"sycamorekeel.example/sycamorekeel/internal/traffic"
	"sycamorekeel.example/sycamorekeel/internal/virtualtime"
)

// The load of these tests: one VM in data centre a, a query of some shards with a
// copy in each of three data centres, and a plain route with as many upstreams.
const (
	simShards    = 6
	simObjective = 250 * time.Millisecond
	simDeadline  = 2 * time.Second
	// simWork is an upstream's usual time, simFar the way to another region and
	// back.
	simWork = 30 * time.Millisecond
	simFar  = 24 * time.Millisecond
	// simRate is requests a second of each of the two routes.
	simRate = 40
	// Trouble begins at simIll and ends at simWell; the run goes on to simEnd.
	simIll  = 10 * time.Second
	simWell = 16 * time.Second
	simEnd  = 30 * time.Second
	// simBin is the slice of time by which shares of the first sends are told.
	simBin = 250 * time.Millisecond
)

// conduct is how an upstream treats a request that comes so long after its trouble
// began: the result, and after what time; never says that none comes.
type conduct func(s *sim, u *catalog.Upstream, since time.Duration) (r scatter.Result, after time.Duration, never bool)

// sim drives an engine with a clock of its own, and upstreams that are functions.
type sim struct {
	start  time.Time
	clock  *virtualtime.Clock
	asks   int
	rand   *rand.Rand
	engine *Engine
	view   *catalog.View
	ill    map[string]conduct
	// reported is the load that upstreams report with what they refuse, nil for none.
	reported *direct.Load
	// sent counts the first sends to each upstream by bin.
	sent map[string]map[int]int
	// asked counts the requests that began in trouble, the others how they went
	// wrong.
	asked, failed, late, partial int
	// current is the request that is moved on.
	current *load
}

func newSim(seed uint64) *sim {
	s := &sim{start: start, clock: virtualtime.New(start), rand: rand.New(rand.NewPCG(seed, 1)), ill: map[string]conduct{}, sent: map[string]map[int]int{}}
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
	s.engine.do = s.call
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
		s.service(c, name, 1)
	}
	s.service(c, "p", 2)
	plain := routing.Route{Name: "plain", Host: "h", Prefix: "/p/", Idempotent: true, Objective: simObjective, Attempts: 2, Targets: []routing.Target{{Service: "p", Weight: 1}}}
	c.Routes = []routing.Route{query, plain}
	s.view.Table = routing.Compile(c)
	s.engine.SetView(s.clock.Now(), s.view)
}

func (s *sim) service(c *routing.Config, name string, copies int) {
	c.Services = append(c.Services, routing.Service{Name: name})
	for _, dc := range []string{"a", "b", "c"} {
		for i := range copies {
			s.addUpstream(name, dc, i)
		}
	}
}

func (s *sim) addUpstream(service, dc string, i int) {
	u := &catalog.Upstream{ID: fmt.Sprintf("%s-%s%d", service, dc, i), Service: service, DataCentre: dc, Slots: 8}
	s.view.Upstreams[u.ID] = u
	s.view.Services[service] = append(s.view.Services[service], u)
}

// run plays until simEnd.
func (s *sim) run() {
	for _, path := range []string{"/q/", "/p/"} {
		s.clock.At(s.start, func() { s.arrive(path) })
	}
	for d := time.Second; d < simEnd; d += time.Second {
		s.clock.At(s.start.Add(d), func() { s.engine.Tick(s.clock.Now()) })
	}
	s.clock.Run()
}

// arrive begins a request and plans the next of its kind.
func (s *sim) arrive(path string) {
	if s.clock.Now().Sub(s.start) >= simEnd {
		return
	}
	gap := time.Duration((0.5 + s.rand.Float64()) * float64(time.Second) / simRate)
	s.clock.At(s.clock.Now().Add(gap), func() { s.arrive(path) })
	s.asks++
	r := &Request{Host: "h", Path: path, Received: s.clock.Now(), Deadline: simDeadline, Message: &direct.Message{ID: fmt.Sprint(s.asks), Header: &fasthttp.RequestHeader{}}}
	r.Route = s.view.Table.Lookup("h", path)
	l := &load{run: s.engine.newRun(s.view, r)}
	s.step(l, func() { l.dispatch(l.query.Start(s.clock.Now())) })
}

// load is one request of the simulation.
type load struct {
	*run
	counted bool
}

// step moves a request on and plans its next wake; once it has ended, it counts.
func (s *sim) step(l *load, move func()) {
	if l.counted {
		return
	}
	s.current = l
	move()
	if v := l.query.Verdict(); v != nil {
		l.counted = true
		l.withdraw()
		a := l.answer(v)
		s.count(l, &a)
		return
	}
	s.clock.At(l.query.Next(), func() {
		s.step(l, func() { l.dispatch(l.query.Tick(s.clock.Now())) })
	})
}

// call takes the place of the connections: the upstream's reply comes when its
// conduct says.
func (s *sim) call(c *direct.Call) {
	l := s.current
	since := s.clock.Now().Sub(s.start)
	if l.sends[len(l.sends)-1].cause == scatter.First {
		s.noteFirst(c.Upstream.ID, since)
	}
	result, after, never := s.conduct(c.Upstream)
	if never {
		return
	}
	s.clock.At(s.clock.Now().Add(after), func() {
		s.step(l, func() {
			c.Done(direct.Reply{Result: result, Took: after, Response: &fasthttp.Response{}, Load: s.reported})
			l.takeReplies()
		})
	})
}

func (s *sim) noteFirst(upstream string, since time.Duration) {
	if s.sent[upstream] == nil {
		s.sent[upstream] = map[int]int{}
	}
	s.sent[upstream][int(since/simBin)]++
}

func (s *sim) conduct(u *catalog.Upstream) (scatter.Result, time.Duration, bool) {
	since := s.clock.Now().Sub(s.start)
	ill := s.ill[u.ID]
	if ill == nil || since < simIll || since >= simWell {
		return scatter.Answered, s.usual(u), false
	}
	return ill(s, u, since-simIll)
}

// usual is the time of an answer of a healthy upstream: some are far away, and
// one in twenty takes three times as long.
func (s *sim) usual(u *catalog.Upstream) time.Duration {
	took := time.Duration((0.7 + 0.6*s.rand.Float64()) * float64(simWork))
	if s.rand.IntN(20) == 0 {
		took *= 3
	}
	if u.DataCentre != "a" {
		took += simFar
	}
	return took
}

func (s *sim) count(l *load, a *Answer) {
	since := l.req.Received.Sub(s.start)
	if since < simIll || since >= simWell {
		return
	}
	s.asked++
	switch {
	case a.Reason != "":
		s.failed++
	case s.clock.Now().Sub(l.req.Received) > simObjective:
		s.late++
	case a.Missing > 0:
		s.partial++
	}
}

// share is the part of the first sends of a service that an upstream had between
// two times.
func (s *sim) share(upstream string, from, to time.Duration) float64 {
	service, _, _ := strings.Cut(upstream, "-")
	mine, all := 0, 0
	for id, bins := range s.sent {
		if !strings.HasPrefix(id, service+"-") {
			continue
		}
		for bin, n := range bins {
			if at := time.Duration(bin) * simBin; at >= from && at < to {
				all += n
				if id == upstream {
					mine += n
				}
			}
		}
	}
	return float64(mine) / float64(max(1, all))
}

// avoidedAfter is how long after the trouble began the upstream had, for half a
// second on end, less than a third of its former share; -1 when it never had.
func (s *sim) avoidedAfter(upstream string) time.Duration {
	usual := s.share(upstream, 2*time.Second, simIll)
	for at := simIll; at < simWell; at += simBin {
		if s.share(upstream, at, at+2*simBin) < usual/3 {
			return at - simIll
		}
	}
	return -1
}

// backAfter is how long after its end the upstream had half of its former share
// again; -1 when it never had.
func (s *sim) backAfter(upstream string) time.Duration {
	usual := s.share(upstream, 2*time.Second, simIll)
	for at := simWell; at < simEnd; at += simBin {
		if s.share(upstream, at, at+2*simBin) >= usual/2 {
			return at - simWell
		}
	}
	return -1
}

// some lets a share of the requests go wrong in a way, and the others go well.
func some(share float64, how conduct) conduct {
	return func(s *sim, u *catalog.Upstream, since time.Duration) (scatter.Result, time.Duration, bool) {
		if s.rand.Float64() < share {
			return how(s, u, since)
		}
		return scatter.Answered, s.usual(u), false
	}
}

func ends(r scatter.Result, after time.Duration) conduct {
	return func(*sim, *catalog.Upstream, time.Duration) (scatter.Result, time.Duration, bool) {
		return r, after, false
	}
}

func never(*sim, *catalog.Upstream, time.Duration) (scatter.Result, time.Duration, bool) {
	return 0, 0, true
}

func slower(times float64) conduct {
	return func(s *sim, u *catalog.Upstream, _ time.Duration) (scatter.Result, time.Duration, bool) {
		return scatter.Answered, time.Duration(times * float64(s.usual(u))), false
	}
}

// flapping goes between a conduct and health each second.
func flapping(how conduct) conduct {
	return func(s *sim, u *catalog.Upstream, since time.Duration) (scatter.Result, time.Duration, bool) {
		if since/time.Second%2 == 0 {
			return how(s, u, since)
		}
		return scatter.Answered, s.usual(u), false
	}
}

// simSeeds is how many runs each row is the sum of.
const simSeeds = 6

// play is the sum of some runs with the same upstreams ill.
func play(ill map[string]conduct) *sim {
	sum := newSim(0)
	for seed := range uint64(simSeeds) {
		s := newSim(seed + 1)
		s.ill = ill
		s.run()
		sum.add(s)
	}
	return sum
}

func (s *sim) add(other *sim) {
	s.asked += other.asked
	s.failed += other.failed
	s.late += other.late
	s.partial += other.partial
	for id, bins := range other.sent {
		if s.sent[id] == nil {
			s.sent[id] = map[int]int{}
		}
		for bin, n := range bins {
			s.sent[id][bin] += n
		}
	}
}

// percent is a part of the requests that were asked in trouble.
func (s *sim) percent(n int) float64 { return 100 * float64(n) / float64(s.asked) }

// Symptom: one copy of a service answers badly, its health looks good, and
// requests fail or are late for as long as it lasts.
// Sequence: each row is a way in which it does; for six seconds the nearest copy
// of a shard and one of the two nearest of a plain service are ill.
// Cause: it went on being asked. What is lost meanwhile is bounded here, and so
// is how long it takes to pass the copy over, and to use it again.
func TestOneIllCopyCostsLittle(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		how  conduct
		// avoided is the longest until the copy is passed over, negative for
		// trouble that comes and goes; back the longest until it is used again.
		avoided, back time.Duration
	}{
		{"errors", some(0.4, ends(scatter.Failed, simWork)), time.Second, 3 * time.Second},
		{"shed", some(0.4, ends(scatter.Refused, 2*ms)), time.Second, 3 * time.Second},
		{"reset", some(0.4, ends(scatter.Lost, 5*ms)), time.Second, 3 * time.Second},
		{"hang", some(0.4, never), time.Second, 3 * time.Second},
		{"mute", never, time.Second, 5 * time.Second},
		{"slow", slower(8), time.Second, 5 * time.Second},
		{"down", ends(scatter.Unreached, ms), time.Second, 3 * time.Second},
		{"flapping, down", flapping(ends(scatter.Unreached, ms)), -1, 3 * time.Second},
		{"flapping, silent", flapping(never), -1, 3 * time.Second},
	} {
		shard, plain := "s0-a0", "p-a0"
		s := play(map[string]conduct{shard: c.how, plain: c.how})
		t.Logf("| %s | %d | %d | %d | %d | %v | %v | %v | %v |", c.name, s.asked, s.failed, s.late, s.partial,
			s.avoidedAfter(shard), s.backAfter(shard), s.avoidedAfter(plain), s.backAfter(plain))
		if s.percent(s.failed+s.late+s.partial) > 0.5 {
			t.Errorf("%s: of %d requests %d failed, %d were late and %d partial", c.name, s.asked, s.failed, s.late, s.partial)
		}
		for _, id := range []string{shard, plain} {
			if avoided := s.avoidedAfter(id); c.avoided >= 0 && (avoided < 0 || avoided > c.avoided) {
				t.Errorf("%s: %s was passed over after %v", c.name, id, avoided)
			}
			if back := s.backAfter(id); back < 0 || back > c.back {
				t.Errorf("%s: %s was used again after %v", c.name, id, back)
			}
		}
	}
}

// Guards against copies that refuse by a fault of their own and are taken for full: each is
// tried again within a second or two, by each VM for itself, until the budget of extra sends is
// gone and queries are refused as congested with half of the copies well.
func TestCopiesThatRefuseWithFreeSlotsArePassedOver(t *testing.T) {
	const shard = "s0-a0"
	shed := some(0.6, ends(scatter.Refused, 2*time.Millisecond))
	part := func(reported *direct.Load) float64 {
		s := newSim(0)
		for seed := range uint64(simSeeds) {
			one := newSim(seed + 1)
			one.ill, one.reported = map[string]conduct{shard: shed}, reported
			one.run()
			s.add(one)
		}
		if back := s.backAfter(shard); back < 0 || back > 3*time.Second {
			t.Errorf("reported %+v: used again after %v", reported, back)
		}
		return s.share(shard, simIll+time.Second, simWell) / s.share(shard, 2*time.Second, simIll)
	}
	free, full, silent := part(&direct.Load{Running: 1, Slots: 4}), part(&direct.Load{Running: 4, Waiting: 20, Slots: 4}), part(nil)
	t.Logf("first sends of the usual: free slots %.3f, full %.3f, nothing reported %.3f", free, full, silent)
	if free > full/2 || free > 0.1 {
		t.Errorf("with free slots it has %.3f of its usual first sends, full %.3f", free, full)
	}
	if full != silent {
		t.Errorf("one that reports nothing is not taken to be full: %.3f and %.3f", silent, full)
	}
}

// Guards against queries that are refused as congested for copies that refuse with free slots.
func TestRefusalsWithFreeSlotsDoNotCrowd(t *testing.T) {
	x := &run{sends: []send{
		{part: 0, replied: true, reply: direct.Reply{Result: scatter.Refused, Load: &direct.Load{Running: 1, Slots: 4}}},
		{part: 1, replied: true, reply: direct.Reply{Result: scatter.Refused, Load: &direct.Load{Running: 4, Slots: 4}}},
		{part: 2, replied: true, reply: direct.Reply{Result: scatter.Refused}},
		{part: 3, replied: true, reply: direct.Reply{Result: scatter.Failed}},
	}}
	if n := x.crowdedParts(); n != 2 {
		t.Errorf("%d parts count as crowded", n)
	}
}

// every is all upstreams of the services whose names a prefix begins, or of one
// data centre.
func every(of func(id string) bool, how conduct) map[string]conduct {
	out := map[string]conduct{}
	for id := range newSim(0).view.Upstreams {
		if of(id) {
			out[id] = how
		}
	}
	return out
}

// Symptom: a data centre or a whole shard is lost, and queries that could do
// without it, or with copies elsewhere, fail or are late.
// Sequence: each row makes many upstreams ill for six seconds.
// Cause: each query finds it out anew, and waits for what cannot come; hedges
// spend the budget that others need.
func TestWideTroubleLeavesAnswersInTime(t *testing.T) {
	const ms = time.Millisecond
	near := func(id string) bool { return strings.Contains(id, "-a") }
	shard := func(id string) bool { return strings.HasPrefix(id, "s0-") }
	for _, c := range []struct {
		name string
		ill  map[string]conduct
		// failed and late are the most of the hundred that end so; partial says
		// that answers leave the shard out.
		failed, late float64
		partial      bool
	}{
		{"this data centre: down", every(near, ends(scatter.Unreached, ms)), 0.5, 0.5, false},
		{"this data centre: silent", every(near, never), 1, 0.5, false},
		{"this data centre: slow", every(near, slower(8)), 0.5, 0.5, false},
		{"this data centre: errors", every(near, some(0.4, ends(scatter.Failed, simWork))), 0.5, 0.5, false},
		{"this data centre: shed", every(near, some(0.4, ends(scatter.Refused, 2*ms))), 0.5, 0.5, false},
		{"a whole shard: down", every(shard, ends(scatter.Unreached, ms)), 0.5, 0.5, true},
		{"a whole shard: silent", every(shard, never), 0.5, 0.5, true},
		{"a whole shard: errors", every(shard, ends(scatter.Failed, simWork)), 0.5, 0.5, true},
		{"a whole shard: shed", every(shard, ends(scatter.Refused, 2*ms)), 0.5, 0.5, true},
	} {
		s := play(c.ill)
		t.Logf("| %s | %d | %d | %d | %d |", c.name, s.asked, s.failed, s.late, s.partial)
		if s.percent(s.failed) > c.failed || s.percent(s.late) > c.late || s.partial > 0 && !c.partial {
			t.Errorf("%s: of %d requests %d failed, %d were late and %d partial", c.name, s.asked, s.failed, s.late, s.partial)
		}
	}
}

// Symptom: after a service has grown its old upstreams stay as loaded as before.
// Sequence: four copies more register near this VM; they are slow at first.
// Cause: what is unknown or was slow once is not tried.
func TestNewCopiesTakeTheirPart(t *testing.T) {
	const cold = 2 * time.Second
	s := newSim(1)
	s.clock.At(s.start.Add(simIll), func() {
		s.view = s.grown("p", 4, cold)
		s.engine.SetView(s.clock.Now(), s.view)
		for i := range 4 {
			s.ill[fmt.Sprintf("p-a%d", 2+i)] = func(s *sim, u *catalog.Upstream, since time.Duration) (scatter.Result, time.Duration, bool) {
				if since < cold {
					return slower(3)(s, u, since)
				}
				return scatter.Answered, s.usual(u), false
			}
		}
	})
	s.run()
	early, late := 0.0, 0.0
	for i := range 4 {
		id := fmt.Sprintf("p-a%d", 2+i)
		early += s.share(id, simIll, simIll+cold)
		late += s.share(id, simIll+2*cold, simEnd)
	}
	t.Logf("four new of six near copies: %.2f of the first sends while slow, %.2f from two seconds after", early, late)
	if s.failed+s.late > 0 {
		t.Errorf("of %d requests %d failed and %d were late", s.asked, s.failed, s.late)
	}
	if early > 0.5 || late < 0.5 || late > 0.8 {
		t.Errorf("the new copies have %.2f while slow and %.2f of the first sends after", early, late)
	}
}

// grown is the view with more copies of a service near this VM.
func (s *sim) grown(service string, more int, cold time.Duration) *catalog.View {
	v := *s.view
	v.Revision++
	v.Upstreams, v.Services = maps.Clone(v.Upstreams), maps.Clone(v.Services)
	for i := range more {
		u := &catalog.Upstream{ID: fmt.Sprintf("%s-a%d", service, 2+i), Service: service, DataCentre: "a", Slots: 8, ColdFor: cold}
		v.Upstreams[u.ID] = u
		v.Services[service] = append(v.Services[service], u)
	}
	return &v
}
