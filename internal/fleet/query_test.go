package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// scatteredDocument returns a customer with a query kind over three shards of two
// replicas each; shard i is on upstreams a<i> and b<i>.
func scatteredDocument() string {
	return standin.Office(standin.Kind{
		Name: "search", Service: "lease", WaitForFull: true, Idempotent: true, HedgePercent: 5, RetryPercent: 10, Merge: "concat",
	}) + standin.Service{
		Name: "lease", Path: "/search", Upstreams: []string{"a0", "a1", "a2", "b0", "b1", "b2"}, Slots: 20, Connections: 40,
		Shards: replicaPairs(3), Documents: 10,
	}.Text()
}

// mapText returns a shard map whose shard i is on upstreams a<i> and b<i>.
func mapText(generation int, versions string, shards int) string {
	return standin.MapText(generation, versions, replicaPairs(shards), 10)
}

// replicaPairs returns the replicas a<i> and b<i> of each shard i.
func replicaPairs(shards int) [][]string {
	out := make([][]string, shards)
	for i := range out {
		out[i] = []string{fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)}
	}
	return out
}

// searchFleet is a fleet under a steady load of queries.
type searchFleet struct {
	*deployment
	stop    chan struct{}
	load    sync.WaitGroup
	answers atomic.Int64
	mu      sync.Mutex
	// violations describe the answers that violated a property; snapshots counts
	// the answers by snapshot.
	violations []string
	snapshots  map[string]int
}

func startSearches() *searchFleet {
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"lease": scatteredDocument()},
		VMs:         3,
		DataCentres: []string{"d1", "d2", "d3"},
		Seed:        5,
		Behaviour: func(u *pb.Upstream, _ string) standin.Behaviour {
			return standin.Behaviour{Median: time.Millisecond, Slots: int(u.Slots), Hits: 2, Snapshots: []string{"1/1"}}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	s := &searchFleet{deployment: &deployment{Fleet: f, notRun: map[string]string{}}, stop: make(chan struct{}), snapshots: map[string]int{}}
	DeferCleanup(f.Close)
	return s
}

// run sends queries from two callers to each VM until finish. If fullCoverage is
// set, every answer must cover all shards.
func (s *searchFleet) run(fullCoverage bool) {
	for vm := range s.VMs {
		for range 2 {
			s.load.Go(func() {
				defer GinkgoRecover()
				for {
					select {
					case <-s.stop:
						return
					case <-time.After(2 * time.Millisecond):
						s.check(s.query(vm), fullCoverage)
					}
				}
			})
		}
	}
}

// finish stops the load and expects no violations.
func (s *searchFleet) finish() {
	close(s.stop)
	s.load.Wait()
	Expect(s.violations).To(BeEmpty())
}

// query sends one query to a VM and returns the answer.
func (s *searchFleet) query(vm int) *frontend.Answer {
	status, body := s.do(vm, http.MethodPost, callerapi.QueryPath+"search", "", `{"query":"x"}`, 0)
	Expect(status).To(Equal(http.StatusOK), string(body))
	var a frontend.Answer
	Expect(json.Unmarshal(body, &a)).To(Succeed())
	return &a
}

// check verifies the properties of an answer: every hit belongs to the snapshot
// that the answer names, and every shard counted as covered contributed its hits
// exactly once.
func (s *searchFleet) check(a *frontend.Answer, fullCoverage bool) {
	name := fmt.Sprintf("%d/%d", a.Snapshot.Generation, a.Snapshot.Version)
	violation := ""
	seen := map[string]bool{}
	for _, h := range a.Hits {
		var fields struct{ Snapshot string }
		if err := json.Unmarshal(h.Fields, &fields); err != nil || fields.Snapshot != name {
			violation = fmt.Sprintf("answer of snapshot %s contains hit %s", name, h.Fields)
		}
		if seen[h.ID] {
			violation = "duplicate hit: " + h.ID
		}
		seen[h.ID] = true
	}
	if len(a.Hits) != 2*a.Coverage.ShardsAnswered {
		violation = fmt.Sprintf("%d hits from %d shards", len(a.Hits), a.Coverage.ShardsAnswered)
	}
	if fullCoverage && a.Coverage.Fraction != 1 {
		violation = fmt.Sprintf("answer of snapshot %s covers only %v: missing %v", name, a.Coverage.Fraction, a.Coverage.Missing)
	}
	s.answers.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[name]++
	if violation != "" {
		s.violations = append(s.violations, violation)
	}
}

// answered returns a function that counts the answers of a snapshot.
func (s *searchFleet) answered(snapshot string) func() int {
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.snapshots[snapshot]
	}
}

