package capacity

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestHedgesShortenTheSimulatedTailWithinTheirBudget(t *testing.T) {
	g := NewWithT(t)
	const budget = 0.02
	plain, none := simulate(targetFanOut, hedge{})
	hedged, extra := simulate(targetFanOut, hedge{quantile: 0.99, budget: budget})
	g.Expect(none).To(BeZero())
	g.Expect(plain).To(Equal(stallMS), "of 380 upstreams one stalls in a third of the queries")
	g.Expect(hedged).To(BeNumerically("<", plain))
	g.Expect(extra).To(BeNumerically("<=", 8.0/targetFanOut))
}

func TestBatchesHoldWhatTheyWereMadeOf(t *testing.T) {
	g := NewWithT(t)
	g.Expect(requests(8).Frames).To(HaveLen(8))
	g.Expect(replies(8).Frames[7].GetReply().Body).To(HaveLen(replyBody))
	g.Expect(ownersMet(vms(10), upstreams(100))).To(BeNumerically("<=", 10))
}
