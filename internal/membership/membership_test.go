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
			_, ok := w.until(limit, func() bool { return w.agree(want...) })
			Expect(ok).To(BeTrue())
			w.run(30 * time.Second)
			Expect(w.agree(want...)).To(BeTrue(), "the views must stay")
		},
		Entry("a crash", func(w *network) { w.hosts[3].down = true }, upTo(9, 3)),
		Entry("two crashes at once", func(w *network) { w.hosts[3].down, w.hosts[4].down = true, true }, upTo(9, 3, 4)),
		Entry("a planned stop", func(w *network) {
			w.do(w.hosts[3], func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
		}, upTo(9, 3)),
		Entry("a planned stop that ends", func(w *network) {
			w.do(w.hosts[3], func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
			w.run(5 * time.Second)
			w.hosts[3].down = true
		}, upTo(9, 3)),
		Entry("a replacement under the same name", func(w *network) {
			w.hosts[3].down = true
			w.run(time.Second)
			w.add(3)
		}, upTo(9)),
		Entry("one way cut: A hears B, B does not hear A", func(w *network) {
			w.cut = func(from, to string) bool { return from == hostName(0) && to == hostName(1) }
		}, upTo(9)),
		Entry("a pair cut in both ways", func(w *network) {
			w.cut = func(from, to string) bool {
				return from == hostName(0) && to == hostName(1) || from == hostName(1) && to == hostName(0)
			}
		}, upTo(9)),
		Entry("a partition of a minute, healed", func(w *network) {
			w.cut = func(from, to string) bool { return (from < hostName(4)) != (to < hostName(4)) }
			w.run(time.Minute)
			w.cut = func(string, string) bool { return false }
		}, upTo(9)),
		Entry("a member that flaps", func(w *network) {
			for range 6 {
				w.hosts[2].paused = true
				w.run(9 * time.Second)
				w.hosts[2].paused = false
				w.run(4 * time.Second)
			}
		}, upTo(9)),
		Entry("a pause of a minute", func(w *network) {
			w.hosts[2].paused = true
			w.run(time.Minute)
			w.hosts[2].paused = false
		}, upTo(9)),
	)

	It("lets both sides of a partition serve with those they reach", func() {
		w := newNetwork(2)
		w.fill(9)
		w.run(20 * time.Second)
		w.cut = func(from, to string) bool { return (from < hostName(4)) != (to < hostName(4)) }
		w.run(time.Minute)
		Expect(w.hosts[0].node.View().Serving()).To(HaveLen(4))
		Expect(w.hosts[8].node.View().Serving()).To(HaveLen(5))
		Expect(w.state(0, 8)).To(Equal(pb.MemberState_DEAD))
	})

	// Symptom: the whole fleet loses its members while one VM is ill.
	// Sequence: a VM sends but receives nothing; it suspects everybody.
	// Cause: it spreads conclusions that its own deafness explains.
	It("does not believe a deaf node, neither while it is deaf nor after", func() {
		w := newNetwork(3)
		w.fill(9)
		w.run(20 * time.Second)
		w.cut = func(_, to string) bool { return to == hostName(0) }
		lost := 0
		for range 300 {
			w.run(tick)
			for i := 1; i < 9; i++ {
				for j := 1; j < 9; j++ {
					if w.state(i, j) == pb.MemberState_DEAD {
						lost++
					}
				}
			}
		}
		w.cut = func(string, string) bool { return false }
		for range 300 {
			w.run(tick)
			for i := 1; i < 9; i++ {
				for j := 1; j < 9; j++ {
					if w.state(i, j) == pb.MemberState_DEAD {
						lost++
					}
				}
			}
		}
		Expect(lost).To(BeZero())
		Expect(w.agree(upTo(9)...)).To(BeTrue())
	})
})
