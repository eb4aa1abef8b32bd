package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// searches is a customer with one idempotent and one non-idempotent query kind
// over four shards.
var searches = standin.Office(
	standin.Kind{Name: "search", Service: "lease", CoverageFloor: 1, Idempotent: true, RetryPercent: 10, Merge: "top_k", MaxHits: 5},
	standin.Kind{Name: "pay", Service: "lease", CoverageFloor: 1, RetryPercent: 10, Merge: "single"},
) + standin.Service{
	Name: "lease", Path: "/lease", Upstreams: []string{"a", "b", "c", "d"}, Slots: 20, Connections: 80,
	Shards: [][]string{{"a", "b"}, {"b", "c"}, {"c", "d"}, {"d", "a"}},
}.Text()

// caller caches the endpoints for their time to live and uses them round-robin.
type caller struct {
	name      string
	client    *fasthttp.Client
	endpoints []string
	expires   time.Time
	serial    int
	results   *callerResults
}

// callerResults collects the results of all callers.
type callerResults struct {
	mu sync.Mutex
	// answered counts successful queries by address of the VM.
	answered map[string]int
	// refused counts refusals by query kind, reason and whether the query ran.
	refused map[string]int
	// failed are the transport errors.
	failed []string
	// notRun are the bodies of queries reported as not run.
	notRun []string
}

func (c *caller) do(address, method, path, body string) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer land-office-token")
	req.SetBodyString(body)
	err := c.client.DoTimeout(req, resp, time.Minute)
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), err
}

// refresh fetches the endpoints from the first known address that answers.
func (c *caller) refresh(known []string) error {
	for _, address := range known {
		status, body, err := c.do(address, fasthttp.MethodGet, callerapi.EndpointsPath, "")
		if err != nil || status != http.StatusOK {
			continue
		}
		var e callerapi.Endpoints
		if err := json.Unmarshal(body, &e); err != nil {
			return err
		}
		c.endpoints = nil
		for _, endpoint := range e.Endpoints {
			c.endpoints = append(c.endpoints, endpoint.Address)
		}
		c.expires = time.Now().Add(time.Duration(e.TTLMS) * time.Millisecond)
		return nil
	}
	return fmt.Errorf("no address of %v answers", known)
}

// query sends one request and records its result.
func (c *caller) query(kind string) error {
	if !time.Now().Before(c.expires) {
		if err := c.refresh(c.endpoints); err != nil {
			return err
		}
	}
	c.serial++
	address := c.endpoints[c.serial%len(c.endpoints)]
	body := fmt.Sprintf(`{"key":"%s-%s-%d"}`, kind, c.name, c.serial)
	status, reply, err := c.do(address, fasthttp.MethodPost, callerapi.QueryPath+kind, body)
	c.results.mu.Lock()
	defer c.results.mu.Unlock()
	if err != nil {
		c.results.failed = append(c.results.failed, kind+": "+err.Error())
		return nil
	}
	if status == http.StatusOK {
		c.results.answered[address]++
		return nil
	}
	var e callerapi.ErrorBody
	if err := json.Unmarshal(reply, &e); err != nil {
		return err
	}
	c.results.refused[kind+" "+string(e.Error.Reason)+"/"+string(e.Error.Ran)]++
	if e.Error.Ran == refusal.NotRun {
		c.results.notRun = append(c.results.notRun, body)
	}
	c.expires = time.Time{}
	return nil
}

var _ = Describe("a planned stop under load", func() {
	// Guards against broken connections and failed requests when a VM stops while
	// callers hold its address, it has requests in flight, and peers have
	// sub-requests in its queues. The VM must not refuse requests before its callers
	// learn of the stop, release its upstreams before its peers learn of it, or
	// abort requests in flight.
	It("aborts no request and refuses only requests that it reports as not run", func() {
		f, err := fleet.Start(fleet.Options{
			Log:         zap.NewNop(),
			Documents:   map[string]string{"searches": searches},
			VMs:         4,
			DataCentres: []string{"d1", "d2", "d3"},
			Seed:        5,
			Behaviour: func(u *pb.Upstream, _ string) standin.Behaviour {
				return standin.Behaviour{Median: 4 * time.Millisecond, Spread: 0.4, Slots: int(u.Slots), Hits: 3}
			},
		})
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		var all []string
		for _, vm := range f.VMs {
			all = append(all, vm.Settings.CallerAddress)
		}
		results := &callerResults{answered: map[string]int{}, refused: map[string]int{}}
		var stop atomic.Bool
		var wg sync.WaitGroup
		for i := range 8 {
			c := &caller{name: fmt.Sprint(i), results: results, client: &fasthttp.Client{
				MaxIdemponentCallAttempts: 1,
				RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			}}
			Expect(c.refresh(all)).To(Succeed())
			wg.Go(func() {
				defer GinkgoRecover()
				defer c.client.CloseIdleConnections()
				for !stop.Load() {
					kind := "search"
					if c.serial%5 == 0 {
						kind = "pay"
					}
					Expect(c.query(kind)).To(Succeed())
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
		served := func(address string) func() int {
			return func() int {
				results.mu.Lock()
				defer results.mu.Unlock()
				return results.answered[address]
			}
		}
		Eventually(served(all[1])).WithTimeout(20 * time.Second).Should(BeNumerically(">", 100))
		Expect(f.VMs[1].Stop()).To(Succeed())
		answered := served(all[0])()
		Eventually(served(all[0])).WithTimeout(20 * time.Second).Should(BeNumerically(">", answered+100))
		stop.Store(true)
		wg.Wait()
		GinkgoWriter.Println("answered", results.answered, "refused", results.refused)
		Expect(results.failed).To(BeEmpty())
		for outcome := range results.refused {
			Expect(outcome).To(HaveSuffix("/not_run"))
		}
		for _, body := range results.notRun {
			for _, u := range f.Upstreams {
				Expect(u.RunsOf(body)).To(BeZero(), body)
			}
		}
	})
})
