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
	ms    = time.Millisecond
	usual = 60 * ms
	// room is an objective that leaves no room for later hedges.
	room = 0
)

var start = time.Unix(1000, 0)

// rig is three replicas: one near, two in other regions.
type rig struct {
	table   *Table
	ups     []*catalog.Upstream
	now     time.Time
	attempt uint64
}

func newRig() *rig {
	place := locality.Place{DataCentre: "a", Region: "ra", Regions: map[string]string{"a": "ra", "a2": "ra", "b": "rb", "c": "rc"}}
	r := &rig{table: New(place, rand.New(rand.NewPCG(1, 2))), now: start}
	known := map[string]*catalog.Upstream{}
	for _, dc := range []string{"a", "b", "c"} {
		u := &catalog.Upstream{ID: dc, DataCentre: dc, Slots: 4}
		r.ups = append(r.ups, u)
		known[dc] = u
	}
	r.table.Keep(r.now, known)
	return r
}

func (r *rig) choose() *catalog.Upstream {
	return r.table.Choose(r.now, "k", usual, r.ups, nil, nil)
}

// answer plays one request to an upstream that takes so long.
func (r *rig) answer(u *catalog.Upstream, took time.Duration) {
	r.attempt++
	r.table.Sent(r.now, "k", usual, u, r.attempt, unqueued)
	r.now = r.now.Add(took)
	r.table.Answered(r.now, "k", usual, u, r.attempt, took)
}

// warm lets every upstream answer as usual: 30 ms near, 54 ms far.
func (r *rig) warm() {
	for range 30 {
		r.answer(r.ups[0], 30*ms)
		r.answer(r.ups[1], 54*ms)
		r.answer(r.ups[2], 54*ms)
	}
}

func TestTheNearestOfEqualsIsChosen(t *testing.T) {
	r := newRig()
	if u := r.choose(); u.ID != "a" {
		t.Errorf("before any answer: %s", u.ID)
	}
	r.warm()
	if u := r.choose(); u.ID != "a" {
		t.Errorf("after answers: %s", u.ID)
	}
}

// Symptom: one slow upstream makes every query late for as long as it is slow.
// Sequence: each query sends a part to it, waits, and hedges.
// Cause: its answers did not count against it.
func TestASlowUpstreamIsLeftAndFoundAgain(t *testing.T) {
	r := newRig()
	r.warm()
	r.answer(r.ups[0], 300*ms)
	r.answer(r.ups[0], 300*ms)
	if u := r.choose(); u.ID == "a" {
		t.Fatal("still chosen after two slow answers in a row")
	}
	left := r.now
	for r.choose().ID != "a" {
		r.now = r.now.Add(50 * ms)
	}
	if away := r.now.Sub(left); away < 500*ms || away > 8*time.Second {
		t.Errorf("tried again after %v", away)
	}
}

// Symptom: a sixth of the work goes to other regions although nothing is slow.
// Sequence: an upstream pauses for 300 ms; what has come to it meanwhile answers
// late, all at once; from then on it is as fast as before.
// Cause: each of these answers counted as one more slow answer.
func TestAPauseIsForgottenWhenItIsOver(t *testing.T) {
	r := newRig()
	r.warm()
	began := r.now
	for i := range uint64(5) {
		r.table.Sent(began.Add(time.Duration(i)*50*ms), "k", usual, r.ups[0], 1000+i, unqueued)
	}
	r.now = began.Add(250 * ms)
	if u := r.choose(); u.ID == "a" {
		t.Error("chosen while its oldest request hangs")
	}
	r.now = began.Add(300 * ms)
	for i := range uint64(5) {
		r.table.Answered(r.now, "k", usual, r.ups[0], 1000+i, 300*ms-time.Duration(i)*50*ms)
	}
	if u := r.choose(); u.ID != "a" {
		t.Error("avoided after the pause")
	}
}

// Symptom: a stuck upstream gets as much work as the others.
// Sequence: it never answers; every request to it is abandoned.
// Cause: only answers were learnt from.
func TestAnUpstreamThatNeverAnswersIsLeft(t *testing.T) {
	r := newRig()
	r.warm()
	for range 3 {
		r.attempt++
		r.table.Sent(r.now, "k", usual, r.ups[0], r.attempt, unqueued)
		r.now = r.now.Add(230 * ms)
		r.table.Abandoned(r.now, "k", usual, r.ups[0], r.attempt, 230*ms)
	}
	if u := r.choose(); u.ID == "a" {
		t.Error("still chosen")
	}
}

// Symptom: after a restart every upstream counts as paused or slow, and work goes
// to other regions, although all answer as fast as ever.
// Sequence: sends wait here for one of the few connections; their whole age is
// taken for the upstream's.
// Cause: a wait that this VM makes was held against the upstream.
func TestTheWaitForAConnectionIsNotTheUpstreams(t *testing.T) {
	r := newRig()
	r.warm()
	const wait = 400 * ms
	r.table.Sent(r.now, "k", usual, r.ups[0], 1e6, func(time.Time) time.Duration { return wait })
	r.now = r.now.Add(wait + 10*ms)
	if u := r.choose(); u.ID != "a" {
		t.Errorf("%s chosen while a send to the nearest waited for a connection", u.ID)
	}
	r.now = r.now.Add(200 * ms)
	if u := r.choose(); u.ID == "a" {
		t.Error("chosen while the upstream itself has kept a request for 0.2 s")
	}
}

