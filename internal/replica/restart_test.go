package replica

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// restarted returns the registration of u's next process under the same id, cold for the
// given time.
func restarted(u *catalog.Upstream, cold time.Duration) *catalog.Upstream {
	next := *u
	next.StartedAt = u.StartedAt.Add(time.Minute)
	next.ColdFor = cold
	return &next
}

// newDatedFixture returns a fixture whose upstreams report when they started.
func newDatedFixture() *fixture {
	f := newFixture()
	for _, u := range f.replicas {
		u.StartedAt = start
	}
	return f
}

// keep applies the current registrations.
func (f *fixture) keep() {
	known := map[string]*catalog.Upstream{}
	for _, u := range f.replicas {
		known[u.ID] = u
	}
	f.table.SetUpstreams(f.now, known)
}

// Guards against a restarted upstream that is avoided as slow and failing, or gets full load
// while it is cold, because the observations of its former process were kept under its id.
func TestRestartDiscardsObservations(t *testing.T) {
	f := newDatedFixture()
	f.keep()
	f.warm()
	u := f.replicas[0]
	for range 6 {
		f.attempt++
		f.table.Sent(f.now, "k", assumed, u, f.attempt, noWait)
		f.table.Failed(f.now, u, f.attempt)
	}
	f.table.Sent(f.now, "k", assumed, u, 1000, noWait)
	f.table.Unreachable(f.now, u, 1001)
	f.replicas[0] = restarted(u, 2*time.Second)
	f.keep()
	got := *f.table.upstreams[u.ID]
	if got.failures != 0 || got.weight != 0 || got.downUntil != (time.Time{}) || len(got.open) != 0 {
		t.Errorf("%+v", got)
	}
	if want := f.now.Add(2 * time.Second); !got.coldUntil.Equal(want) {
		t.Errorf("cold until %v, want %v", got.coldUntil, want)
	}
}

// Guards against an upstream that counts as slow or failing just after its restart, because
// sends to its former process ended after the new registration had arrived.
func TestSendsToFormerProcessAreIgnored(t *testing.T) {
	f := newDatedFixture()
	f.keep()
	f.warm()
	former := f.replicas[0]
	for attempt := range uint64(4) {
		f.table.Sent(f.now, "k", assumed, former, 1000+attempt, noWait)
	}
	f.replicas[0] = restarted(former, 0)
	f.keep()
	f.now = f.now.Add(time.Second)
	f.table.Answered(f.now, "k", assumed, former, 1000, time.Second)
	f.table.Abandoned(f.now, "k", assumed, former, 1001, time.Second)
	f.table.Failed(f.now, former, 1002)
	f.table.Unreachable(f.now, former, 1003)
	got := *f.table.upstreams[former.ID]
	if got.weight != 0 || got.failures != 0 || got.downUntil != (time.Time{}) || got.window != 0 {
		t.Errorf("%+v", got)
	}
}

// A registration of a former process does not replace that of a later one.
func TestKeepIgnoresFormerRegistration(t *testing.T) {
	f := newDatedFixture()
	former := f.replicas[0]
	f.replicas[0] = restarted(former, 0)
	f.keep()
	f.warm()
	weight := f.table.upstreams[former.ID].weight
	f.replicas[0] = former
	f.keep()
	if got := f.table.upstreams[former.ID].weight; got != weight || weight == 0 {
		t.Errorf("weight %v, before %v", got, weight)
	}
}
