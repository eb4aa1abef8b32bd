package bench

import (
	"fmt"
	"time"
)

// runTime is how long a scenario's load goes on.
const runTime = 6 * time.Second

// steadyLoads is both customers at the same rates, a second.
func steadyLoads(scan, pay float64) []load {
	return []load{
		{customer: "blue", kind: scanKind, perSec: scan},
		{customer: "blue", kind: payKind, perSec: pay},
		{customer: "green", kind: scanKind, perSec: scan},
		{customer: "green", kind: payKind, perSec: pay},
	}
}

func base(name, about string) scenario {
	return scenario{name: name, about: about, on: ordinary(), loads: steadyLoads(40, 15), duration: runTime}
}

// withFault strikes at a sixth of the run and ends at two thirds.
func withFault(name, about string, f fault) scenario {
	s := base(name, about)
	s.events = []event{{at: runTime / 6, do: f.begin}}
	if f.end != nil {
		s.events = append(s.events, event{at: runTime * 2 / 3, do: f.end})
	}
	return s
}

// about says what each single fault does.
var singles = []struct{ fault, about string }{
	{"straggler", "one of three replicas of a shard 20x slower"},
	{"replica lost", "one replica refuses connections"},
	{"shard lost", "all replicas of a shard never answer"},
	{"version change", "a new index version comes up, the old one is retired"},
	{"repartition", "ten shards become eight"},
	{"VM killed", "one of three VMs crashes"},
	{"VM stopped", "one of three VMs is stopped as planned"},
	{"VM cut off", "one VM loses its peers; callers, upstreams and platform reach it"},
	{"upstream leaving", "an upstream is published as leaving"},
	{"upstream drains", "an upstream says itself that it drains"},
	{"cold start", "an upstream starts cold, 50 requests 10x slower"},
	{"shed storm", "every upstream serves one request at a time in place of five"},
}

// scenarios is the whole table.
func scenarios() []scenario {
	out := []scenario{base("steady", "no fault")}
	known := map[string]fault{}
	for _, f := range faults() {
		known[f.name] = f
	}
	for _, s := range singles {
		out = append(out, withFault(s.fault, s.about, known[s.fault]))
	}
	out = append(out, tenfold(), skewed())
	for _, times := range []float64{1, 2, 3, 5} {
		out = append(out, offered(times))
	}
	return append(out, configChange("platform down", func(r *run) { r.fleet.Platform.SetDown(true) }, func(r *run) { r.fleet.Platform.SetDown(false) }),
		configChange("platform stale", func(r *run) { r.fleet.Platform.SetStale(1) }, func(r *run) { r.fleet.Platform.SetStale(0) }))
}

// tenfold has one customer at ten times its contract.
func tenfold() scenario {
	s := base("customer at 10x", "blue sends ten times its contract, green keeps to its own")
	s.on.customers[0].scanRate = 30
	s.on.customers[1].scanRate = 60
	s.loads = []load{
		{customer: "blue", kind: scanKind, perSec: 300},
		{customer: "green", kind: scanKind, perSec: 40},
		{customer: "green", kind: payKind, perSec: 15},
	}
	return s
}

// skewed has every request of a customer come to one VM.
func skewed() scenario {
	s := base("skewed callers", "all of blue's requests, at 80% of its contract, go to one VM")
	s.on.customers[0].scanRate = 50
	s.loads = []load{
		{customer: "blue", kind: scanKind, perSec: 40, skewed: true},
		{customer: "green", kind: scanKind, perSec: 40},
	}
	return s
}

// offered sends a multiple of what the upstreams can serve; the contracts allow
// it all, so that only the queues and the deadlines refuse.
func offered(times float64) scenario {
	const capacity = 95
	s := base(fmt.Sprintf("load %gx of capacity", times), "contracts above what the upstreams can serve")
	s.on.slots = 2
	s.on.median = 50 * time.Millisecond
	for i := range s.on.customers {
		s.on.customers[i].scanRate = 2000
		s.on.customers[i].concurrency = 2000
	}
	s.loads = []load{
		{customer: "blue", kind: scanKind, perSec: capacity * times / 2},
		{customer: "green", kind: scanKind, perSec: capacity * times / 2},
	}
	return s
}

// configChange publishes contracts while the platform has a fault, and takes the
// time until they are in force everywhere once it is over.
func configChange(name string, begin, end func(*run)) scenario {
	s := base(name+", contracts change", "a contract is published before, during and after the fault")
	s.events = []event{
		{at: runTime / 6, do: plain(func(r *run) { r.takeSpread("before the fault") })},
		{at: runTime / 3, do: plain(begin)},
		{at: runTime / 2, do: plain(func(r *run) { r.publish(payService) })},
		{at: runTime * 2 / 3, do: plain(func(r *run) {
			end(r)
			r.takeSpread("after the fault")
		})},
	}
	return s
}

// takeSpread publishes a document and waits until every VM has it in force.
func (r *run) takeSpread(when string) {
	const patience = 11 * time.Second
	r.states[scanService].leaving["nothing"] = true
	start := time.Now()
	want := r.publish(scanService)
	for _, vm := range r.fleet.Running() {
		for vm.Daemon.Snapshot().Revision < want {
			if time.Since(start) > patience {
				r.brokenf("%s has revision %d, %d was published %v ago", vm.Settings.Vm, vm.Daemon.Snapshot().Revision, want, patience)
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	r.notef("in force everywhere %.0f ms %s", float64(time.Since(start).Microseconds())/1000, when)
}
