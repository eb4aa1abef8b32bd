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

// limit is far above what any case needs in simulated time.
const limit = 3 * time.Minute

var _ = Describe("membership", func() {
	// Symptom: a VM that was replaced gets no callers for as long as it runs.
	// Sequence: the VM's clock was ahead, or is set back; its next process starts
	// with a lower incarnation than the peers remember.
	// Cause: peers drop what comes from a lower incarnation, and the new process
	// took their word for a newer process beside it.
	DescribeTable("a process behind its predecessor's clock",
		func(fault func(w *network)) {
			w := newNetwork(1)
			w.fill(9)
			w.run(20 * time.Second)
			fault(w)
			h := w.addBehind(3, 10*time.Minute, true)
			w.do(h, func(n *membership.Node) membership.Actions { return n.SetList(w.now, listed(9)) })
			known := func() bool {
				for _, other := range w.processes {
					if !other.down && other.node.Rank(h.name).Incarnation != h.node.Rank(h.name).Incarnation {
						return false
					}
				}
				return w.agree(upTo(9)...)
			}
			_, ok := w.runUntil(30*time.Second, known)
			Expect(ok).To(BeTrue())
			w.run(30 * time.Second)
			Expect(known()).To(BeTrue(), "it must stay")
			Expect(h.events).NotTo(ContainElement("superseded"))
		},
		Entry("replaced at once", func(w *network) { w.processes[3].down = true }),
		Entry("replaced after it was held dead", func(w *network) {
			w.processes[3].down = true
			w.run(time.Minute)
		}),
		Entry("replaced after a planned stop", func(w *network) {
			w.do(w.processes[3], func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
			w.run(5 * time.Second)
			w.processes[3].down = true
		}),
	)

	It("tells a process that a newer one has its VM's name, where there may be two", func() {
		w := newNetwork(1)
		w.fill(9)
		w.run(20 * time.Second)
		w.processes[3].down = true
		h := w.addBehind(3, 10*time.Minute, false)
		w.do(h, func(n *membership.Node) membership.Actions { return n.SetList(w.now, listed(9)) })
		w.run(10 * time.Second)
		Expect(h.events).To(ContainElement("superseded"))
	})

	// Symptom: an upstream's new owner starts while the old one is alive, or a
	// dead owner keeps its upstreams.
	// Sequence: each row's fault on a settled fleet of nine.
	// Cause: liveness judged by one missed answer, one path or an old word.
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
			Expect(w.agree(want...)).To(BeTrue(), "the views must stay")
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
		Entry("one way cut: A hears B, B does not hear A", func(w *network) {
			w.cut = func(from, to string) bool { return from == vmName(0) && to == vmName(1) }
		}, upTo(9)),
		Entry("a pair cut in both ways", func(w *network) {
			w.cut = func(from, to string) bool {
				return from == vmName(0) && to == vmName(1) || from == vmName(1) && to == vmName(0)
			}
		}, upTo(9)),
		Entry("a partition of a minute, healed", func(w *network) {
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

	It("lets both sides of a partition serve with those they reach", func() {
		w := newNetwork(2)
		w.fill(9)
		w.run(20 * time.Second)
		w.cut = func(from, to string) bool { return (from < vmName(4)) != (to < vmName(4)) }
		w.run(time.Minute)
		Expect(w.processes[0].node.View().Serving()).To(HaveLen(4))
		Expect(w.processes[8].node.View().Serving()).To(HaveLen(5))
		Expect(w.state(0, 8)).To(Equal(pb.MemberState_DEAD))
	})

	// Symptom: the whole fleet loses its members while one VM is ill.
	// Sequence: a VM sends but receives nothing; it suspects everybody.
	// Cause: it spreads conclusions that its own deafness explains.
	DescribeTable("does not believe a node that heard nobody, neither meanwhile nor after",
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
			for _, h := range w.processes[1:] {
				Expect(h.node.Stats().Deaths).To(BeNumerically("<=", 1), "only its own")
			}
		},
		Entry("deaf until all are dead to it", func(_, to string) bool { return to == vmName(0) }, 8),
		Entry("deaf until one is", func(_, to string) bool { return to == vmName(0) }, 1),
		Entry("alone until all are", func(from, to string) bool { return from == vmName(0) || to == vmName(0) }, 8),
		Entry("alone until one is", func(from, to string) bool { return from == vmName(0) || to == vmName(0) }, 1),
	)

	It("does not pass on the suspicions of a deaf node", func() {
		w := newNetwork(3)
		w.fill(9)
		w.run(20 * time.Second)
		w.cut = func(_, to string) bool { return to == vmName(0) }
		w.run(time.Minute)
		for _, h := range w.processes[1:] {
			Expect(h.node.Stats().Suspicions).To(BeEquivalentTo(1), "only of the deaf node")
		}
	})

	// Symptom: members are suspected again and again although they are well.
	// Sequence: the path between two of them is cut, one way or both.
	// Cause: one path is taken for the member.
	DescribeTable("suspects nobody whom others reach",
		func(cut func(from, to string) bool) {
			w := newNetwork(6)
			w.fill(9)
			w.run(20 * time.Second)
			w.cut = cut
			w.run(2 * time.Minute)
			for _, h := range w.processes {
				Expect(h.node.Stats().Suspicions).To(BeZero(), h.name)
			}
		},
		Entry("one way", func(from, to string) bool { return from == vmName(0) && to == vmName(1) }),
		Entry("both ways", func(from, to string) bool {
			return from <= vmName(1) && to <= vmName(1)
		}),
	)

	// Symptom: a VM that was paused serves on with its old views, and holds its
	// peers dead because they were silent meanwhile.
	// Sequence: one VM stands still for each row's time, then wakes.
	// Cause: its timers ran out while nothing could reach it.
	DescribeTable("a node that stood still",
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
			Expect(w.processes[0].node.InDoubt()).To(Equal(len(events) > 0))
			w.runUntil(limit, func() bool { return !w.processes[0].node.InDoubt() })
			Expect(w.processes[0].events).To(Equal(events))
			Expect(w.processes[0].alone).To(Equal(alone))
			if alone {
				return
			}
			Expect(w.processes[0].node.Stats().Deaths).To(Equal(dead), "no peer died")
			_, ok := w.runUntil(limit, func() bool { return w.agree(upTo(9)...) })
			Expect(ok).To(BeTrue())
		},
		Entry("briefly notices nothing", nothing, time.Second, nil, false),
		Entry("for three seconds asks its peers first", nothing, 3*time.Second, []string{"revalidate", "revalidated"}, false),
		Entry("for a minute, held dead by all", nothing, time.Minute, []string{"revalidate", "revalidated"}, false),
		Entry("while it suspected a peer", func(w *network) {
			w.cut = func(_, to string) bool { return to == vmName(5) }
			w.runUntil(limit, func() bool { return w.state(0, 5) == pb.MemberState_SUSPECT })
			w.cut = func(string, string) bool { return false }
		}, 10*time.Second, []string{"revalidate", "revalidated"}, false),
		Entry("and finds nobody", func(w *network) {
			for _, h := range w.processes[1:] {
				h.down = true
			}
		}, 10*time.Second, []string{"revalidate", "revalidated"}, true),
	)

	It("does not count a pause as time that a suspect had to refute", func() {
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

	// Symptom: a VM takes work after a pause that its newest peers know to be
	// another's.
	// Sequence: it wakes, and only two of eight peers can answer it.
	// Cause: the first answer ends the doubt.
	It("asks three times after a pause before fewer than three answers are enough", func() {
		w := newNetwork(5)
		w.fill(9)
		w.run(20 * time.Second)
		w.processes[0].paused = true
		w.run(10 * time.Second)
		// Only two can answer: it asks again before it goes on.
		w.cut = func(from, to string) bool {
			return to == vmName(0) && from != vmName(1) && from != vmName(2)
		}
		w.processes[0].paused = false
		took, ok := w.runUntil(limit, func() bool { return len(w.processes[0].events) == 2 })
		Expect(ok).To(BeTrue())
		Expect(took).To(BeNumerically(">=", 3*membership.DefaultAskAgain))
		Expect(w.processes[0].alone).To(BeFalse())
	})
})

func nothing(*network) {}
