package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

const (
	searchRate  = 60
	searchBurst = 30
)

// searches is the document of a customer with one kind.
var searches = standin.Office(standin.Kind{
	Name: "search", Service: "leases", RatePerSecond: searchRate, Concurrency: 12, DeadlineMS: 2000, CoverageFloor: 1, Idempotent: true, RetryPercent: 10, Merge: "top_k",
}) + standin.Service{
	Name: "leases", Path: "/search", Upstreams: []string{"a"}, Slots: 20, Connections: 40, Shards: [][]string{{"a"}},
}.Text()

func startSearches(t *testing.T, vms int) *fleet.Fleet {
	leaks := goleak.IgnoreCurrent()
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"searches": searches},
		VMs:         vms,
		DataCentres: []string{"d1", "d2"},
		Seed:        5,
		Behaviour: func(u *pb.Upstream, _ string) standin.Behaviour {
			return standin.Behaviour{Median: time.Millisecond, Slots: int(u.Slots), Hits: 1}
		},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		f.Close()
		NewWithT(t).Eventually(func() error {
			return goleak.Find(leaks,
				// Library goroutines that end later or never.
				goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
				goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
				goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
				goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
				goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"))
		}, 20*time.Second).Should(Succeed())
	})
	return f
}

// caller is an HTTP client with its own connections.
type caller struct {
	g      *WithT
	client fasthttp.Client
}

func (c *caller) do(method, url, body string, out any) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + url)
	req.Header.Set("Authorization", "Bearer land-office-token")
	req.SetBodyString(body)
	c.g.Expect(c.client.DoTimeout(req, resp, time.Minute)).To(Succeed())
	if text, ok := out.(*string); ok {
		*text = string(resp.Body())
		return resp.StatusCode()
	}
	c.g.Expect(json.Unmarshal(resp.Body(), out)).To(Succeed())
	return resp.StatusCode()
}

func (c *caller) endpoints(vm *fleet.VM) []string {
	var e callerapi.Endpoints
	c.g.Expect(c.do(http.MethodGet, vm.Settings.CallerAddress+callerapi.EndpointsPath, "", &e)).To(Equal(http.StatusOK))
	var out []string
	for _, v := range e.Endpoints {
		out = append(out, v.Address)
	}
	return out
}

// search sends one search and returns its status and, if it was refused, the error.
func (c *caller) search(address string) (int, callerapi.ErrorBody) {
	var e callerapi.ErrorBody
	status := c.do(http.MethodPost, address+callerapi.QueryPath+"search", `{"query":"x"}`, &e)
	return status, e
}

// Guards against load on VMs that hold no share of a customer's limits. With four
// VMs and a home set of three, requests to the fourth must be refused. The failure
// occurs if endpoints list every VM or a VM serves any customer.
func TestOnlyHomeVMsServeACustomer(t *testing.T) {
	f := startSearches(t, 4)
	c := &caller{g: NewWithT(t)}
	defer c.client.CloseIdleConnections()
	home := c.endpoints(f.VMs[0])
	c.g.Expect(home).To(HaveLen(3))
	for _, vm := range f.VMs {
		c.g.Expect(c.endpoints(vm)).To(ConsistOf(home))
		status, e := c.search(vm.Settings.CallerAddress)
		if strings.Contains(strings.Join(home, " "), vm.Settings.CallerAddress) {
			c.g.Expect(status).To(Equal(http.StatusOK), fmt.Sprint(e))
			continue
		}
		c.g.Expect(status).To(Equal(http.StatusMisdirectedRequest))
		c.g.Expect(e.Error.Reason).To(Equal(refusal.WrongVM))
		c.g.Expect(e.Error.Ran).To(Equal(refusal.NotRun))
		c.g.Expect(e.Error.RetryAfterMS).To(BeNumerically(">", 0))
	}
}

// Guards against an exceeded contract, and against callers at one VM getting only a
// third of it. All requests go to one home VM until it has borrowed, then to all.
// The failures occur if lender and borrower both use a loan or no loan is made.
func TestBusyVMBorrowsWithinContract(t *testing.T) {
	f := startSearches(t, 3)
	c := &caller{g: NewWithT(t)}
	defer c.client.CloseIdleConnections()
	busy := f.VMs[0]
	began := time.Now()
	var answered atomic.Int64
	rounds := func(addresses ...string) {
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for j := range 25 {
					if status, _ := c.search(addresses[(i+j)%len(addresses)]); status == http.StatusOK {
						answered.Add(1)
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		wg.Wait()
	}
	c.g.Eventually(func() string {
		rounds(busy.Settings.CallerAddress)
		var text string
		c.do(http.MethodGet, busy.Settings.OperatorAddress+"/metrics", "", &text)
		return text
	}, time.Minute).Should(ContainSubstring(`sycamorekeel_share_received_total{message="loan"}`))
	var all []string
	for _, vm := range f.VMs {
		all = append(all, vm.Settings.CallerAddress)
	}
	c.g.Eventually(func() int64 {
		rounds(all...)
		return answered.Load()
	}, time.Minute).Should(BeNumerically(">", 3*searchBurst))
	most := searchRate*time.Since(began).Seconds() + searchBurst
	t.Logf("%d answered, the contract allows %.0f", answered.Load(), most)
	c.g.Expect(float64(answered.Load())).To(BeNumerically("<=", most))
}
