package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// The simulation runs the real queue and limiter against a model of one upstream
// in simulated time, so its results are the same on every machine.

// source generates the arrivals of one customer.
type source struct {
	name     string
	rate     float64 // per second
	weight   uint32
	priority pb.Priority
	deadline time.Duration
}

// model describes the upstream.
type model struct {
	// slots is the number of concurrent requests; further ones are shed.
	slots int
	// service draws a service time; running includes the request itself.
	service func(rng *rand.Rand, running int) time.Duration
}

type simulation struct {
	order     Order
	limit     LimitPolicy
	published int
	maxQueue  int
	length    time.Duration
	sources   []source
	model     model
	// updateModel updates the model ahead of each event.
	updateModel func(now time.Duration, m *model)

	rng     *rand.Rand
	queue   *Queue
	limiter *Limiter
	now     time.Duration
	events  eventHeap
	serial  int
	result  map[string]*outcome
	sheds   int
	sent    int
}

// outcome counts the results of one customer's requests.
type outcome struct {
	offered, inTime, late, refused int
	waits                          []time.Duration
}

func (o *outcome) success() float64 { return float64(o.inTime) / float64(max(1, o.offered)) }

func (o *outcome) quantile(q float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[min(len(o.waits)-1, int(q*float64(len(o.waits))))]
}

type simEvent struct {
	at     time.Duration
	serial int
	run    func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *simulation) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.events, simEvent{s.now + d, s.serial, run})
}

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) run() *simulation {
	s.rng = rand.New(rand.NewPCG(1, 2))
	s.queue = New(Options{Order: s.order, MaxQueue: s.maxQueue})
	s.limiter = NewLimiter(s.limit, s.published)
	s.result = map[string]*outcome{}
	for i := range s.sources {
		s.result[s.sources[i].name] = &outcome{}
		s.arrivals(&s.sources[i])
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		if s.updateModel != nil {
			s.updateModel(s.now, &s.model)
		}
		e.run()
	}
	return s
}

func (s *simulation) arrivals(src *source) {
	gap := time.Duration(s.rng.ExpFloat64() / src.rate * float64(time.Second))
	if s.now+gap > s.length {
		return
	}
	s.after(gap, func() {
		s.arrive(src)
		s.arrivals(src)
	})
}

func (s *simulation) arrive(src *source) {
	out := s.result[src.name]
	out.offered++
	s.serial++
	it := &Item{
		Key:      Key{ID: uint64(s.serial)},
		Customer: src.name,
		Priority: src.priority,
		Weight:   src.weight,
		Arrived:  s.clock(),
		Deadline: s.clock().Add(src.deadline),
	}
	s.queue.SetSlots(s.limiter.Limit())
	refusal, displaced := s.queue.Push(s.clock(), it)
	if refusal != nil {
		out.refused++
	}
	if displaced != nil {
		s.result[displaced.Item.Customer].refused++
	}
	s.dispatch()
}

func (s *simulation) dispatch() {
	for {
		s.queue.SetSlots(s.limiter.Limit())
		it, late := s.queue.Pop(s.clock())
		for _, l := range late {
			s.result[l.Item.Customer].refused++
		}
		if it == nil {
			return
		}
		s.start(it)
	}
}

func (s *simulation) start(it *Item) {
	s.sent++
	running := s.queue.Running()
	if running > s.model.slots {
		s.after(time.Millisecond, func() {
			s.sheds++
			s.result[it.Customer].refused++
			s.queue.Release()
			s.limiter.RecordShed(s.clock())
			s.dispatch()
		})
		return
	}
	took := s.model.service(s.rng, running)
	s.after(took, func() { s.finish(it, took) })
}

func (s *simulation) finish(it *Item, took time.Duration) {
	out := s.result[it.Customer]
	if s.clock().After(it.Deadline) {
		out.late++
	} else {
		out.inTime++
		out.waits = append(out.waits, s.clock().Sub(it.Arrived))
	}
	running := s.queue.Running()
	s.queue.Done(took, false)
	s.limiter.RecordSuccess(s.clock(), took, running)
	s.dispatch()
}

func (s *simulation) goodput() float64 {
	n := 0
	for _, o := range s.result {
		n += o.inTime
	}
	return float64(n) / s.length.Seconds()
}

// logNormal draws service times with the distribution of the stand-in upstreams.
func logNormal(median time.Duration, spread float64) func(*rand.Rand, int) time.Duration {
	return func(rng *rand.Rand, _ int) time.Duration {
		return time.Duration(float64(median) * math.Exp(spread*rng.NormFloat64()))
	}
}

