package bench

import (
	"fmt"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// fault is one thing that goes wrong, and its end. End may be nil.
type fault struct {
	name  string
	begin func(*run) error
	end   func(*run) error
}

const (
	straggle = 20
	// lastVM is the VM that faults of VMs strike.
	lastVM = 2
)

func one(shard, replica int) func(int, int) bool {
	return func(s, r int) bool { return s == shard && r == replica }
}

func all(int, int) bool { return true }

func edit(service string, match func(int, int) bool, e func(*standin.Behaviour)) func(*run) error {
	return func(r *run) error {
		r.change(service, match, e)
		return nil
	}
}

func plain(do func(*run)) func(*run) error {
	return func(r *run) error {
		do(r)
		return nil
	}
}

// faults is the table of what may go wrong; pairs of them are made together.
func faults() []fault {
	return append(append(upstreamFaults(), vmFaults()...), configFaults()...)
}

func upstreamFaults() []fault {
	slow := func(f float64) func(*standin.Behaviour) { return func(b *standin.Behaviour) { b.Slow = f } }
	hang := func(h bool) func(*standin.Behaviour) { return func(b *standin.Behaviour) { b.Hang = h } }
	firstShard := func(s, _ int) bool { return s == 0 }
	return []fault{
		{"straggler", edit(scanService, one(0, 0), slow(straggle)), edit(scanService, one(0, 0), slow(1))},
		{"replica lost", closeUpstream(scanService, 1, 0), nil},
		{"replica silent", edit(payService, one(2, 0), hang(true)), edit(payService, one(2, 0), hang(false))},
		{"shard lost", edit(scanService, firstShard, hang(true)), edit(scanService, firstShard, hang(false))},
		{"cold start", edit(scanService, one(3, 0), func(b *standin.Behaviour) { b.Cold, b.ColdFactor = 50, 10 }), nil},
		{"shed storm",
			edit(scanService, all, func(b *standin.Behaviour) { b.Slots = 1 }),
			edit(scanService, all, func(b *standin.Behaviour) { b.Slots = 5 })},
		{"upstream drains",
			edit(payService, one(1, 0), func(b *standin.Behaviour) { b.Draining = true }),
			edit(payService, one(1, 0), func(b *standin.Behaviour) { b.Draining = false })},
	}
}

func closeUpstream(service string, shard, replica int) func(*run) error {
	return plain(func(r *run) { r.fleet.Upstreams[upstreamID(service, shard, replica)].Close() })
}

func vmFaults() []fault {
	return []fault{
		{"VM killed", plain(func(r *run) { r.fleet.VMs[lastVM].Kill() }), nil},
		{"VM restarted", func(r *run) error { return r.fleet.Restart(lastVM, true) }, nil},
		{"VM stopped", plain(func(r *run) { r.stop(lastVM) }), nil},
		{"VM cut off", plain(func(r *run) { r.fleet.Isolate(lastVM) }), plain(func(r *run) { r.fleet.Heal() })},
		{"one way cut", plain(func(r *run) { r.fleet.Cut(0, lastVM, false) }), plain(func(r *run) { r.fleet.Heal() })},
	}
}

// stop stops a VM as planned, beside the load.
func (r *run) stop(vm int) {
	v := r.fleet.VMs[vm]
	if !v.Running() {
		return
	}
	r.stopped.Add(1)
	go func() {
		defer r.stopped.Done()
		if err := v.Stop(); err != nil {
			r.brokenf("%s: planned stop: %v", v.Settings.Vm, err)
		}
	}()
}

func configFaults() []fault {
	return []fault{
		{"platform down", plain(func(r *run) { r.fleet.Platform.SetDown(true) }), plain(func(r *run) { r.fleet.Platform.SetDown(false) })},
		{"platform stale", plain(func(r *run) { r.fleet.Platform.SetStale(1) }), plain(func(r *run) { r.fleet.Platform.SetStale(0) })},
		{"rejected revision", plain(func(r *run) { r.fleet.Publish("extra", "customers = 7\n") }), plain(func(r *run) { r.fleet.Publish("extra", "") })},
		{"version change", changeVersion, dropVersion},
		{"repartition", repartition, endRepartition},
		{"upstream leaving", leave, nil},
	}
}

// changeVersion publishes version 2 beside 1; half of the replicas serve both,
// the others only 1 until the change ends.
func changeVersion(r *run) error {
	r.change(scanService, func(_, replica int) bool { return replica > 0 }, serve("1/1", "1/2", "2/1"))
	st := r.states[scanService]
	st.maps[0].versions = []uint64{1, 2}
	r.states[scanService] = st
	r.publish(scanService)
	return nil
}

// dropVersion retires version 1 at the upstreams first, as a lagging
// publication would.
func dropVersion(r *run) error {
	r.change(scanService, all, serve("1/2", "2/1"))
	st := r.states[scanService]
	st.maps[0].versions = []uint64{2}
	r.publish(scanService)
	return nil
}

// repartition puts the data in fewer shards, beside the old map.
func repartition(r *run) error {
	r.change(scanService, all, serve("1/1", "1/2", "2/1"))
	st := r.states[scanService]
	st.maps = append(st.maps, shardMap{generation: 2, shards: r.scenario.on.shards - 2, versions: []uint64{1}})
	r.states[scanService] = st
	r.publish(scanService)
	return nil
}

func endRepartition(r *run) error {
	r.change(scanService, all, serve("2/1"))
	st := r.states[scanService]
	st.maps = st.maps[len(st.maps)-1:]
	r.states[scanService] = st
	r.publish(scanService)
	return nil
}

func serve(snapshots ...string) func(*standin.Behaviour) {
	return func(b *standin.Behaviour) { b.Snapshots = snapshots }
}

// leavePatience is how long new work may still reach a leaving upstream.
const leavePatience = 3 * time.Second

// leave publishes that an upstream leaves, and finds work that comes later.
func leave(r *run) error {
	const shard, replica = 4, 1
	r.states[payService].leaving[upstreamName(shard, replica)] = true
	r.publish(payService)
	u := r.fleet.Upstreams[upstreamID(payService, shard, replica)]
	r.stopped.Add(1)
	go func() {
		defer r.stopped.Done()
		time.Sleep(leavePatience)
		before := u.Served()
		r.sleepUntil(r.scenario.duration)
		if after := u.Served(); after != before {
			r.brokenf("%s got %d requests more than %v after it was to leave", u.Address(), after-before, leavePatience)
		}
	}()
	return nil
}

// pairs is every two faults of the table, each before the other once, as
// scenarios of a short run.
func pairs(short time.Duration) []scenario {
	var out []scenario
	table := faults()
	for i := range table {
		for j := i + 1; j < len(table); j++ {
			out = append(out, pair(table[i], table[j], short))
		}
	}
	return out
}

func pair(a, b fault, duration time.Duration) scenario {
	on := ordinary()
	s := scenario{
		name:     fmt.Sprintf("%s + %s", a.name, b.name),
		on:       on,
		duration: duration,
		loads:    steadyLoads(20, 8),
	}
	step := duration / 6
	for i, f := range []fault{a, b} {
		s.events = append(s.events, event{at: step * time.Duration(1+i), do: f.begin})
	}
	for i, f := range []fault{a, b} {
		if f.end != nil {
			s.events = append(s.events, event{at: step * time.Duration(3+i), do: f.end})
		}
	}
	return s
}
