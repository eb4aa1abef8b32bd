package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Membership")
}

// limit is far above the simulated time that any case needs.
const limit = 3 * time.Minute

var _ = Describe("membership", func() {
	// Guards against a replaced VM that gets no callers for as long as it runs. If the
	// VM's clock was ahead or is set back, its next process starts with a lower
	// incarnation than the peers remember. Peers drop updates from a lower incarnation,
	// and the new process mistook the remembered one for a newer process.
	DescribeTable("a process whose clock is behind its predecessor's",
		func(fault func(w *network)) {
			w := newNetwork(1)
			w.fill(9)
			w.run(20 * time.Second)
			fault(w)
			p := w.addBehind(3, 10*time.Minute, true)
			w.do(p, func(n *membership.Node) membership.Actions { return n.SetList(w.now, listed(9)) })
			known := func() bool {
				for _, other := range w.processes {
					if !other.down && other.node.Rank(p.name).Incarnation != p.node.Rank(p.name).Incarnation {
						return false
					}
				}
				return w.agree(upTo(9)...)
			}
			_, ok := w.runUntil(30*time.Second, known)
			Expect(ok).To(BeTrue())
			w.run(30 * time.Second)
			Expect(known()).To(BeTrue(), "the agreement must last")
			Expect(p.events).NotTo(ContainElement("superseded"))
		},
		Entry("replaced at once", func(w *network) { w.processes[3].down = true }),
		Entry("replaced after it was declared dead", func(w *network) {
			w.processes[3].down = true
			w.run(time.Minute)
		}),
		Entry("replaced after a planned stop", func(w *network) {
			w.do(w.processes[3], func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
			w.run(5 * time.Second)
			w.processes[3].down = true
		}),
	)

	It("notifies a process that a newer one has its VM's name, if there may be two", func() {
		w := newNetwork(1)
		w.fill(9)
		w.run(20 * time.Second)
		w.processes[3].down = true
		p := w.addBehind(3, 10*time.Minute, false)
		w.do(p, func(n *membership.Node) membership.Actions { return n.SetList(w.now, listed(9)) })
		w.run(10 * time.Second)
		Expect(p.events).To(ContainElement("superseded"))
	})

	// Guards against a new owner that starts an upstream while the old owner is alive,
	// and against a dead owner that keeps its upstreams. Either happens if liveness is
	// decided by a single missed answer, a single path or an outdated update. Each entry
	// is a fault in a settled fleet of nine.
	DescribeTable("views agree on who serves after",
		func(fault func(w *network), want []int) {
			w := newNetwork(1)
			w.fill(9)
			w.run(20 * time.Second)
			Expect(w.agree(upTo(9)...)).To(BeTrue())
			fault(w)
			_, ok := w.runUntil(limit, func() bool { return w.agree(want...) })
			Expect(ok).To(BeTrue())
			w.run(30 * time.Second)
			Expect(w.agree(want...)).To(BeTrue(), "the views must not change again")
		},
		Entry("a crash", func(w *network) { w.processes[3].down = true }, upTo(9, 3)),
		Entry("two crashes at once", func(w *network) { w.processes[3].down, w.processes[4].down = true, true }, upTo(9, 3, 4)),
		Entry("a planned stop", func(w *network) {
			w.do(w.processes[3], func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
		}, upTo(9, 3)),
		Entry("a planned stop that ends", func(w *network) {
			w.do(w.processes[3], func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
			w.run(5 * time.Second)
			w.processes[3].down = true
		}, upTo(9, 3)),
		Entry("a replacement under the same name", func(w *network) {
			w.processes[3].down = true
			w.run(time.Second)
			w.add(3)
		}, upTo(9)),
		Entry("a path cut one way", func(w *network) {
			w.cut = func(from, to string) bool { return from == vmName(0) && to == vmName(1) }
		}, upTo(9)),
		Entry("a path cut both ways", func(w *network) {
			w.cut = func(from, to string) bool {
				return from == vmName(0) && to == vmName(1) || from == vmName(1) && to == vmName(0)
			}
		}, upTo(9)),
		Entry("a healed partition of a minute", func(w *network) {
			w.cut = func(from, to string) bool { return (from < vmName(4)) != (to < vmName(4)) }
			w.run(time.Minute)
			w.cut = func(string, string) bool { return false }
		}, upTo(9)),
		Entry("a member that flaps", func(w *network) {
			for range 6 {
				w.processes[2].paused = true
				w.run(9 * time.Second)
				w.processes[2].paused = false
				w.run(4 * time.Second)
			}
		}, upTo(9)),
		Entry("a pause of a minute", func(w *network) {
			w.processes[2].paused = true
			w.run(time.Minute)
			w.processes[2].paused = false
		}, upTo(9)),
	)

	It("keeps the reachable members serving on both sides of a partition", func() {
		w := newNetwork(2)
		w.fill(9)
		w.run(20 * time.Second)
		w.cut = func(from, to string) bool { return (from < vmName(4)) != (to < vmName(4)) }
		w.run(time.Minute)
		Expect(w.processes[0].node.View().Serving()).To(HaveLen(4))
		Expect(w.processes[8].node.View().Serving()).To(HaveLen(5))
		Expect(w.state(0, 8)).To(Equal(pb.MemberState_DEAD))
	})

	// Guards against a fleet that loses all members because one VM is faulty. A VM that
	// sends but receives nothing suspects every member; it must not spread conclusions
	// that its own isolation explains.
	DescribeTable("ignores the deaths declared by an isolated node, during the isolation and after it",
		func(cut func(from, to string) bool, deaths int) {
			w := newNetwork(3)
			w.fill(9)
			w.run(20 * time.Second)
			w.cut = cut
			_, ok := w.runUntil(limit, func() bool { return w.processes[0].node.Stats().Deaths >= uint64(deaths) })
			Expect(ok).To(BeTrue())
			w.cut = func(string, string) bool { return false }
			w.run(30 * time.Second)
			Expect(w.agree(upTo(9)...)).To(BeTrue())
			for _, p := range w.processes[1:] {
				Expect(p.node.Stats().Deaths).To(BeNumerically("<=", 1), "at most the death of the isolated node")
			}
		},
		Entry("receives nothing until it holds all dead", func(_, to string) bool { return to == vmName(0) }, 8),
		Entry("receives nothing until it holds one dead", func(_, to string) bool { return to == vmName(0) }, 1),
		Entry("cut off until it holds all dead", func(from, to string) bool { return from == vmName(0) || to == vmName(0) }, 8),
		Entry("cut off until it holds one dead", func(from, to string) bool { return from == vmName(0) || to == vmName(0) }, 1),
	)

	It("does not spread the suspicions of a node that receives nothing", func() {
		w := newNetwork(3)
		w.fill(9)
		w.run(20 * time.Second)
		w.cut = func(_, to string) bool { return to == vmName(0) }
		w.run(time.Minute)
		for _, p := range w.processes[1:] {
			Expect(p.node.Stats().Suspicions).To(BeEquivalentTo(1), "only of the isolated node")
		}
	})

	// Guards against repeated suspicions of healthy members when the path between two of
	// them is cut, one way or both ways: a failed path is not a failed member.
	DescribeTable("does not suspect a member that others reach",
		func(cut func(from, to string) bool) {
			w := newNetwork(6)
			w.fill(9)
			w.run(20 * time.Second)
			w.cut = cut
			w.run(2 * time.Minute)
			for _, p := range w.processes {
				Expect(p.node.Stats().Suspicions).To(BeZero(), p.name)
			}
		},
		Entry("cut one way", func(from, to string) bool { return from == vmName(0) && to == vmName(1) }),
		Entry("cut both ways", func(from, to string) bool {
			return from <= vmName(1) && to <= vmName(1)
		}),
	)

	// Guards against a VM that keeps serving with an outdated view after a pause, and
	// that holds its peers dead because its timers expired while it could receive
	// nothing. Each entry pauses one VM for a given time.
	DescribeTable("a paused node",
		func(prepare func(*network), pause time.Duration, events []string, alone bool) {
			w := newNetwork(4)
			w.fill(9)
			w.run(20 * time.Second)
			prepare(w)
			w.processes[0].paused = true
			w.run(pause)
			w.processes[0].paused = false
			dead := w.processes[0].node.Stats().Deaths
			w.run(tick)
			Expect(w.processes[0].node.Revalidating()).To(Equal(len(events) > 0))
			w.runUntil(limit, func() bool { return !w.processes[0].node.Revalidating() })
			Expect(w.processes[0].events).To(Equal(events))
			Expect(w.processes[0].alone).To(Equal(alone))
			if alone {
				return
			}
			Expect(w.processes[0].node.Stats().Deaths).To(Equal(dead), "no member was declared dead")
			_, ok := w.runUntil(limit, func() bool { return w.agree(upTo(9)...) })
			Expect(ok).To(BeTrue())
		},
		Entry("ignores a short pause", noPreparation, time.Second, nil, false),
		Entry("revalidates after three seconds", noPreparation, 3*time.Second, []string{"revalidate", "revalidated"}, false),
		Entry("revalidates after a minute, when all hold it dead", noPreparation, time.Minute, []string{"revalidate", "revalidated"}, false),
		Entry("revalidates after a pause while it suspects a member", func(w *network) {
			w.cut = func(_, to string) bool { return to == vmName(5) }
			w.runUntil(limit, func() bool { return w.state(0, 5) == pb.MemberState_SUSPECT })
			w.cut = func(string, string) bool { return false }
		}, 10*time.Second, []string{"revalidate", "revalidated"}, false),
		Entry("revalidates without any answer", func(w *network) {
			for _, p := range w.processes[1:] {
				p.down = true
			}
		}, 10*time.Second, []string{"revalidate", "revalidated"}, true),
	)

	It("does not count a pause towards the suspicion timeout", func() {
		w := newNetwork(7)
		w.fill(2)
		w.run(20 * time.Second)
		w.cut = func(string, string) bool { return true }
		w.runUntil(limit, func() bool { return w.state(0, 1) == pb.MemberState_SUSPECT })
		w.processes[0].paused = true
		w.run(time.Minute)
		w.processes[0].paused = false
		w.runUntil(limit, func() bool { return len(w.processes[0].events) == 2 })
		w.run(tick)
		Expect(w.state(0, 1)).To(Equal(pb.MemberState_SUSPECT))
		w.run(10 * time.Second)
		Expect(w.state(0, 1)).To(Equal(pb.MemberState_DEAD))
	})

	// Guards against a VM that takes work after a pause although newer peers know that
	// the work has another owner. Only two of eight peers can answer the VM, so the first
	// answers alone must not end the revalidation.
	It("sends three rounds of probes after a pause before it accepts fewer than three answers", func() {
		w := newNetwork(5)
		w.fill(9)
		w.run(20 * time.Second)
		w.processes[0].paused = true
		w.run(10 * time.Second)
		// Only two members can answer, so the node probes again before it continues.
		w.cut = func(from, to string) bool {
			return to == vmName(0) && from != vmName(1) && from != vmName(2)
		}
		w.processes[0].paused = false
		took, ok := w.runUntil(limit, func() bool { return len(w.processes[0].events) == 2 })
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically(">=", 3*membership.DefaultRevalidationRetry))
		Expect(w.processes[0].alone).To(BeFalse())
	})
})

func noPreparation(*network) {}