const simLength = 60 * time.Second

// capacity is the requests per second of five slots with a median service time
// of 10 ms and a spread of 0.3.
var capacity = 5 / (0.010 * math.Exp(0.3*0.3/2))

var orders = []struct {
	name  string
	order Order
}{{"arrival", FIFO}, {"fair", Fair}}

func base(order Order, sources []source) *simulation {
	return &simulation{
		order:     order,
		published: 5,
		maxQueue:  256,
		length:    simLength,
		sources:   sources,
		model:     model{slots: 5, service: logNormal(10*time.Millisecond, 0.3)},
	}
}

// eightCustomers returns eight customers at 9% of the capacity each; the first
// offers the given multiple of that.
func eightCustomers(times float64) []source {
	var out []source
	for i := range 8 {
		rate := 0.09 * capacity
		if i == 0 {
			rate *= times
		}
		out = append(out, source{fmt.Sprintf("c%d", i), rate, 1, pb.Priority_NORMAL, 200 * time.Millisecond})
	}
	return out
}

// others sums the outcomes of all customers but the first.
func others(s *simulation) *outcome {
	sum := &outcome{}
	for name, o := range s.result {
		if name == "c0" {
			continue
		}
		sum.offered += o.offered
		sum.inTime += o.inTime
		sum.waits = append(sum.waits, o.waits...)
	}
	return sum
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkIsolation runs one customer at ten times its share and the others at
// theirs.
func BenchmarkIsolation(b *testing.B) {
	for _, o := range orders {
		for _, times := range []float64{1, 10} {
			b.Run(fmt.Sprintf("%s/first=%gx", o.name, times), func(b *testing.B) {
				var s *simulation
				for range b.N {
					s = base(o.order, eightCustomers(times)).run()
				}
				sum := others(s)
				b.ReportMetric(ms(sum.quantile(0.5)), "others-p50-ms")
				b.ReportMetric(ms(sum.quantile(0.99)), "others-p99-ms")
				b.ReportMetric(100*sum.success(), "others-success-%")
				b.ReportMetric(100*s.result["c0"].success(), "first-success-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkGoodput reports the answers in time at 0.8 to 5 times the capacity.
func BenchmarkGoodput(b *testing.B) {
	for _, o := range orders {
		for _, load := range []float64{0.8, 1, 1.5, 2, 3, 5} {
			b.Run(fmt.Sprintf("%s/load=%gx", o.name, load), func(b *testing.B) {
				var s *simulation
				for range b.N {
					s = base(o.order, scaled(load)).run()
				}
				b.ReportMetric(100*s.goodput()/capacity, "goodput-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func scaled(load float64) []source {
	var out []source
	for i := range 8 {
		out = append(out, source{fmt.Sprintf("c%d", i), load * capacity / 8, 1, pb.Priority_NORMAL, 200 * time.Millisecond})
	}
	return out
}

// BenchmarkLimit runs each policy against an upstream with fewer slots than
// published, one whose latency grows with concurrency, and one with a slow
// period that does not depend on concurrency.
func BenchmarkLimit(b *testing.B) {
	policies := []struct {
		name   string
		policy LimitPolicy
	}{{"fixed", Fixed}, {"aimd", AIMD}, {"aimd-latency", AIMDLatency}, {"gradient", Gradient}}
	models := []struct {
		name   string
		model  model
		before func(time.Duration, *model)
	}{
		{"two-of-five", model{slots: 2, service: logNormal(10*time.Millisecond, 0.3)}, nil},
		{"five-then-two-then-five", model{slots: 5, service: logNormal(10*time.Millisecond, 0.3)}, middleThird(func(m *model, in bool) {
			m.slots = 5
			if in {
				m.slots = 2
			}
		})},
		{"shared-processor", model{slots: 5, service: sharedProcessors(10*time.Millisecond, 2)}, nil},
		{"slow-spell", model{slots: 5, service: logNormal(10*time.Millisecond, 0.3)}, middleThird(func(m *model, in bool) {
			m.service = logNormal(10*time.Millisecond, 0.3)
			if in {
				m.service = logNormal(40*time.Millisecond, 0.3)
			}
		})},
	}
	for _, mo := range models {
		for _, p := range policies {
			b.Run(mo.name+"/"+p.name, func(b *testing.B) {
				var s *simulation
				for range b.N {
					s = base(Fair, scaled(0.7))
					s.limit, s.model, s.updateModel = p.policy, mo.model, mo.before
					s.run()
				}
				b.ReportMetric(s.goodput(), "goodput/s")
				b.ReportMetric(100*float64(s.sheds)/float64(max(1, s.sent)), "shed-%-of-sent")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// middleThird applies change in the middle third of a run, between 20 and 40 s.
func middleThird(change func(m *model, in bool)) func(time.Duration, *model) {
	in := false
	return func(now time.Duration, m *model) {
		if is := now >= simLength/3 && now < 2*simLength/3; is != in {
			in = is
			change(m, in)
		}
	}
}

// sharedProcessors models an upstream whose requests share the given number of
// processors.
func sharedProcessors(median time.Duration, cores int) func(*rand.Rand, int) time.Duration {
	draw := logNormal(median, 0.3)
	return func(rng *rand.Rand, running int) time.Duration {
		return time.Duration(float64(draw(rng, running)) * max(1, float64(running)/float64(cores)))
	}
}

// TestIsolation and the tests below check the results of the benchmarks.
// Simulated time makes them the same on every machine.
func TestIsolation(t *testing.T) {
	alone, flooded := others(base(Fair, eightCustomers(1)).run()), others(base(Fair, eightCustomers(10)).run())
	if flooded.success() < 0.9*alone.success() {
		t.Errorf("others' success fell from %.3f to %.3f", alone.success(), flooded.success())
	}
	if a, f := alone.quantile(0.99), flooded.quantile(0.99); float64(f) > 1.1*float64(a) {
		t.Errorf("others' p99 rose from %v to %v", a, f)
	}
	if fifo := others(base(FIFO, eightCustomers(10)).run()); fifo.success() > 0.9*alone.success() {
		t.Errorf("FIFO order shows no degradation (%.3f): the comparison above proves nothing", fifo.success())
	}
}

// TestLimitSettles checks that an upstream with room for two of five published
// slots sheds few requests.
func TestLimitSettles(t *testing.T) {
	s := base(Fair, scaled(0.7))
	s.model.slots = 2
	s.run()
	if share := float64(s.sheds) / float64(s.sent); share > 0.03 {
		t.Errorf("%.1f%% of what was sent was shed", 100*share)
	}
}

func TestGoodputDoesNotFall(t *testing.T) {
	most := 0.0
	for _, load := range []float64{1, 1.5, 2, 3, 5} {
		got := base(Fair, scaled(load)).run().goodput()
		if got < 0.98*most {
			t.Errorf("goodput fell to %.0f/s at %gx, from %.0f/s", got, load, most)
		}
		most = max(most, got)
	}
}

// weighted returns three customers that each offer the whole capacity.
func weighted() []source {
	var out []source
	for _, w := range []uint32{4, 2, 1} {
		out = append(out, source{fmt.Sprintf("w%d", w), capacity, w, pb.Priority_NORMAL, 200 * time.Millisecond})
	}
	return out
}

// twoClasses returns a high class that offers the given multiple of the capacity
// and a low class that offers all of it.
func twoClasses(high float64) []source {
	return []source{
		{"high", high * capacity, 1, pb.Priority_HIGH, 200 * time.Millisecond},
		{"low", capacity, 1, pb.Priority_LOW, 200 * time.Millisecond},
	}
}

// BenchmarkShares reports the part of the capacity that each customer gets, by
// weight and by class.
func BenchmarkShares(b *testing.B) {
	for name, sources := range map[string][]source{
		"weights-4-2-1": weighted(), "high-at-0.8x": twoClasses(0.8), "high-at-3x": twoClasses(3),
	} {
		for _, o := range orders {
			b.Run(name+"/"+o.name, func(b *testing.B) {
				var s *simulation
				for range b.N {
					s = base(o.order, sources).run()
				}
				for _, src := range sources {
					b.ReportMetric(100*float64(s.result[src.name].inTime)/simLength.Seconds()/capacity, src.name+"-%")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// TestShares checks that customers share by weight, and that a higher class goes
// first without starving the lower one.
func TestShares(t *testing.T) {
	s := base(Fair, weighted()).run()
	one := float64(s.result["w1"].inTime)
	for name, want := range map[string]float64{"w4": 4, "w2": 2} {
		if got := float64(s.result[name].inTime) / one; math.Abs(got-want) > 0.1*want {
			t.Errorf("%s got %.2f times the share of weight 1", name, got)
		}
	}
	if got := base(Fair, twoClasses(0.8)).run().result["high"].success(); got < 0.99 {
		t.Errorf("the high class succeeded %.3f below its capacity", got)
	}
	if got := base(Fair, twoClasses(3)).run().result["low"].inTime; got == 0 {
		t.Error("the low class got nothing")
	}
}
