package bench

import (
	"sort"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/query"
)

// Policy names in results.
const (
	Baseline = "direct"
	Current  = "owner"
)

// Result is one scenario under one policy.
type Result struct {
	Policy string `json:"policy"`
	// Groups are the customers' kinds, and "all" first.
	Groups []Group `json:"groups"`
	// Refused counts requests without an answer by reason.
	Refused map[string]int `json:"refused"`
	// Unsent are requests that found too many open; they count as offered.
	Unsent int `json:"unsent"`
	// Extra is sub-requests sent by cause, as a share of the first ones.
	Extra map[string]float64 `json:"extra"`
	// Executions is what the upstreams ran for each first sub-request.
	Executions float64 `json:"executions_per_sub_request"`
	Shed       int64   `json:"shed"`
	// PeakConnections is the most at one upstream; Limit what it accepts.
	PeakConnections int64    `json:"peak_connections"`
	Limit           int      `json:"connection_limit"`
	Broken          []string `json:"broken"`
	Notes           []string `json:"notes"`
}

// Group is the requests of one customer and kind.
type Group struct {
	Name     string  `json:"name"`
	Offered  int     `json:"offered"`
	Answered int     `json:"answered"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	P999MS   float64 `json:"p99_9_ms"`
	// Success is answers within the contracted deadline over requests offered.
	Success float64 `json:"success"`
	// Coverage is the mean over the answers.
	Coverage float64 `json:"coverage"`
	// Goodput is answers in time a second.
	Goodput float64 `json:"goodput"`
	// RefusalP99MS is how long refusals took.
	RefusalP99MS float64 `json:"refusal_p99_ms"`
}

func (r *run) result() *Result {
	res := &Result{Policy: Current, Refused: map[string]int{}, Unsent: r.unsent, Limit: r.scenario.on.conns, Broken: r.broken, Notes: r.notes}
	if r.routing == pb.Routing_DIRECT {
		res.Policy = Baseline
	}
	groups := map[string][]*record{}
	for i := range r.records {
		rec := &r.records[i]
		name := rec.load.customer + "/" + rec.kind
		groups[name] = append(groups[name], rec)
		groups["all"] = append(groups["all"], rec)
		if rec.result.outcome != answered {
			res.Refused[rec.result.outcome]++
		}
	}
	for name, recs := range groups {
		res.Groups = append(res.Groups, r.group(name, recs))
	}
	sort.Slice(res.Groups, func(i, j int) bool { return res.Groups[i].Name < res.Groups[j].Name })
	r.upstreamLoad(res)
	return res
}

func (r *run) group(name string, recs []*record) Group {
	g := Group{Name: name, Offered: len(recs)}
	if name == "all" {
		g.Offered += r.unsent
	}
	times, refusals := newHistogram(), newHistogram()
	inTime := 0
	for _, rec := range recs {
		if rec.result.answer == nil {
			_ = refusals.RecordValue(rec.latency.Microseconds())
			continue
		}
		g.Answered++
		g.Coverage += rec.result.answer.Coverage.Fraction
		_ = times.RecordValue(rec.latency.Microseconds())
		if rec.latency <= r.scenario.on.deadline {
			inTime++
		}
	}
	g.P50MS, g.P99MS, g.P999MS = atMS(times.ValueAtQuantile(50)), atMS(times.ValueAtQuantile(99)), atMS(times.ValueAtQuantile(99.9))
	g.RefusalP99MS = atMS(refusals.ValueAtQuantile(99))
	g.Success = ratio(float64(inTime), float64(g.Offered))
	g.Coverage = ratio(g.Coverage, float64(g.Answered))
	g.Goodput = float64(inTime) / r.scenario.duration.Seconds()
	return g
}

func (r *run) upstreamLoad(res *Result) {
	served := int64(0)
	for _, u := range r.fleet.Upstreams {
		served += u.Served()
		res.Shed += u.Shed()
		res.PeakConnections = max(res.PeakConnections, u.Peak())
	}
	causes := r.causes()
	first := causes[query.First.String()]
	res.Executions = ratio(float64(served), first)
	res.Extra = map[string]float64{}
	for cause, n := range causes {
		if cause != query.First.String() {
			res.Extra[cause] = ratio(n, first)
		}
	}
}

// causes counts the sub-requests sent by cause, over every process.
func (r *run) causes() map[string]float64 {
	const metric = "sycamorekeel_query_requests_total"
	out := map[string]float64{}
	for _, vm := range r.fleet.Processes() {
		add(vm.Daemon.Metrics(), metric, out)
	}
	return out
}

func add(from prometheus.Gatherer, metric string, to map[string]float64) {
	families, err := from.Gather()
	if err != nil {
		return
	}
	for _, f := range families {
		if f.GetName() != metric {
			continue
		}
		for _, m := range f.GetMetric() {
			to[m.GetLabel()[0].GetValue()] += m.GetCounter().GetValue()
		}
	}
}

func (r *run) subRequests() int64 {
	total := 0.0
	for _, n := range r.causes() {
		total += n
	}
	return int64(total)
}

// processTime is the processor time of this process so far.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func atMS(us int64) float64 { return float64(us) / 1000 }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
