package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
	"sycamorekeel.example/sycamorekeel/internal/locality"
)

const (
	ms = time.Millisecond
	// assumed is the answer time assumed before any is observed.
	assumed = 60 * ms
	// noRoom is an objective that leaves no room for later hedges.
	noRoom = 0
)

var start = time.Unix(1000, 0)

// fixture holds three replicas: one in the VM's data centre, two in other regions.
type fixture struct {
	table    *Table
	replicas []*catalog.Upstream
	now      time.Time
	attempt  uint64
}

func newFixture() *fixture {
	place := locality.Place{DataCentre: "a", Region: "ra", Regions: map[string]string{"a": "ra", "a2": "ra", "b": "rb", "c": "rc"}}
	f := &fixture{table: New(place, rand.New(rand.NewPCG(1, 2))), now: start}
	known := map[string]*catalog.Upstream{}
	for _, dc := range []string{"a", "b", "c"} {
		u := &catalog.Upstream{ID: dc, DataCentre: dc, Slots: 4}
		f.replicas = append(f.replicas, u)
		known[dc] = u
	}
	f.table.SetUpstreams(f.now, known)
	return f
}

func (f *fixture) choose() *catalog.Upstream {
	return f.table.Choose(f.now, "k", assumed, f.replicas, nil, nil)
}

// answer simulates one request to u that takes the given time.
func (f *fixture) answer(u *catalog.Upstream, took time.Duration) {
	f.attempt++
	f.table.Sent(f.now, "k", assumed, u, f.attempt, noWait)
	f.now = f.now.Add(took)
	f.table.Answered(f.now, "k", assumed, u, f.attempt, took)
}

// warm records 30 answers of each replica: 30 ms from the near one, 54 ms from the others.
func (f *fixture) warm() {
	for range 30 {
		f.answer(f.replicas[0], 30*ms)
		f.answer(f.replicas[1], 54*ms)
		f.answer(f.replicas[2], 54*ms)
	}
}

func TestChoosesNearestOfEqualReplicas(t *testing.T) {
	f := newFixture()
	if u := f.choose(); u.ID != "a" {
		t.Errorf("before any answer: %s", u.ID)
	}
	f.warm()
	if u := f.choose(); u.ID != "a" {
		t.Errorf("after answers: %s", u.ID)
	}
}

// Guards against a slow upstream that makes every query late: without counting its answer
// times, each query would send a part to it, wait and hedge. It must be tried again later.
func TestSlowUpstreamIsAvoidedThenRetried(t *testing.T) {
	f := newFixture()
	f.warm()
	f.answer(f.replicas[0], 300*ms)
	f.answer(f.replicas[0], 300*ms)
	if u := f.choose(); u.ID == "a" {
		t.Fatal("still chosen after two slow answers in a row")
	}
	avoidedSince := f.now
	for f.choose().ID != "a" {
		f.now = f.now.Add(50 * ms)
	}
	if avoided := f.now.Sub(avoidedSince); avoided < 500*ms || avoided > 8*time.Second {
		t.Errorf("tried again after %v", avoided)
	}
}

// Guards against a sixth of the load going to other regions while no upstream is slow. After
// a pause of 300 ms, the requests that arrived during it are all answered late at once; if
// each counted as a slow answer, the upstream would be avoided although it is fast again.
func TestPauseIsForgottenOnceOver(t *testing.T) {
	f := newFixture()
	f.warm()
	pausedAt := f.now
	for i := range uint64(5) {
		f.table.Sent(pausedAt.Add(time.Duration(i)*50*ms), "k", assumed, f.replicas[0], 1000+i, noWait)
	}
	f.now = pausedAt.Add(250 * ms)
	if u := f.choose(); u.ID == "a" {
		t.Error("chosen while its oldest request is overdue")
	}
	f.now = pausedAt.Add(300 * ms)
	for i := range uint64(5) {
		f.table.Answered(f.now, "k", assumed, f.replicas[0], 1000+i, 300*ms-time.Duration(i)*50*ms)
	}
	if u := f.choose(); u.ID != "a" {
		t.Error("avoided after the pause")
	}
}

