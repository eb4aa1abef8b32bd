package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// fault is a fault under which the outcome of a request may stay unknown.
type fault struct {
	// beforeSend is called before the requests are sent, inFlight after they are
	// sent and, if runs is set, after all of them have run, and heal before the
	// requests are resent.
	beforeSend, inFlight, heal func(*deployment)
	// runs means that the requests are expected to run under the fault.
	runs bool
	// deadline is the deadline of the requests; 0 leaves it to the configuration.
	deadline time.Duration
	// ownerKnows means that a live owner still knows the outcomes.
	ownerKnows bool
}

// forEachOwner applies a function to the peer faults of every owner.
func (d *deployment) forEachOwner(do func(*fleet.PeerFault)) {
	for _, vm := range d.owners() {
		do(vm.PeerFault)
	}
}

func release(d *deployment) { d.forEachOwner((*fleet.PeerFault).Release) }

func noop(*deployment) {}

const (
	// requestsPerFault is the number of requests sent under each fault.
	requestsPerFault = 10
	// atLeastExecuted expects that at least as many requests are reported as
	// unknown or run as were executed. The others waited for a slot, and their
	// owner reports them as not run when it is asked in time.
	atLeastExecuted = -1
	// anyCount expects any number of unknown outcomes: it depends on the data
	// written before the broken connection is noticed.
	anyCount = -2
)

// checkUnknown sends requests under a fault, resends them after it, and checks how
// many outcomes stay unknown. It reports how many of these a query to the owner
// could resolve at best; docs/design/005-at-most-once.md has the figures.
func (d *deployment) checkUnknown(f fault, wantUnknown int) {
	from := d.nonOwner()
	ops := d.operations(from, requestsPerFault)
	f.beforeSend(d)
	results := make(chan map[string]int, 1)
	go func() {
		defer GinkgoRecover()
		results <- d.sendAll(from, ops, f.deadline)
	}()
	if f.runs {
		for _, op := range ops {
			Eventually(func() int { return d.runs(op.body) }).WithTimeout(20 * time.Second).Should(Equal(1))
		}
	}
	f.inFlight(d)
	first := <-results
	f.heal(d)
	resent := d.sendAll(from, ops, 0)
	Expect(resent).To(Equal(first))
	executed := 0
	for _, op := range ops {
		executed += d.runs(op.body)
	}
	unknown := resent["outcome_unknown/unknown"]
	switch wantUnknown {
	case anyCount:
	case atLeastExecuted:
		Expect(unknown+resent["upstream_failed/ran"]).To(BeNumerically(">=", executed), fmt.Sprint(first))
	default:
		Expect(unknown).To(Equal(wantUnknown), fmt.Sprint(first))
	}
	resolvable := 0
	if f.ownerKnows {
		resolvable = unknown
	}
	AddReportEntry(fmt.Sprintf("%d requests: first %v, resent %v, executed %d, unknown %d, resolvable by the owner %d",
		requestsPerFault, first, resent, executed, unknown, resolvable))
}

var _ = Describe("outcomes that stay unknown", func() {
	Context("with faults of upstreams", Ordered, func() {
		var d *deployment
		BeforeAll(func() { d = startPayments() })

		DescribeTable("under a fault", func(f fault, wantUnknown int) {
			d.waitHealthy(0)
			d.checkUnknown(f, wantUnknown)
		},
			Entry("none", fault{beforeSend: noop, inFlight: noop, heal: noop, runs: true}, 0),
			Entry("upstreams never answer", fault{
				beforeSend: func(d *deployment) { d.changeUpstreams(func(b *standin.Behaviour) { b.Hang = true }) },
				inFlight:   noop,
				heal:       func(d *deployment) { d.changeUpstreams(func(b *standin.Behaviour) { b.Hang = false }) },
				deadline:   time.Second,
			}, atLeastExecuted),
			Entry("upstreams drain", fault{
				beforeSend: func(d *deployment) { d.changeUpstreams(func(b *standin.Behaviour) { b.Draining = true }) },
				inFlight:   noop,
				heal:       func(d *deployment) { d.changeUpstreams(func(b *standin.Behaviour) { b.Draining = false }) },
			}, 0),
			Entry("upstreams refuse connections", fault{beforeSend: closeUpstreams, inFlight: noop, heal: noop}, 0),
		)
	})

	DescribeTable("under a fault between VMs", func(f fault, wantUnknown int) {
		startPayments().checkUnknown(f, wantUnknown)
	},
		Entry("owners cut off just before", fault{
			beforeSend: func(d *deployment) {
				d.forEachOwner((*fleet.PeerFault).Refuse)
				d.forEachOwner((*fleet.PeerFault).Cut)
			},
			inFlight:   noop,
			heal:       release,
			ownerKnows: true,
		}, anyCount),
		Entry("owners paused past the deadline", fault{
			beforeSend: func(d *deployment) { d.forEachOwner((*fleet.PeerFault).HoldReads) },
			inFlight:   noop,
			heal:       release,
			deadline:   shortDeadline,
			ownerKnows: true,
		}, requestsPerFault),
		Entry("streams cut before dispatch", fault{
			beforeSend: func(d *deployment) { d.forEachOwner((*fleet.PeerFault).HoldReads) },
			inFlight: func(d *deployment) {
				blocked := func() (n int) {
					d.forEachOwner(func(p *fleet.PeerFault) { n += p.Blocked() })
					return n
				}
				Eventually(blocked).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
				time.Sleep(100 * time.Millisecond)
				d.forEachOwner((*fleet.PeerFault).Cut)
				release(d)
			},
			heal:       noop,
			ownerKnows: true,
		}, anyCount),
		Entry("streams cut after dispatch", fault{
			beforeSend: func(d *deployment) { d.forEachOwner((*fleet.PeerFault).HoldWrites) },
			inFlight:   func(d *deployment) { d.forEachOwner((*fleet.PeerFault).Cut) },
			heal:       release,
			runs:       true,
			ownerKnows: true,
		}, requestsPerFault),
		Entry("owners crash between dispatch and reply", fault{
			beforeSend: func(d *deployment) { d.forEachOwner((*fleet.PeerFault).HoldWrites) },
			inFlight: func(d *deployment) {
				d.forEachOwner((*fleet.PeerFault).Refuse)
				d.forEachOwner((*fleet.PeerFault).Cut)
			},
			heal: noop,
			runs: true,
		}, requestsPerFault),
	)
})
