package spread

import (
	"testing"
	"time"
)

const bound = 3 * time.Second

// inTime fails the test when a VM passed the bound.
func inTime(t *testing.T, fl *Fleet) {
	t.Helper()
	if r := fl.Result(); r.Overdue != "" {
		t.Error(r.Overdue)
	}
}

// The time until every VM has a change holds whatever happens to the readers:
// they are killed or cut from the store, one or both at once.
func TestChangesReachEveryVMInTime(t *testing.T) {
	for name, harm := range map[string]func(*Fleet){
		"nothing":         func(*Fleet) {},
		"readers killed":  func(fl *Fleet) { fl.Kill(fl.Readers()...) },
		"readers cut off": func(fl *Fleet) { fl.Cut(fl.Readers()...) },
	} {
		for seed := range uint64(20) {
			fl := New(Options{VMs: 9, Seed: seed, Bound: bound})
			fl.Run(4 * time.Second)
			harm(fl)
			fl.Change()
			fl.Run(time.Second)
			fl.Change()
			fl.SetPeers()
			fl.Run(5 * time.Second)
			if inTime(t, fl); t.Failed() {
				t.Fatalf("%s, seed %d", name, seed)
			}
		}
	}
}

// The store's calls do not grow with the fleet: a calm minute costs about as many
// at 9 VMs as at 90.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	calls := map[int]int{}
	for _, n := range []int{9, 90} {
		fl := New(Options{VMs: n, Seed: 1, Bound: bound})
		fl.Run(10 * time.Second)
		before := fl.traffic.StoreCalls
		fl.Run(30 * time.Second)
		calls[n] = fl.traffic.StoreCalls - before
	}
	if calls[90] > 2*calls[9] {
		t.Errorf("calls in 30 s: %v", calls)
	}
}

// largeBound is the bound on changes of a fleet of hundreds of VMs.
const largeBound = 6 * time.Second

// Symptom: a day with an outage of the store costs ten times the calls of another.
// Sequence: the store refuses every call for longer than VMs go without a confirmation.
// Cause: each VM then reads for itself, and each that is refused tries again every second.
func TestAnOutageOfTheStoreCostsFewCalls(t *testing.T) {
	for seed := range uint64(3) {
		fl := New(Options{VMs: 295, Seed: seed, Bound: largeBound})
		fl.Run(10 * time.Second)
		before := fl.traffic.StoreCalls
		fl.Refuse(true)
		fl.Run(largeBound + time.Second)
		fl.Refuse(false)
		fl.Change()
		fl.Run(largeBound)
		inTime(t, fl)
		if calls := fl.traffic.StoreCalls - before; calls > 2*295 {
			t.Errorf("seed %d: %d calls", seed, calls)
		}
	}
}

// Symptom: after the loss of all processes hundreds of VMs read the whole store.
// Sequence: all start at once, no seed answers, and each takes itself for the first.
// Cause: a VM that knows nobody elected itself. What it needs at once may be seconds old;
// the few that the others know read on.
func TestARestartOfAllCostsFewCalls(t *testing.T) {
	for seed := range uint64(3) {
		fl := New(Options{VMs: 295, Seed: seed, Bound: largeBound, Restart: true})
		fl.Run(600 * time.Millisecond)
		for _, v := range fl.vms {
			if v.f.State().Revision() == 0 {
				t.Fatalf("seed %d: %s knows nothing after 0.6 s", seed, v.peer.VM)
			}
		}
		fl.SetPeers()
		fl.Change()
		fl.Run(2 * largeBound)
		inTime(t, fl)
		if fl.traffic.StoreCalls > 60 || fl.traffic.StaleCalls > 295 {
			t.Errorf("seed %d: %d calls, %d for what may be stale", seed, fl.traffic.StoreCalls, fl.traffic.StaleCalls)
		}
	}
}

// Symptom: after the loss of all processes the VMs that callers come to refuse them for half
// a second longer than others.
// Sequence: they start a little later than the rest, hear of hundreds of peers at once, and
// leave the reading to those before them by rank; what these have read may be stale, is
// confirmed by nobody, and so told to nobody.
// Cause: a process that knows nothing waited its turn for a listing that costs little.
func TestAProcessThatKnowsItsPeersDoesNotWaitForThem(t *testing.T) {
	for seed := range uint64(3) {
		fl := New(Options{VMs: 295, Seed: seed, Bound: largeBound, Restart: true})
		fl.SetPeers()
		fl.Run(300 * time.Millisecond)
		for _, v := range fl.vms {
			if v.f.State().Revision() == 0 {
				t.Fatalf("seed %d: %s knows nothing after 0.3 s", seed, v.peer.VM)
			}
		}
	}
}

// Symptom: a whole fleet stays at a revision that does not exist, and no change comes into
// force any more.
// Sequence: one VM gives out a revision far above the store's; all take it in, the readers
// too.
// Cause: nothing known was ever replaced by an earlier revision, the store's own included.
func TestAForgedRevisionDoesNotLast(t *testing.T) {
	for seed := range uint64(5) {
		fl := New(Options{VMs: 70, Seed: seed, Bound: largeBound})
		fl.Run(10 * time.Second)
		fl.Forge(33, 1_000_000)
		fl.Run(3 * largeBound)
		fl.Change()
		fl.Run(largeBound)
		for _, v := range fl.vms {
			if got := v.f.State().Position(); got != fl.store.at {
				t.Fatalf("seed %d: %s is at %v, the store at %v", seed, v.peer.VM, got, fl.store.at)
			}
		}
	}
}

// A seed repeats a run to the last byte.
func TestASeedRepeatsARun(t *testing.T) {
	run := func() Result {
		e := Experiment{Sizes: []int{30}, Seeds: []uint64{7}, Bound: bound, Document: 50_000, Gap: 200 * time.Millisecond, Length: 6 * time.Second, LoseReaders: true}
		return e.Run()[0]
	}
	a, b := run(), run()
	if a.Traffic != b.Traffic || a.Latest != b.Latest || a.Median != b.Median || len(a.Delays) == 0 {
		t.Errorf("%+v and %+v", a, b)
	}
}