// Guards against a stuck upstream that gets as many requests as the others: it never
// answers, so abandoned requests must count too.
func TestUpstreamThatNeverAnswersIsAvoided(t *testing.T) {
	f := newFixture()
	f.warm()
	for range 3 {
		f.attempt++
		f.table.Sent(f.now, "k", assumed, f.replicas[0], f.attempt, noWait)
		f.now = f.now.Add(230 * ms)
		f.table.Abandoned(f.now, "k", assumed, f.replicas[0], f.attempt, 230*ms)
	}
	if u := f.choose(); u.ID == "a" {
		t.Error("still chosen")
	}
}

// Guards against upstreams that count as paused or slow after a restart of the daemon, which
// moves requests to other regions although all upstreams are fast. Sends then wait on the VM
// for one of few connections, and that wait must not count against the upstream.
func TestConnectionWaitIsNotAttributedToUpstream(t *testing.T) {
	f := newFixture()
	f.warm()
	const wait = 400 * ms
	f.table.Sent(f.now, "k", assumed, f.replicas[0], 1e6, func(time.Time) time.Duration { return wait })
	f.now = f.now.Add(wait + 10*ms)
	if u := f.choose(); u.ID != "a" {
		t.Errorf("%s chosen while a send to the nearest waited for a connection", u.ID)
	}
	f.now = f.now.Add(200 * ms)
	if u := f.choose(); u.ID == "a" {
		t.Error("chosen while the upstream itself has kept a request for 0.2 s")
	}
}

// Guards against queries that wait for a connection to the nearest replica while the other
// replicas are idle: the choice must count the VM's own free connections, not only the
// upstream's slots.
func TestReplicaWithBusyPoolIsAvoided(t *testing.T) {
	f := newFixture()
	f.warm()
	for _, c := range []struct {
		ahead []float64
		want  string
	}{
		{[]float64{0, 0, 0}, "a"},
		{[]float64{0.5, 0, 0}, "a"},
		{[]float64{3, 0, 0}, "b"},
		{[]float64{3, 4, 4}, "a"},
	} {
		if u := f.table.Choose(f.now, "k", assumed, f.replicas, c.ahead, nil); u.ID != c.want {
			t.Errorf("ahead %v: %s, want %s", c.ahead, u.ID, c.want)
		}
	}
}

// Guards against all queries being late while two of three replicas of a shard are slow or
// unreachable, although the third has capacity for some. Without a limit on the sends that
// one VM has open at one upstream, the whole load queues up there.
func TestLateAnswersLimitOpenSends(t *testing.T) {
	f := newFixture()
	f.warm()
	if w := f.table.Window(f.replicas[0]); w != 0 {
		t.Fatalf("%d before any late answer", w)
	}
	send := func(n int) {
		for range n {
			f.attempt++
			f.table.Sent(f.now, "k", assumed, f.replicas[0], f.attempt, noWait)
		}
	}
	answer := func(took time.Duration) {
		f.table.Answered(f.now, "k", assumed, f.replicas[0], f.attempt, took)
		f.attempt--
	}
	send(8)
	f.now = f.now.Add(200 * ms)
	answer(200 * ms)
	if w := f.table.Window(f.replicas[0]); w != 4 {
		t.Errorf("%d after a late answer with 8 open, want 4", w)
	}
	answer(200 * ms)
	if w := f.table.Window(f.replicas[0]); w != 4 {
		t.Errorf("%d after a second late answer that was open at the same time, want 4", w)
	}
	answer(30 * ms)
	if w := f.table.Window(f.replicas[0]); w != 5 {
		t.Errorf("%d after an answer in time, want 5", w)
	}
	for range 5 {
		f.now = f.now.Add(time.Second)
		answer(500 * ms)
	}
	if w := f.table.Window(f.replicas[0]); w != 1 {
		t.Errorf("%d after many late answers, want 1", w)
	}
	send(maxWindow)
	for range maxWindow {
		answer(30 * ms)
	}
	if w := f.table.Window(f.replicas[0]); w != 0 {
		t.Errorf("%d after the upstream has recovered, want 0", w)
	}
}

