package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/callerapi"
	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/frontend"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// payments is a customer with one non-idempotent query kind over one shard with
// two replicas.
var payments = standin.Office(standin.Kind{
	Name: "pay", Service: "royalty", CoverageFloor: 1, RetryPercent: 10, Merge: "single",
}) + standin.Service{
	Name: "royalty", Path: "/pay", Upstreams: []string{"a", "b"}, Slots: 20, Connections: 40, Shards: [][]string{{"a", "b"}},
}.Text()

// deployment is a running fleet and the outcomes reported to its callers.
type deployment struct {
	*fleet.Fleet
	// serial is the number of request bodies created.
	serial int
	mu     sync.Mutex
	// notRun maps the bodies reported as not run to the reason; ran does the same
	// for those reported as run.
	notRun, ran map[string]string
}

func startPayments() *deployment {
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   map[string]string{"payments": payments},
		VMs:         3,
		DataCentres: []string{"d1", "d2", "d3"},
		Seed:        3,
		Behaviour: func(u *pb.Upstream, _ string) standin.Behaviour {
			return standin.Behaviour{Median: time.Millisecond, Slots: int(u.Slots), Hits: 1}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	d := &deployment{Fleet: f, notRun: map[string]string{}, ran: map[string]string{}}
	DeferCleanup(func() {
		d.checkExecutions()
		f.Close()
	})
	return d
}

// checkExecutions compares the reported outcome of every body with the logs of the
// simulated upstreams. No body may run more than once.
func (d *deployment) checkExecutions() {
	for _, u := range d.Upstreams {
		Expect(u.MostRuns()).To(BeNumerically("<=", 1))
	}
	for i := range d.serial {
		Expect(d.runs(bodyOf(i+1))).To(BeNumerically("<=", 1), bodyOf(i+1))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for body, reason := range d.notRun {
		Expect(d.runs(body)).To(BeZero(), "reported as not run ("+reason+"): "+body)
	}
	for body, reason := range d.ran {
		Expect(d.runs(body)).To(Equal(1), "reported as run ("+reason+"): "+body)
	}
}

// runs returns how many times the upstreams have run a body.
func (d *deployment) runs(body string) int {
	n := 0
	for _, u := range d.Upstreams {
		n += u.RunsOf(body)
	}
	return n
}

// changeUpstreams edits the behaviour of every upstream.
func (d *deployment) changeUpstreams(edit func(*standin.Behaviour)) {
	for _, u := range d.Upstreams {
		u.Change(edit)
	}
}

func bodyOf(serial int) string { return fmt.Sprintf(`{"key":"royalty-%d"}`, serial) }

// operation is one request and its idempotency key.
type operation struct {
	key  string
	body string
}

// operations obtains an operation lease from a VM and creates n requests with keys
// under it.
func (d *deployment) operations(vm, n int) []operation {
	var e callerapi.Endpoints
	status, body := d.do(vm, fasthttp.MethodGet, callerapi.EndpointsPath, "", "", 0)
	Expect(status).To(Equal(http.StatusOK))
	Expect(json.Unmarshal(body, &e)).To(Succeed())
	Expect(e.OperationLease).NotTo(BeNil())
	out := make([]operation, n)
	for i := range out {
		d.serial++
		out[i] = operation{key: e.OperationLease.Prefix + "." + strconv.Itoa(i+1), body: bodyOf(d.serial)}
	}
	return out
}

// result is the answer or error that a caller receives.
type result struct {
	answer frontend.Answer
	err    callerapi.ErrorDetail
}

// String returns "answered", or the reason and whether the request ran.
func (r result) String() string {
	if r.err.Reason == "" {
		return "answered"
	}
	return string(r.err.Reason) + "/" + string(r.err.Ran)
}

// send sends one copy of an operation to a VM and records the reported outcome. A
// deadline of 0 leaves the deadline to the configuration.
func (d *deployment) send(vm int, op operation, deadline time.Duration) result {
	status, body := d.do(vm, fasthttp.MethodPost, callerapi.QueryPath+"pay", op.key, op.body, deadline)
	var r result
	if status == http.StatusOK {
		Expect(json.Unmarshal(body, &r.answer)).To(Succeed())
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ran[op.body] = "answered"
		return r
	}
	var e callerapi.ErrorBody
	Expect(json.Unmarshal(body, &e)).To(Succeed(), string(body))
	r.err = e.Error
	d.mu.Lock()
	defer d.mu.Unlock()
	switch r.err.Ran {
	case refusal.NotRun:
		d.notRun[op.body] = string(r.err.Reason)
	case refusal.DidRun:
		d.ran[op.body] = string(r.err.Reason)
	}
	return r
}

func (d *deployment) do(vm int, method, path, key, body string, deadline time.Duration) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.VMs[vm].Settings.CallerAddress + path)
	req.Header.Set("Authorization", "Bearer land-office-token")
	if key != "" {
		req.Header.Set(callerapi.HeaderOperation, key)
	}
	if deadline > 0 {
		req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	req.SetBodyString(body)
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	defer client.CloseIdleConnections()
	Expect(client.DoTimeout(req, resp, time.Minute)).To(Succeed())
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// sendAll sends one copy of every operation concurrently and counts the results.
func (d *deployment) sendAll(vm int, ops []operation, deadline time.Duration) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]int{}
	for _, op := range ops {
		wg.Go(func() {
			defer GinkgoRecover()
			r := d.send(vm, op, deadline)
			mu.Lock()
			out[r.String()]++
			mu.Unlock()
		})
	}
	wg.Wait()
	return out
}