// Symptom: queries wait for a connection to one upstream while its copies idle.
// Sequence: all connections to the nearest copy are out.
// Cause: the choice saw the upstream's slots and not its own connections.
func TestABusyPoolIsPassedOver(t *testing.T) {
	r := newRig()
	r.warm()
	for _, c := range []struct {
		ahead []float64
		want  string
	}{
		{[]float64{0, 0, 0}, "a"},
		{[]float64{0.5, 0, 0}, "a"},
		{[]float64{3, 0, 0}, "b"},
		{[]float64{3, 4, 4}, "a"},
	} {
		if u := r.table.Choose(r.now, "k", usual, r.ups, c.ahead, nil); u.ID != c.want {
			t.Errorf("ahead %v: %s, want %s", c.ahead, u.ID, c.want)
		}
	}
}

// Symptom: while two of three copies of a shard are slow or dark, every query is
// late, also those for which the third has room.
// Sequence: all of the load goes to the third; it gets a queue, and each request
// that waits in it is late.
// Cause: nothing bounded what one VM had open at one upstream.
func TestLateAnswersBoundTheOpenSends(t *testing.T) {
	r := newRig()
	r.warm()
	if w := r.table.Window(r.ups[0]); w != 0 {
		t.Fatalf("%d before any late answer", w)
	}
	open := func(n int) {
		for range n {
			r.attempt++
			r.table.Sent(r.now, "k", usual, r.ups[0], r.attempt, unqueued)
		}
	}
	end := func(took time.Duration) {
		r.table.Answered(r.now, "k", usual, r.ups[0], r.attempt, took)
		r.attempt--
	}
	open(8)
	r.now = r.now.Add(200 * ms)
	end(200 * ms)
	if w := r.table.Window(r.ups[0]); w != 4 {
		t.Errorf("%d after a late answer with 8 open, want 4", w)
	}
	end(200 * ms)
	if w := r.table.Window(r.ups[0]); w != 4 {
		t.Errorf("%d after a second one that was open beside it, want 4", w)
	}
	end(30 * ms)
	if w := r.table.Window(r.ups[0]); w != 5 {
		t.Errorf("%d after one in time, want 5", w)
	}
	for range 5 {
		r.now = r.now.Add(time.Second)
		end(500 * ms)
	}
	if w := r.table.Window(r.ups[0]); w != 1 {
		t.Errorf("%d after many late ones, want one that tries it", w)
	}
	open(windowMost)
	for range windowMost {
		end(30 * ms)
	}
	if w := r.table.Window(r.ups[0]); w != 0 {
		t.Errorf("%d once it is well again", w)
	}
}

func TestUnreachableUpstreamsArePassedOver(t *testing.T) {
	r := newRig()
	r.warm()
	r.table.Unreachable(r.now, r.ups[0], 1)
	if u := r.choose(); u.ID == "a" {
		t.Error("chosen at once again")
	}
	if u := r.table.Choose(r.now, "k", usual, r.ups[:1], nil, nil); u == nil || u.ID != "a" {
		t.Error("not tried though there is no other")
	}
	r.now = r.now.Add(downFirst)
	if u := r.choose(); u.ID != "a" {
		t.Error("not tried again in time")
	}
}

func TestReachableUntilAllAreDown(t *testing.T) {
	r := newRig()
	r.warm()
	for i, u := range r.ups {
		if !r.table.Reachable(r.now, r.ups) {
			t.Errorf("not reachable with %d of %d down", i, len(r.ups))
		}
		r.table.Unreachable(r.now, u, 0)
	}
	if r.table.Reachable(r.now, r.ups) || r.table.Reachable(r.now, nil) {
		t.Error("reachable though all are down, or there is none")
	}
	r.now = r.now.Add(downFirst)
	if !r.table.Reachable(r.now, r.ups) {
		t.Error("never tried again")
	}
}

func TestFailingUpstreamsAreLeft(t *testing.T) {
	r := newRig()
	r.warm()
	for i := range uint64(6) {
		r.table.Failed(r.now, r.ups[0], i)
	}
	if u := r.choose(); u.ID == "a" {
		t.Error("an upstream that fails everything is chosen")
	}
}

func TestExcludedAndNone(t *testing.T) {
	r := newRig()
	if u := r.table.Choose(r.now, "k", usual, r.ups, nil, []string{"a", "b"}); u == nil || u.ID != "c" {
		t.Errorf("%v", u)
	}
	if u := r.table.Choose(r.now, "k", usual, nil, nil, nil); u != nil {
		t.Errorf("%v of none", u)
	}
}

func TestHedgeDelay(t *testing.T) {
	r := newRig()
	if d := r.table.HedgeDelay(r.now, "k", usual, room, r.ups[0]); d != usual {
		t.Errorf("%v before any answer", d)
	}
	r.warm()
	near := r.table.HedgeDelay(r.now, "k", usual, room, r.ups[0])
	if near < 30*ms || near > 45*ms {
		t.Errorf("near: %v, the tail is about 30 ms", near)
	}
	if d := r.table.HedgeDelay(r.now, "k", usual, 170*ms, r.ups[0]); d <= near || d >= usual {
		t.Errorf("with some room: %v, want between %v and %v", d, near, usual)
	}
	want := time.Duration(patience * float64(usual))
	if d := r.table.HedgeDelay(r.now, "k", usual, 400*ms, r.ups[0]); d != want {
		t.Errorf("with much room: %v, want %v", d, want)
	}
}

func BenchmarkChoose(b *testing.B) {
	r := newRig()
	r.warm()
	var ups []*catalog.Upstream
	for i := range 27 {
		ups = append(ups, &catalog.Upstream{ID: fmt.Sprint(i), DataCentre: "a", Slots: 3})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.table.Choose(r.now, "k", usual, ups, nil, nil)
	}
}

// unqueued is the wait of a send that got a connection at once.
func unqueued(time.Time) time.Duration { return 0 }