func TestUnreachableUpstreamsAreAvoided(t *testing.T) {
	f := newFixture()
	f.warm()
	f.table.Unreachable(f.now, f.replicas[0], 1)
	if u := f.choose(); u.ID == "a" {
		t.Error("chosen during its backoff")
	}
	if u := f.table.Choose(f.now, "k", assumed, f.replicas[:1], nil, nil); u == nil || u.ID != "a" {
		t.Error("not tried although there is no other")
	}
	f.now = f.now.Add(minBackoff)
	if u := f.choose(); u.ID != "a" {
		t.Error("not tried after its backoff")
	}
}

func TestReachableUntilAllReplicasAreDown(t *testing.T) {
	f := newFixture()
	f.warm()
	for i, u := range f.replicas {
		if !f.table.Reachable(f.now, f.replicas) {
			t.Errorf("not reachable with %d of %d down", i, len(f.replicas))
		}
		f.table.Unreachable(f.now, u, 0)
	}
	if f.table.Reachable(f.now, f.replicas) || f.table.Reachable(f.now, nil) {
		t.Error("reachable although all are down, or there is none")
	}
	f.now = f.now.Add(minBackoff)
	if !f.table.Reachable(f.now, f.replicas) {
		t.Error("not reachable after the backoff")
	}
}

func TestFailingUpstreamsAreAvoided(t *testing.T) {
	f := newFixture()
	f.warm()
	for i := range uint64(6) {
		f.table.Failed(f.now, f.replicas[0], i)
	}
	if u := f.choose(); u.ID == "a" {
		t.Error("chosen although all its requests fail")
	}
}

func TestChooseHonoursExclusionsAndNoCandidates(t *testing.T) {
	f := newFixture()
	if u := f.table.Choose(f.now, "k", assumed, f.replicas, nil, []string{"a", "b"}); u == nil || u.ID != "c" {
		t.Errorf("%v", u)
	}
	if u := f.table.Choose(f.now, "k", assumed, nil, nil, nil); u != nil {
		t.Errorf("%v without candidates", u)
	}
}

func TestHedgeDelay(t *testing.T) {
	f := newFixture()
	if d := f.table.HedgeDelay(f.now, "k", assumed, noRoom, f.replicas[0]); d != assumed {
		t.Errorf("%v before any answer", d)
	}
	f.warm()
	near := f.table.HedgeDelay(f.now, "k", assumed, noRoom, f.replicas[0])
	if near < 30*ms || near > 45*ms {
		t.Errorf("near: %v, want the tail of about 30 ms", near)
	}
	if d := f.table.HedgeDelay(f.now, "k", assumed, 170*ms, f.replicas[0]); d <= near || d >= assumed {
		t.Errorf("with some room: %v, want between %v and %v", d, near, assumed)
	}
	want := time.Duration(maxHedgeDelayFactor * float64(assumed))
	if d := f.table.HedgeDelay(f.now, "k", assumed, 400*ms, f.replicas[0]); d != want {
		t.Errorf("with much room: %v, want %v", d, want)
	}
}

func BenchmarkChoose(b *testing.B) {
	f := newFixture()
	f.warm()
	var replicas []*catalog.Upstream
	for i := range 27 {
		replicas = append(replicas, &catalog.Upstream{ID: fmt.Sprint(i), DataCentre: "a", Slots: 3})
	}
	b.ReportAllocs()
	for b.Loop() {
		f.table.Choose(f.now, "k", assumed, replicas, nil, nil)
	}
}

// noWait is the wait of a send that gets a connection at once.
func noWait(time.Time) time.Duration { return 0 }
