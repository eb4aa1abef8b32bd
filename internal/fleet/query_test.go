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

// scattered is a customer with a scattered kind over three shards of two replicas
// each; shard i is at upstreams a<i> and b<i>.
func scattered() string {
	return standin.Office(standin.Kind{
		Name: "search", Service: "lease", WaitForFull: true, Idempotent: true, HedgePercent: 5, RetryPercent: 10, Merge: "concat",
	}) + standin.Service{
		Name: "lease", Path: "/search", Upstreams: []string{"a0", "a1", "a2", "b0", "b1", "b2"}, Slots: 20, Connections: 40,
		Shards: pairs(3), Documents: 10,
	}.Text()
}

// mapText is a shard map whose shard i is at the upstreams of i.
func mapText(generation int, versions string, shards int) string {
	return standin.MapText(generation, versions, pairs(shards), 10)
}

// pairs is the replicas of shards that are at the upstreams of their number.
func pairs(shards int) [][]string {
	out := make([][]string, shards)
	for i := range out {
		out[i] = []string{fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)}
	}
	return out
}

// searcher is a fleet under a steady load of queries.
type searcher struct {
	*deployment
	stop    chan struct{}
	load    sync.WaitGroup
	answers atomic.Int64
	mu      sync.Mutex
	// broken holds what went against a property; snapshots counts the answers.
	broken    []string
	snapshots map[string]int
}

func startSearches() *searcher {
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"lease": scattered()},
		VMs:         3,
		DataCentres: []string{"d1", "d2", "d3"},
		Seed:        5,
		Behaviour: func(u *pb.Upstream, _ string) standin.Behaviour {
			return standin.Behaviour{Median: time.Millisecond, Slots: int(u.Slots), Hits: 2, Snapshots: []string{"1/1"}}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	s := &searcher{deployment: &deployment{Fleet: f, notRun: map[string]string{}}, stop: make(chan struct{}), snapshots: map[string]int{}}
	DeferCleanup(f.Close)
	return s
}

// run sends queries from two callers to each VM until finish.
func (s *searcher) run(whole bool) {
	for vm := range s.VMs {
		for range 2 {
			s.load.Go(func() {
				defer GinkgoRecover()
				for {
					select {
					case <-s.stop:
						return
					case <-time.After(2 * time.Millisecond):
						s.check(s.ask(vm), whole)
					}
				}
			})
		}
	}
}

func (s *searcher) finish() {
	close(s.stop)
	s.load.Wait()
	Expect(s.broken).To(BeEmpty())
}

func (s *searcher) ask(vm int) *frontend.Answer {
	status, body := s.do(vm, http.MethodPost, callerapi.QueryPath+"search", "", `{"query":"x"}`, 0)
	Expect(status).To(Equal(http.StatusOK), string(body))
	var a frontend.Answer
	Expect(json.Unmarshal(body, &a)).To(Succeed())
	return &a
}

// check holds an answer against the properties: each hit is of the snapshot that
// the answer names, each shard that counts as covered gave its hits once.
func (s *searcher) check(a *frontend.Answer, whole bool) {
	name := fmt.Sprintf("%d/%d", a.Snapshot.Generation, a.Snapshot.Version)
	wrong := ""
	seen := map[string]bool{}
	for _, h := range a.Hits {
		var fields struct{ Snapshot string }
		if err := json.Unmarshal(h.Fields, &fields); err != nil || fields.Snapshot != name {
			wrong = fmt.Sprintf("an answer of %s holds a hit %s", name, h.Fields)
		}
		if seen[h.ID] {
			wrong = "a hit stands twice: " + h.ID
		}
		seen[h.ID] = true
	}
	if len(a.Hits) != 2*a.Coverage.ShardsAnswered {
		wrong = fmt.Sprintf("%d hits of %d shards", len(a.Hits), a.Coverage.ShardsAnswered)
	}
	if whole && a.Coverage.Fraction != 1 {
		wrong = fmt.Sprintf("of %s only %v is covered: %v", name, a.Coverage.Fraction, a.Coverage.Missing)
	}
	s.answers.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots[name]++
	if wrong != "" {
		s.broken = append(s.broken, wrong)
	}
}

// answered is how many answers were of a snapshot.
func (s *searcher) answered(snapshot string) func() int {
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.snapshots[snapshot]
	}
}

