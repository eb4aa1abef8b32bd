package bench

import (
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/fleet"
	"sycamorekeel.example/sycamorekeel/internal/upstream"
)

const (
	// pathRequests is how many requests are timed one after the other.
	pathRequests = 300
	// busyTime and busyCallers drive the fleet without a pause.
	busyTime    = 2 * time.Second
	busyCallers = 24
)

// Path is what the way through the system costs beside a direct call to a
// stand-in, in one run.
type Path struct {
	DirectP50MS float64 `json:"direct_p50_ms"`
	// SingleP50MS asks one shard and ScanP50MS all, through a VM.
	SingleP50MS float64 `json:"single_p50_ms"`
	ScanP50MS   float64 `json:"scan_p50_ms"`
	Shards      int     `json:"shards"`
	// The rest is of a fleet that is kept busy, callers and stand-ins in the
	// same process included.
	SubRequestsPerSecond float64 `json:"sub_requests_per_second"`
	ProcessorUS          float64 `json:"processor_us_per_sub_request"`
	Allocations          float64 `json:"allocations_per_sub_request"`
	// DirectProcessorUS is the same for direct calls: what the HTTP of caller
	// and stand-in costs alone.
	DirectProcessorUS float64 `json:"direct_processor_us_per_call"`
}

func measurePath(seed uint64) (*Path, error) {
	on := ordinary()
	on.median, on.spread, on.slots, on.conns = time.Microsecond, 0, 200, 240
	for i := range on.customers {
		on.customers[i].scanRate, on.customers[i].payRate, on.customers[i].concurrency = 1e6, 1e6, 10_000
	}
	f, err := fleet.Start(fleet.Options{
		Log:         zap.NewNop(),
		Documents:   on.documents(),
		VMs:         on.vms,
		DataCentres: dataCentres,
		Behaviour:   on.behaviour,
		Seed:        seed,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := scenario{name: "path", on: on}
	r := &run{scenario: &s, fleet: f, clients: map[string][]*client{}}
	defer r.close()
	r.connect()
	return r.path(), nil
}

func (r *run) path() *Path {
	c := r.clients["blue"][0]
	direct := newDirect(r.fleet.Upstreams[upstreamID(payService, 0, 0)].Address())
	p := &Path{Shards: r.scenario.on.shards}
	p.DirectP50MS = median(direct.call)
	p.SingleP50MS = median(func() { c.call(payKind, "key", "") })
	p.ScanP50MS = median(func() { c.call(scanKind, "key", "") })
	calls, spent, _ := busy(direct.call)
	p.DirectProcessorUS = ratio(float64(spent.Microseconds()), float64(calls))
	before := r.subRequests()
	_, spent, allocs := busy(func() { c.call(scanKind, "key", "") })
	n := float64(r.subRequests() - before)
	p.SubRequestsPerSecond = n / busyTime.Seconds()
	p.ProcessorUS = ratio(float64(spent.Microseconds()), n)
	p.Allocations = ratio(allocs, n)
	return p
}

func median(call func()) float64 {
	h := hdrhistogram.New(1, highestUS, 3)
	for range pathRequests {
		start := time.Now()
		call()
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	return atMS(h.ValueAtQuantile(50))
}

// busy calls from several callers without a pause.
func busy(call func()) (calls int64, spent time.Duration, allocs float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, end := processTime(), time.Now().Add(busyTime)
	counts := make([]int64, busyCallers)
	var wg sync.WaitGroup
	for i := range counts {
		wg.Go(func() {
			for time.Now().Before(end) {
				call()
				counts[i]++
			}
		})
	}
	wg.Wait()
	spent = processTime() - cpu
	runtime.ReadMemStats(&after)
	for _, n := range counts {
		calls += n
	}
	return calls, spent, float64(after.Mallocs - before.Mallocs)
}

// directCall asks a stand-in as an owner would, with nothing between.
type directCall struct {
	address string
	http    *fasthttp.Client
}

func newDirect(address string) *directCall {
	return &directCall{address: address, http: &fasthttp.Client{MaxConnsPerHost: busyCallers}}
}

func (d *directCall) call() {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + d.address + "/" + payService)
	req.Header.Set(upstream.HeaderRequestID, "direct")
	req.Header.Set(upstream.HeaderSnapshot, "1/1")
	req.Header.Set(upstream.HeaderShard, "0")
	req.SetBodyString(`{"query":"lease","key":"key"}`)
	_ = d.http.DoTimeout(req, resp, callPatience)
}
