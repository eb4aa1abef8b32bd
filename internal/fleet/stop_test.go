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

// searches is a customer with one idempotent and one non-idempotent kind over
// four shards.
var searches = standin.Office(
	standin.Kind{Name: "search", Service: "lease", CoverageFloor: 1, Idempotent: true, RetryPercent: 10, Merge: "top_k", MaxHits: 5},
	standin.Kind{Name: "pay", Service: "lease", CoverageFloor: 1, RetryPercent: 10, Merge: "single"},
) + standin.Service{
	Name: "lease", Path: "/lease", Upstreams: []string{"a", "b", "c", "d"}, Slots: 20, Connections: 80,
	Shards: [][]string{{"a", "b"}, {"b", "c"}, {"c", "d"}, {"d", "a"}},
}.Text()

// caller is one that keeps what endpoints told it for its time to live, and
// goes round the addresses.
type caller struct {
	name    string
	client  *fasthttp.Client
	list    []string
	expires time.Time
	serial  int
	tally   *tally
}

// tally is what all callers were told.
type tally struct {
	mu       sync.Mutex
	answered map[string]int
	refused  map[string]int
	cut      []string
	notRun   []string
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

// refresh asks the addresses it knows, one after another, which to use.
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
		c.list = nil
		for _, one := range e.Endpoints {
			c.list = append(c.list, one.Address)
		}
		c.expires = time.Now().Add(time.Duration(e.TTLMS) * time.Millisecond)
		return nil
	}
	return fmt.Errorf("no address of %v answers", known)
}

// query sends one request and notes what came of it.
func (c *caller) query(kind string) error {
	if !time.Now().Before(c.expires) {
		if err := c.refresh(c.list); err != nil {
			return err
		}
	}
	c.serial++
	address := c.list[c.serial%len(c.list)]
	body := fmt.Sprintf(`{"key":"%s-%s-%d"}`, kind, c.name, c.serial)
	status, reply, err := c.do(address, fasthttp.MethodPost, callerapi.QueryPath+kind, body)
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if err != nil {
		c.tally.cut = append(c.tally.cut, kind+": "+err.Error())
		return nil
	}
	if status == http.StatusOK {
		c.tally.answered[address]++
		return nil
	}
	var e callerapi.ErrorBody
	if err := json.Unmarshal(reply, &e); err != nil {
		return err
	}
	c.tally.refused[kind+" "+string(e.Error.Reason)+"/"+string(e.Error.Ran)]++
	if e.Error.Ran == refusal.NotRun {
		c.tally.notRun = append(c.tally.notRun, body)
	}
	c.expires = time.Time{}
	return nil
}

var _ = Describe("a planned stop under load", func() {
	// Symptom: callers see broken connections or failed requests each time a VM
	// is replaced.
	// Sequence: a VM is told to stop while callers hold its address, requests
	// are under way on it, and peers have sub-requests in its queues.
	// Cause: it refuses before its callers can know, gives its upstreams up
	// before its peers know, or closes what is under way.
	It("cuts nothing off and refuses only what it says was not run", func() {
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
		t := &tally{answered: map[string]int{}, refused: map[string]int{}}
		var stop atomic.Bool
		var wg sync.WaitGroup
		for i := range 8 {
			c := &caller{name: fmt.Sprint(i), tally: t, client: &fasthttp.Client{
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
				t.mu.Lock()
				defer t.mu.Unlock()
				return t.answered[address]
			}
		}
		Eventually(served(all[1])).WithTimeout(20 * time.Second).Should(BeNumerically(">", 100))
		Expect(f.VMs[1].Stop()).To(Succeed())
		after := served(all[0])()
		Eventually(served(all[0])).WithTimeout(20 * time.Second).Should(BeNumerically(">", after+100))
		stop.Store(true)
		wg.Wait()
		GinkgoWriter.Println("answered", t.answered, "refused", t.refused)
		Expect(t.cut).To(BeEmpty())
		for what := range t.refused {
			Expect(what).To(HaveSuffix("/not_run"))
		}
		for _, body := range t.notRun {
			for _, u := range f.Upstreams {
				Expect(u.RunsOf(body)).To(BeZero(), body)
			}
		}
	})
})