// closeUpstreams closes the upstreams and waits until the owners notice. Until then
// a request may be written to a closed connection, which leaves its outcome unknown.
func closeUpstreams(d *deployment) {
	for _, u := range d.Upstreams {
		u.Close()
	}
	Eventually(func() refusal.Ran { return d.send(1, d.operations(1, 1)[0], 0).err.Ran }).
		WithTimeout(10 * time.Second).Should(Equal(refusal.NotRun))
}

// nonOwner returns a VM that owns neither replica, so that its requests go through a
// peer stream.
func (d *deployment) nonOwner() int {
	for i, vm := range d.VMs {
		if !ownsAny(vm) {
			return i
		}
	}
	Fail("every VM owns a replica")
	return 0
}

func ownsAny(vm *fleet.VM) bool { return len(vm.Daemon.Status().Owned) > 0 }

// owners returns the VMs that own a replica.
func (d *deployment) owners() []*fleet.VM {
	var out []*fleet.VM
	for _, vm := range d.VMs {
		if ownsAny(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// shortDeadline is the deadline of requests that are expected to time out.
const shortDeadline = 300 * time.Millisecond

// waitHealthy waits until a payment succeeds, so that the previous fault is over.
func (d *deployment) waitHealthy(vm int) {
	Eventually(func() string {
		r := d.send(vm, d.operations(vm, 1)[0], 0)
		return r.String() + " " + r.err.Message
	}).WithTimeout(20 * time.Second).Should(Equal("answered "))
}

// The cases share one fleet because each start takes seconds. The last ones leave
// parts of it stopped.
var _ = Describe("a non-idempotent request", Ordered, func() {
	var d *deployment
	BeforeAll(func() { d = startPayments() })

	// Guards against a payment being made twice: the answer is lost, the caller
	// resends the request to the VM that ran it and to the others, and a VM runs a
	// request that another one has run.
	It("returns the first answer to resends at every VM", func() {
		op := d.operations(0, 1)[0]
		first := d.send(0, op, 0)
		Expect(first.String()).To(Equal("answered"))
		for vm := range d.VMs {
			Expect(d.send(vm, op, 0)).To(Equal(first))
		}
		Expect(d.runs(op.body)).To(Equal(1))
	})

	// Guards against a payment being made twice: a caller sends copies of one
	// request to all VMs concurrently, and two VMs accept the key and run it.
	It("runs once when all VMs receive copies concurrently", func() {
		d.waitHealthy(0)
		d.changeUpstreams(func(b *standin.Behaviour) { b.Median = 20 * time.Millisecond })
		DeferCleanup(d.changeUpstreams, func(b *standin.Behaviour) { b.Median = time.Millisecond })
		ops := d.operations(0, 20)
		var wg sync.WaitGroup
		for range 2 {
			for vm := range d.VMs {
				wg.Go(func() {
					defer GinkgoRecover()
					Expect(d.sendAll(vm, ops, 0)).To(Equal(map[string]int{"answered": 20}))
				})
			}
		}
		wg.Wait()
	})

	// Guards against a payment being made twice after an upstream was slow: the
	// upstream does not answer in time, the caller receives "unknown" and resends
	// the request, also after the upstream has recovered, and the timeout is treated
	// as a failure.
	It("stays unknown after a timeout of the upstream", func() {
		d.waitHealthy(0)
		// The upstreams ignore cancellations: one confirmed in time proves that the
		// request has run, so no outcome would stay unknown.
		d.changeUpstreams(func(b *standin.Behaviour) { b.Hang, b.IgnoreCancels = true, true })
		ops := d.operations(0, 5)
		first := d.sendAll(0, ops, shortDeadline)
		// Requests that never got a slot are reported as not run; checkExecutions
		// compares these with the upstreams' logs.
		Expect(first).NotTo(HaveKey("answered"))
		Expect(first).NotTo(HaveKey("upstream_failed/ran"))
		Expect(first).To(HaveKey("outcome_unknown/unknown"))
		d.changeUpstreams(func(b *standin.Behaviour) { b.Hang, b.IgnoreCancels = false, false })
		for _, u := range d.Upstreams {
			u.ReleaseAll()
		}
		for vm := range d.VMs {
			Expect(d.sendAll(vm, ops, 0)).To(Equal(first))
		}
	})

	// Guards against reporting "not run" for a request that the owner runs later:
	// the owners are paused with the request in their socket buffers, its deadline
	// passes, the owners resume, and a cancellation that was sent is treated as
	// confirmed.
	It("is unknown while the owners are paused and runs at most once after they resume", func() {
		d.waitHealthy(0)
		from := d.nonOwner()
		ops := d.operations(from, 5)
		for _, vm := range d.owners() {
			vm.PeerFault.HoldReads()
		}
		Expect(d.sendAll(from, ops, shortDeadline)).To(Equal(map[string]int{"outcome_unknown/unknown": 5}))
		for _, vm := range d.owners() {
			vm.PeerFault.Release()
		}
		Expect(d.sendAll(from, ops, 0)).To(Equal(map[string]int{"outcome_unknown/unknown": 5}))
		d.waitHealthy(from)
	})

	// Guards against a forwarded payment being made twice: the stream to the VM that
	// the key names breaks after the request was forwarded, the caller resends it
	// over a new stream, and the forward is repeated as a new request, or run by the
	// VM that could not forward it.
	It("is answered on a resend after a forward was lost", func() {
		d.waitHealthy(0)
		ops := d.operations(0, 5)
		d.VMs[0].PeerFault.HoldWrites()
		lost := make(chan map[string]int, 1)
		go func() {
			defer GinkgoRecover()
			lost <- d.sendAll(1, ops, 0)
		}()
		for _, op := range ops {
			Eventually(func() int { return d.runs(op.body) }).WithTimeout(10 * time.Second).Should(Equal(1))
		}
		d.VMs[0].PeerFault.Cut()
		Expect(<-lost).To(Equal(map[string]int{"outcome_unknown/unknown": 5}))
		d.VMs[0].PeerFault.Release()
		Eventually(func() map[string]int { return d.sendAll(1, ops, 0) }).WithTimeout(10 * time.Second).Should(Equal(map[string]int{"answered": 5}))
	})

	// Guards against a payment being made twice, or reported as not run although it
	// ran: the VM that ran it is reachable by callers but by no peer, the caller
	// resends the request to other VMs, and one of these runs a request that it
	// cannot forward, or reports it as not run. Then the VM is reachable again.
	It("is never run elsewhere while its VM is cut off", func() {
		d.waitHealthy(0)
		ops := d.operations(0, 5)
		Expect(d.sendAll(0, ops, 0)).To(Equal(map[string]int{"answered": 5}))
		d.VMs[0].PeerFault.Refuse()
		d.VMs[0].PeerFault.Cut()
		for vm := 1; vm < len(d.VMs); vm++ {
			for _, op := range ops {
				Expect(d.send(vm, op, shortDeadline).err.Ran).To(Equal(refusal.Unknown))
			}
		}
		d.VMs[0].PeerFault.Release()
		for vm := 1; vm < len(d.VMs); vm++ {
			Eventually(func() map[string]int { return d.sendAll(vm, ops, 0) }).
				WithTimeout(10 * time.Second).Should(Equal(map[string]int{"answered": 5}))
		}
	})

	// Guards against a payment being made twice, or reported as not run although it
	// ran: a new process replaces the VM under the same name, the caller resends the
	// request to it and to other VMs, and the process treats keys of the previous
	// incarnation as its own.
	It("is never run again by a replaced VM", func() {
		d.waitHealthy(0)
		op := d.operations(0, 1)[0]
		Expect(d.send(0, op, 0).String()).To(Equal("answered"))
		Expect(d.Replace(0)).To(Succeed())
		for vm := range d.VMs {
			r := d.send(vm, op, shortDeadline)
			Expect(r.err.Ran).To(Equal(refusal.Unknown), r.String())
		}
		Expect(d.send(0, d.operations(0, 1)[0], 0).String()).To(Equal("answered"))
	})

	// Guards against a planned stop that aborts a payment in flight, or refuses a
	// resend of it, so that the caller cannot learn its outcome.
	It("completes and is answered during a planned stop", func() {
		d.waitHealthy(0)
		d.changeUpstreams(func(b *standin.Behaviour) { b.Median = 300 * time.Millisecond })
		ops := d.operations(0, 5)
		running := func() int { return d.counter(0, `sycamorekeel_once_operations_total{verdict="running"}`) }
		before := running()
		results := make(chan map[string]int, 2)
		sendCopies := func(vm int) {
			defer GinkgoRecover()
			results <- d.sendAll(vm, ops, 0)
		}
		// Another VM forwards the second copies.
		go sendCopies(0)
		go sendCopies(1)
		Eventually(running).WithTimeout(10 * time.Second).Should(Equal(before + 5))
		Expect(d.VMs[0].Stop()).To(Succeed())
		Expect(<-results).To(Equal(map[string]int{"answered": 5}))
		Expect(<-results).To(Equal(map[string]int{"answered": 5}))
	})

	// Guards against a planned stop that closes connections without an answer when
	// payments outlast the drain limit.
	It("is reported as unknown when it outlasts a planned stop", func() {
		d.waitHealthy(2)
		d.changeUpstreams(func(b *standin.Behaviour) { b.Hang = true })
		DeferCleanup(d.changeUpstreams, func(b *standin.Behaviour) { b.Hang = false })
		ops := d.operations(2, 3)
		running := func() int { return d.counter(2, `sycamorekeel_once_operations_total{verdict="new"}`) }
		before := running()
		results := make(chan map[string]int, 1)
		go func() {
			defer GinkgoRecover()
			results <- d.sendAll(2, ops, 0)
		}()
		Eventually(running).WithTimeout(10 * time.Second).Should(Equal(before + 3))
		d.VMs[2].Settings.Limits.DrainMs = 700
		Expect(d.VMs[2].Stop()).To(Succeed())
		Expect(<-results).To(Equal(map[string]int{"outcome_unknown/unknown": 3}))
	})

	// Guards against reporting "unknown" for a payment that was never sent: both
	// upstreams refuse connections, and this is treated as a timeout.
	It("is reported as not run when no byte was written", func() {
		closeUpstreams(d)
		Expect(d.sendAll(1, d.operations(1, 5), 0)).To(HaveKeyWithValue(HaveSuffix("/not_run"), 5))
	})
})

// counter returns the value of a counter in a VM's metrics, or 0 if it is absent.
func (d *deployment) counter(vm int, name string) int {
	_, body, err := fasthttp.Get(nil, "http://"+d.VMs[vm].Settings.OperatorAddress+"/metrics")
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(body)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.Atoi(strings.TrimSpace(value))
			Expect(err).NotTo(HaveOccurred())
			return n
		}
	}
	return 0
}
