package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// dataCentres is the number of data centres, two per region. VMs are assigned to
// them in turn.
const dataCentres = 6

// edgeTiming is the timing of daemons that serve callers over direct connections.
var edgeTiming = membership.Timing{Period: 400 * time.Millisecond, DirectTimeout: 150 * time.Millisecond, SuspicionFactor: 2, UpdateRate: 6000}

func centre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func regionOf(i int) string { return fmt.Sprintf("region-%d", i%dataCentres/2) }

// addIn starts a process of VM i in its data centre, with a seed in each region.
func (w *network) addIn(i int, preferLocal bool) *process {
	return w.addWith(membership.Options{
		Self: &pb.MemberUpdate{Vm: vmName(i), Incarnation: uint64(w.now.UnixMicro()) + uint64(i), Region: regionOf(i), DataCentre: centre(i),
			CallerAddress: address(i), PeerAddress: address(i)},
		Seeds:       []string{address(0), address(2), address(4)},
		Seed:        w.rand.Uint64(),
		PreferLocal: preferLocal,
		Timing:      edgeTiming,
	})
}

// startFleet starts count VMs in all data centres that know three seeds.
func startFleet(seed uint64, count int, preferLocal bool) *network {
	w := newNetwork(seed)
	w.loss = 0.01
	for i := range count {
		w.addIn(i, preferLocal)
	}
	w.run(30 * time.Second)
	Expect(w.agree(upTo(count)...)).To(BeTrue())
	return w
}

// remoteBytesPerSecond returns the bytes per second of all VMs that leave a data centre.
func remoteBytesPerSecond(w *network) float64 {
	const measured = 20 * time.Second
	before := w.remoteBytes
	w.run(measured)
	return float64(w.remoteBytes-before) / measured.Seconds()
}

// vmsIn returns the VMs of a data centre.
func vmsIn(dataCentre, count int) []int {
	var out []int
	for i := dataCentre; i < count; i += dataCentres {
		out = append(out, i)
	}
	return out
}

var _ = Describe("a fleet of several data centres", func() {
	const count = 96

	// Guards against a fleet of hundreds of VMs whose probes between regions cost more
	// than its answers to callers, although nothing happens. That is so if every VM probes
	// every other alike, wherever it is.
	It("keeps most probes within the data centres", func() {
		uniform := remoteBytesPerSecond(startFleet(1, count, false))
		local := remoteBytesPerSecond(startFleet(1, count, true))
		Expect(local).To(BeNumerically("<", uniform/3))
	})

	// Guards against callers being sent to VMs of a lost data centre. All its VMs are lost at
	// once, and with them the members that mostly probe them.
	DescribeTable("detects the loss of a data centre", func(preferLocal bool) {
		for seed := range uint64(5) {
			w := startFleet(seed, count, preferLocal)
			lost := vmsIn(3, count)
			for _, i := range lost {
				w.processes[i].down = true
			}
			took, ok := w.runUntil(30*time.Second, func() bool { return w.agree(upTo(count, lost...)...) })
			Expect(ok).To(BeTrue())
			Expect(took).To(BeNumerically("<=", 8*time.Second), "seed %d", seed)
		}
	},
		Entry("with uniform probing", false),
		Entry("with local members preferred", true),
	)

	// Guards against callers being sent to a leaving VM. One VM changes its capacity, and the
	// update must not stay in its data centre.
	It("disseminates a change to all data centres", func() {
		for seed := range uint64(5) {
			w := startFleet(seed, count, true)
			w.do(w.processes[7], func(n *membership.Node) membership.Actions { return n.SetCapacity(w.now, 77) })
			took, ok := w.runUntil(10*time.Second, func() bool {
				for _, p := range w.processes {
					if m, _ := p.node.View().Find(vmName(7)); m.Capacity != 77 {
						return false
					}
				}
				return true
			})
			Expect(ok).To(BeTrue())
			Expect(took).To(BeNumerically("<=", 4*time.Second), "seed %d", seed)
		}
	})

	// Guards against VMs of a region that remain unknown to the others after the region was
	// cut off for a minute. Both sides mostly probe live members of their own data centre.
	It("reconnects after a region was cut off", func() {
		w := startFleet(3, count, true)
		w.cut = func(from, to string) bool {
			return (w.byVM[from].opts.Self.Region == "region-1") != (w.byVM[to].opts.Self.Region == "region-1")
		}
		w.run(time.Minute)
		w.cut = func(string, string) bool { return false }
		_, ok := w.runUntil(30*time.Second, func() bool { return w.agree(upTo(count)...) })
		Expect(ok).To(BeTrue())
	})

	// Guards against a fleet whose start costs more bytes than a day of running. Every
	// process requests the list of members at its start and must not disseminate all of it
	// again.
	It("does not disseminate a whole list again", func() {
		w := startFleet(4, count, true)
		list := w.processes[0].node.Updates()
		joiner := w.addWith(membership.Options{
			Self: &pb.MemberUpdate{Vm: vmName(count), Incarnation: uint64(w.now.UnixMicro()), Region: regionOf(count), DataCentre: centre(count),
				CallerAddress: address(count), PeerAddress: address(count)},
			Seed: 1, PreferLocal: true, Timing: edgeTiming,
		})
		w.do(joiner, func(n *membership.Node) membership.Actions { return n.MergeUpdates(w.now, list) })
		Expect(joiner.node.View().Serving()).To(HaveLen(count + 1))
		passed := 0
		for range 5 {
			w.now = w.now.Add(edgeTiming.Period)
			for _, s := range joiner.node.Tick(w.now).Sends {
				for _, u := range s.Datagram.Updates {
					if u.State == pb.MemberState_ALIVE {
						passed++
					}
				}
			}
		}
		Expect(passed).To(BeZero())
	})
})
