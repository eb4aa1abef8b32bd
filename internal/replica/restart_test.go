package replica

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// restarted is the registration of a later start of an upstream under the same id.
func restarted(u *catalog.Upstream, cold time.Duration) *catalog.Upstream {
	next := *u
	next.Born = u.Born.Add(time.Minute)
	next.ColdFor = cold
	return &next
}

// bornRig is a rig whose upstreams say when they started.
func bornRig() *rig {
	r := newRig()
	for _, u := range r.ups {
		u.Born = start
	}
	return r
}

func (r *rig) keep() {
	known := map[string]*catalog.Upstream{}
	for _, u := range r.ups {
		known[u.ID] = u
	}
	r.table.Keep(r.now, known)
}

// Symptom: an upstream that has started again is passed over as slow and failing, or
// gets full work while it is cold.
// Sequence: it fails, its process ends and starts again under the id it had.
// Cause: what was observed of the former process was kept under the id.
func TestAnUpstreamThatStartedAgainIsANewOne(t *testing.T) {
	r := bornRig()
	r.keep()
	r.warm()
	u := r.ups[0]
	for range 6 {
		r.attempt++
		r.table.Sent(r.now, "k", usual, u, r.attempt, unqueued)
		r.table.Failed(r.now, u, r.attempt)
	}
	r.table.Sent(r.now, "k", usual, u, 1000, unqueued)
	r.table.Unreachable(r.now, u, 1001)
	r.ups[0] = restarted(u, 2*time.Second)
	r.keep()
	got := *r.table.upstreams[u.ID]
	if got.failures != 0 || got.weight != 0 || got.downUntil != (time.Time{}) || len(got.open) != 0 {
		t.Errorf("%+v", got)
	}
	if want := r.now.Add(2 * time.Second); !got.coldUntil.Equal(want) {
		t.Errorf("cold until %v, want %v", got.coldUntil, want)
	}
}

// Symptom: an upstream counts as slow or as failing just after its start.
// Sequence: sends to its former process end after the new one is known.
// Cause: they were counted against the id.
func TestSendsToAFormerStartSayNothingOfTheNewOne(t *testing.T) {
	r := bornRig()
	r.keep()
	r.warm()
	former := r.ups[0]
	for attempt := range uint64(4) {
		r.table.Sent(r.now, "k", usual, former, 1000+attempt, unqueued)
	}
	r.ups[0] = restarted(former, 0)
	r.keep()
	r.now = r.now.Add(time.Second)
	r.table.Answered(r.now, "k", usual, former, 1000, time.Second)
	r.table.Abandoned(r.now, "k", usual, former, 1001, time.Second)
	r.table.Failed(r.now, former, 1002)
	r.table.Unreachable(r.now, former, 1003)
	got := *r.table.upstreams[former.ID]
	if got.weight != 0 || got.failures != 0 || got.downUntil != (time.Time{}) || got.window != 0 {
		t.Errorf("%+v", got)
	}
}

// An entry of an earlier start, which a query still holds, does not undo the later one.
func TestAnEarlierStartChangesNothing(t *testing.T) {
	r := bornRig()
	former := r.ups[0]
	r.ups[0] = restarted(former, 0)
	r.keep()
	r.warm()
	weight := r.table.upstreams[former.ID].weight
	r.ups[0] = former
	r.keep()
	if got := r.table.upstreams[former.ID].weight; got != weight || weight == 0 {
		t.Errorf("weight %v, before %v", got, weight)
	}
}