// waitAnswers waits for n further answers.
func (s *searchFleet) waitAnswers(n int64) {
	from := s.answers.Load()
	Eventually(s.answers.Load).WithTimeout(20 * time.Second).Should(BeNumerically(">=", from+n))
}

// setSnapshots changes the snapshots that the upstreams serve, one upstream after
// the other.
func (s *searchFleet) setSnapshots(snapshots ...string) {
	for _, u := range s.Upstreams {
		u.Change(func(b *standin.Behaviour) { b.Snapshots = snapshots })
		s.waitAnswers(5)
	}
}

var _ = Describe("queries under a fault", func() {
	// Guards against an answer that mixes two versions or lacks shards during a
	// version change. Version 2 is published before any upstream has it; the
	// upstreams load it one by one, then drop version 1 one by one while it is still
	// published. Pinning a query to a version that no upstream serves, or keeping
	// answers when a query restarts on another version, causes the failure.
	It("returns complete answers from one version while the version changes", func() {
		s := startSearches()
		s.run(true)
		s.waitAnswers(20)
		s.EditDocument("lease", func(t string) string { return strings.Replace(t, "versions = [1]", "versions = [1, 2]", 1) })
		s.waitAnswers(20)
		s.setSnapshots("1/1", "1/2")
		Eventually(s.answered("1/2")).WithTimeout(20 * time.Second).Should(BeNumerically(">", 20))
		s.setSnapshots("1/2")
		s.waitAnswers(20)
		s.finish()
		Expect(s.answered("1/1")()).To(BeNumerically(">", 0))
	})

	// Guards against the same failure with shard maps instead of versions: answers
	// mix two partitionings of the data, or count a shard of the other one. A map of
	// two shards is published next to one of three; the upstreams serve both, then
	// only the second.
	It("returns complete answers from one map while the data is repartitioned", func() {
		s := startSearches()
		s.run(true)
		s.waitAnswers(20)
		s.EditDocument("lease", func(t string) string { return t + mapText(2, "[1]", 2) })
		s.waitAnswers(20)
		s.setSnapshots("1/1", "2/1")
		Eventually(s.answered("2/1")).WithTimeout(20 * time.Second).Should(BeNumerically(">", 20))
		s.setSnapshots("2/1")
		s.waitAnswers(20)
		s.finish()
	})

	// Guards against reduced coverage although every shard has a replica left: one
	// replica of each shard disappears without notice, and a refused connection
	// is treated as a failure of the whole shard.
	It("keeps full coverage when a replica of each shard is lost", func() {
		s := startSearches()
		s.run(false)
		s.waitAnswers(20)
		for i := range 3 {
			s.Upstreams[fmt.Sprintf("lease/a%d", i)].Close()
		}
		Eventually(func() float64 { return s.query(0).Coverage.Fraction }).WithTimeout(20 * time.Second).Should(Equal(1.0))
		s.finish()
		for vm := range s.VMs {
			for range 20 {
				a := s.query(vm)
				Expect(a.Coverage.Fraction).To(Equal(1.0), fmt.Sprint(a.Coverage.Missing))
			}
		}
	})

	// Guards against queries that wait for their whole deadline, or count the shard
	// as covered, when both replicas of shard 1 are lost and no replica can answer.
	It("reports the missing shard when all its replicas are lost", func() {
		s := startSearches()
		s.Upstreams["lease/a1"].Close()
		s.Upstreams["lease/b1"].Close()
		for vm := range s.VMs {
			for range 5 {
				a := s.query(vm)
				Expect(a.Coverage.Fraction).To(BeNumerically("~", 2.0/3, 0.001))
				Expect(a.Coverage.Missing).To(HaveLen(1))
				Expect(a.Coverage.Missing[0].Shard).To(Equal(uint32(1)))
				Expect(a.Coverage.Missing[0].Reason).NotTo(Equal("deadline"))
			}
		}
	})

	// Guards against a large answer being truncated or blocking small ones for ever,
	// when chunks are lost, mixed between answers or joined in the wrong order. Every
	// shard answers with several hundred kB, mostly over peer streams.
	It("returns large answers complete", func() {
		const hits = 8000
		s := startSearches()
		for _, u := range s.Upstreams {
			u.Change(func(b *standin.Behaviour) { b.Hits = hits })
		}
		for vm := range s.VMs {
			a := s.query(vm)
			Expect(a.Coverage.Fraction).To(Equal(1.0), fmt.Sprint(a.Coverage.Missing))
			seen := map[string]bool{}
			for _, h := range a.Hits {
				seen[h.ID] = true
			}
			Expect(seen).To(HaveLen(3 * hits))
			Expect(a.Hits).To(HaveLen(3 * hits))
		}
	})
})
