package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// dataCentres is how many data centres, two a region, the VMs of spread are in, in turn.
const dataCentres = 6

// The timing of daemons that serve callers over direct connections.
var edgeTiming = membership.Timing{Period: 400 * time.Millisecond, DirectTimeout: 150 * time.Millisecond, SuspicionFactor: 2, UpdateRate: 6000}

func centre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func regionOf(i int) string { return fmt.Sprintf("region-%d", i%dataCentres/2) }

// addIn starts a process of VM i in its data centre, with a seed in each region.
func (w *network) addIn(i int, near bool) *process {
	return w.addWith(membership.Options{
		Self: &pb.MemberUpdate{Vm: vmName(i), Incarnation: uint64(w.now.UnixMicro()) + uint64(i), Region: regionOf(i), DataCentre: centre(i),
			CallerAddress: address(i), PeerAddress: address(i)},
		Seeds:    []string{address(0), address(2), address(4)},
		Seed:     w.rand.Uint64(),
		KeepNear: near,
		Timing:   edgeTiming,
	})
}

// startFleet starts count VMs in all data centres that know of three seeds.
func startFleet(seed uint64, count int, near bool) *network {
	w := newNetwork(seed)
	w.loss = 0.01
	for i := range count {
		w.addIn(i, near)
	}
	w.run(30 * time.Second)
	Expect(w.agree(upTo(count)...)).To(BeTrue())
	return w
}

// remoteBytesPerSecond is the bytes a second of all VMs that leave a data centre.
func remoteBytesPerSecond(w *network) float64 {
	const measured = 20 * time.Second
	before := w.remoteBytes
	w.run(measured)
	return float64(w.remoteBytes-before) / measured.Seconds()
}

// in is the VMs of a data centre.
func in(dataCentre, count int) []int {
	var out []int
	for i := dataCentre; i < count; i += dataCentres {
		out = append(out, i)
	}
	return out
}

var _ = Describe("a fleet of several data centres", func() {
	const count = 96

	// Symptom: a fleet of hundreds of VMs pays more for its own probes between regions
	// than for what it answers.
	// Sequence: nothing happens.
	// Cause: every VM probes every other alike, wherever it is.
	It("keeps its probes in the data centres", func() {
		all := remoteBytesPerSecond(startFleet(1, count, false))
		near := remoteBytesPerSecond(startFleet(1, count, true))
		Expect(near).To(BeNumerically("<", all/3))
	})

	// Symptom: callers are sent to VMs of a data centre that is gone.
	// Sequence: all its VMs are lost at once.
	// Cause: those that probed them are lost as well.
	DescribeTable("notices the loss of one of them", func(near bool) {
		for seed := range uint64(5) {
			w := startFleet(seed, count, near)
			lost := in(3, count)
			for _, i := range lost {
				w.processes[i].down = true
			}
			took, ok := w.runUntil(30*time.Second, func() bool { return w.agree(upTo(count, lost...)...) })
			Expect(ok).To(BeTrue())
			Expect(took).To(BeNumerically("<=", 8*time.Second), "seed %d", seed)
		}
	},
		Entry("all probed alike", false),
		Entry("near ones mostly", true),
	)

	// Symptom: callers are sent to a VM that is leaving.
	// Sequence: one VM tells that it takes no callers any more.
	// Cause: its word stays in its data centre.
	It("passes news on to all of them", func() {
		for seed := range uint64(5) {
			w := startFleet(seed, count, true)
			w.do(w.processes[7], func(n *membership.Node) membership.Actions { return n.SetCapacity(w.now, 77) })
			took, ok := w.runUntil(10*time.Second, func() bool {
				for _, h := range w.processes {
					if m, _ := h.node.View().Find(vmName(7)); m.Capacity != 77 {
						return false
					}
				}
				return true
			})
			Expect(ok).To(BeTrue())
			Expect(took).To(BeNumerically("<=", 4*time.Second), "seed %d", seed)
		}
	})

	// Symptom: VMs of a region that was cut off stay unknown to the others.
	// Sequence: a region is cut off for a minute and comes back.
	// Cause: both sides probe those they know to be alive, which are near.
	It("finds together again after a cut", func() {
		w := startFleet(3, count, true)
		w.cut = func(from, to string) bool {
			return (w.byVM[from].opts.Self.Region == "region-1") != (w.byVM[to].opts.Self.Region == "region-1")
		}
		w.run(time.Minute)
		w.cut = func(string, string) bool { return false }
		_, ok := w.runUntil(30*time.Second, func() bool { return w.agree(upTo(count)...) })
		Expect(ok).To(BeTrue())
	})

	// Symptom: the start of a fleet costs more bytes than its day.
	// Sequence: every process asks for the list of members when it starts.
	// Cause: each takes what it is told for news and passes all of it on.
	It("does not pass a whole list on", func() {
		w := startFleet(4, count, true)
		list := w.processes[0].node.Updates()
		joiner := w.addWith(membership.Options{
			Self: &pb.MemberUpdate{Vm: vmName(count), Incarnation: uint64(w.now.UnixMicro()), Region: regionOf(count), DataCentre: centre(count),
				CallerAddress: address(count), PeerAddress: address(count)},
			Seed: 1, KeepNear: true, Timing: edgeTiming,
		})
		w.do(joiner, func(n *membership.Node) membership.Actions { return n.Learn(w.now, list) })
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