// more waits until n further answers came.
func (s *searcher) more(n int64) {
	from := s.answers.Load()
	Eventually(s.answers.Load).WithTimeout(20 * time.Second).Should(BeNumerically(">=", from+n))
}

// serve gives the upstreams their snapshots, one after the other.
func (s *searcher) serve(snapshots ...string) {
	for _, u := range s.Upstreams {
		u.Change(func(b *standin.Behaviour) { b.Snapshots = snapshots })
		s.more(5)
	}
}

var _ = Describe("queries under a fault", func() {
	// Symptom: an answer mixes two versions, or lacks shards while a version changes.
	// Sequence: version 2 is published while no upstream has it; they load it one by
	// one; then they give version 1 up one by one while it is still published.
	// Cause: a pin that does not look at who serves, or a restart that keeps answers.
	It("answers from one version, whole, while the version changes", func() {
		s := startSearches()
		s.run(true)
		s.more(20)
		s.Edit("lease", func(t string) string { return strings.Replace(t, "versions = [1]", "versions = [1, 2]", 1) })
		s.more(20)
		s.serve("1/1", "1/2")
		Eventually(s.answered("1/2")).WithTimeout(20 * time.Second).Should(BeNumerically(">", 20))
		s.serve("1/2")
		s.more(20)
		s.finish()
		Expect(s.answered("1/1")()).To(BeNumerically(">", 0))
	})

	// Symptom: answers mix two partitions of the data, or count a shard of the other.
	// Sequence: a second map of two shards stands beside the first of three; the
	// upstreams come to serve both, then the second alone.
	// Cause: as above, with maps in place of versions.
	It("answers from one map, whole, while the data is repartitioned", func() {
		s := startSearches()
		s.run(true)
		s.more(20)
		s.Edit("lease", func(t string) string { return t + mapText(2, "[1]", 2) })
		s.more(20)
		s.serve("1/1", "2/1")
		Eventually(s.answered("2/1")).WithTimeout(20 * time.Second).Should(BeNumerically(">", 20))
		s.serve("2/1")
		s.more(20)
		s.finish()
	})

	// Symptom: coverage drops although every shard has a replica left.
	// Sequence: one replica of each shard goes away without a word.
	// Cause: a refused connection was taken for the shard's failure.
	It("keeps full coverage when a replica of each shard is lost", func() {
		s := startSearches()
		s.run(false)
		s.more(20)
		for i := range 3 {
			s.Upstreams[fmt.Sprintf("lease/a%d", i)].Close()
		}
		Eventually(func() float64 { return s.ask(0).Coverage.Fraction }).WithTimeout(20 * time.Second).Should(Equal(1.0))
		s.finish()
		for vm := range s.VMs {
			for range 20 {
				a := s.ask(vm)
				Expect(a.Coverage.Fraction).To(Equal(1.0), fmt.Sprint(a.Coverage.Missing))
			}
		}
	})

	// Symptom: with one shard gone every query waits for its whole deadline, or
	// claims the shard as covered.
	// Sequence: both replicas of shard 1 go away.
	// Cause: a query that does not notice that nothing can answer any more.
	It("says what is missing when all replicas of a shard are lost", func() {
		s := startSearches()
		s.Upstreams["lease/a1"].Close()
		s.Upstreams["lease/b1"].Close()
		for vm := range s.VMs {
			for range 5 {
				a := s.ask(vm)
				Expect(a.Coverage.Fraction).To(BeNumerically("~", 2.0/3, 0.001))
				Expect(a.Coverage.Missing).To(HaveLen(1))
				Expect(a.Coverage.Missing[0].Shard).To(Equal(uint32(1)))
				Expect(a.Coverage.Missing[0].Reason).NotTo(Equal("deadline"))
			}
		}
	})

	// Symptom: a large answer comes cut, or holds the small ones up for good.
	// Sequence: every shard answers with several hundred kB, most over peer streams.
	// Cause: chunks that are lost, mixed between answers, or joined in wrong order.
	It("gives large answers whole", func() {
		const hits = 8000
		s := startSearches()
		for _, u := range s.Upstreams {
			u.Change(func(b *standin.Behaviour) { b.Hits = hits })
		}
		for vm := range s.VMs {
			a := s.ask(vm)
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
