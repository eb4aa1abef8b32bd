package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/placement"
)

const (
	// directoryVMs are spread over directoryCentres, two data centres per region.
	directoryVMs     = 60
	directoryCentres = 6
	// A VM's answers count once it has been in contact with the others for contact. No answer
	// may name a VM from goneAfter after its end, which is contact and three seconds.
	contact   = 6 * time.Second
	goneAfter = contact + 3*time.Second
)

// directoryTiming is the timing used by package node.
var directoryTiming = membership.Timing{
	Period: 400 * time.Millisecond, DirectTimeout: 150 * time.Millisecond, SuspicionFactor: 2, UpdateRate: 6000,
}

// directory is a fleet whose VMs return the addresses of VMs to callers.
type directory struct {
	*network
	gone map[string]time.Time
	// inTouch is the time since which each VM has been in contact with the others.
	inTouch map[string]time.Time
}

func newDirectory(seed uint64) *directory {
	d := &directory{network: newNetwork(seed), gone: map[string]time.Time{}, inTouch: map[string]time.Time{}}
	d.loss = 0.05
	for i := range directoryVMs {
		d.start(i)
	}
	return d
}

// start starts a process of VM i.
func (d *directory) start(i int) {
	p := d.addWith(membership.Options{
		Self: &pb.MemberUpdate{
			Vm: vmName(i), Incarnation: uint64(d.now.UnixMicro()) + uint64(i), Capacity: 100,
			Region: fmt.Sprint("region-", i%directoryCentres/2), DataCentre: fmt.Sprint("dc-", i%directoryCentres),
			CallerAddress: callerAddress(i), PeerAddress: address(i),
		},
		Seeds: []string{address(0), address(1), address(2)}, SoleProcess: true, PreferLocal: true, Seed: d.rand.Uint64(), Timing: directoryTiming,
	})
	d.inTouch[p.name] = d.now
	delete(d.gone, callerAddress(i))
}

func callerAddress(i int) string { return fmt.Sprintf("10.1.0.%d:7000", i) }

// kill ends all processes of VM i.
func (d *directory) kill(i int) {
	for _, p := range d.processes {
		if p.name == vmName(i) {
			p.down = true
		}
	}
	d.gone[callerAddress(i)] = d.now
}

// watch runs the fleet and checks all answers of VMs in contact. It returns a description of
// the first answer that names a VM gone for too long.
func (d *directory) watch(length time.Duration) string {
	for end := d.now.Add(length); d.now.Before(end); {
		d.run(tick)
		for _, p := range d.processes {
			if p.down || d.now.Sub(d.inTouch[p.name]) < contact {
				continue
			}
			if stale := d.staleAnswer(p); stale != "" {
				return stale
			}
		}
	}
	return ""
}

func (d *directory) staleAnswer(p *process) string {
	for region := range directoryCentres / 2 {
		caller := placement.Caller{Region: fmt.Sprint("region-", region), DataCentre: fmt.Sprint("dc-", 2*region)}
		for _, a := range placement.Choose(p.node.View().Members, caller, placement.Bounds{MaxVMs: 8, MinVMs: 3, TargetCapacity: 10_000}) {
			if since, gone := d.gone[a]; gone && d.now.Sub(since) > goneAfter {
				return fmt.Sprintf("%s names %s to callers in %s, gone for %v", p.name, a, caller.Region, d.now.Sub(since))
			}
		}
	}
	return ""
}

// Guards against callers that receive addresses of VMs that have been gone for seconds, from
// VMs that were partitioned and still have the old members, that have just started, or that
// were added after the loss.
func TestDirectoryOmitsGoneVMs(t *testing.T) {
	for seed := range uint64(5) {
		d := newDirectory(seed)
		d.watch(15 * time.Second)
		cut := map[string]bool{}
		for i := 20; i < 32; i++ {
			cut[vmName(i)] = true
		}
		d.cut = func(from, to string) bool { return cut[from] != cut[to] }
		d.watch(time.Second)
		// A data centre and some other VMs are lost during the partition.
		for i := range directoryVMs {
			if i%directoryCentres == 5 || i%13 == 7 {
				d.kill(i)
			}
		}
		for name := range cut {
			// These VMs are not in contact until the partition ends.
			d.inTouch[name] = d.now.Add(4 * time.Second)
		}
		if stale := d.watch(4 * time.Second); stale != "" {
			t.Errorf("seed %d, during the partition: %s", seed, stale)
		}
		d.cut = func(string, string) bool { return false }
		for _, i := range []int{4, 5, 11, 21} {
			d.restart(i)
		}
		for i := directoryVMs; i < directoryVMs+4; i++ {
			d.start(i)
		}
		if stale := d.watch(20 * time.Second); stale != "" {
			t.Errorf("seed %d, after the partition: %s", seed, stale)
		}
		if n := d.countNamed(0); n < 3 {
			t.Errorf("seed %d: %d VMs named at the end", seed, n)
		}
	}
}

// restart ends the process of VM i, if it is up, and starts a new one.
func (d *directory) restart(i int) {
	d.kill(i)
	d.processes = slices.DeleteFunc(d.processes, func(p *process) bool { return p.name == vmName(i) })
	d.start(i)
}

// countNamed returns how many VMs the first VM that is up names to callers of a region.
func (d *directory) countNamed(region int) int {
	for _, p := range d.processes {
		if !p.down {
			caller := placement.Caller{Region: fmt.Sprint("region-", region)}
			return len(placement.Choose(p.node.View().Members, caller, placement.Bounds{MaxVMs: 8, MinVMs: 3, TargetCapacity: 10_000}))
		}
	}
	return 0
}
