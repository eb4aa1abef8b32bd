package membership_test

import (
	"fmt"
	"runtime"
	"sort"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/membership"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// sizes are the fleet sizes to which the slopes in docs/CAPACITY.md are fitted.
var sizes = []int{10, 50, 150, 550}

// settleTime is how long a fleet runs before the measurement.
const settleTime = 5 * time.Minute

// BenchmarkNodes runs whole fleets in simulated time. It reports per node the bytes sent per
// second (UDP and IP headers included), the processor time per simulated second and per tick
// with the datagrams since the last tick, and the heap size.
func BenchmarkNodes(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) { benchmarkNodes(b, count) })
	}
}

func benchmarkNodes(b *testing.B, count int) {
	const measured = 20 * time.Second
	before := heapBytes()
	w := newNetwork(1)
	w.fill(count)
	w.run(settleTime)
	after := heapBytes()
	w.bytes, w.datagrams = 0, 0
	seconds := 0.0
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		w.run(measured)
		seconds += measured.Seconds()
	}
	nodes := float64(count)
	spent := float64(b.Elapsed().Nanoseconds())
	b.ReportMetric(float64(w.bytes)/nodes/seconds, "bytes/s/node")
	b.ReportMetric(float64(w.datagrams)/nodes/seconds, "datagrams/s/node")
	b.ReportMetric(spent/nodes/seconds, "ns/s/node")
	b.ReportMetric(spent/nodes/seconds/(time.Second.Seconds()/tick.Seconds()), "ns/tick")
	b.ReportMetric((after-before)/nodes, "heap-bytes/node")
	runtime.KeepAlive(w)
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPhases reports the cost and duration of a start, a crash, a planned stop, the
// replacements of an ordinary day, a healed partition and packet loss. It runs in simulated
// time, so the figures are the same in each run.
func BenchmarkPhases(b *testing.B) {
	phases := []struct {
		name string
		run  func(b *testing.B, count int)
	}{
		{"start", reportStart},
		{"crash", reportCrash},
		{"churn", reportChurn},
		{"partition", reportPartition},
		{"loss", reportLoss},
	}
	for _, p := range phases {
		for _, count := range sizes {
			b.Run(fmt.Sprintf("%s/members=%d", p.name, count), func(b *testing.B) {
				for b.Loop() {
					p.run(b, count)
				}
			})
		}
	}
}

// settled returns a fleet that has reached a stable state.
func settled(seed uint64, count int) *network {
	w := newNetwork(seed)
	w.fill(count)
	w.run(2 * time.Minute)
	w.bytes = 0
	return w
}

func reportStart(b *testing.B, count int) {
	w := newNetwork(1)
	w.fill(count)
	w.run(time.Minute)
	b.ReportMetric(w.rate(time.Minute), "bytes/s/node")
}

func reportCrash(b *testing.B, count int) {
	w := settled(1, count)
	w.processes[1].down = true
	first, _ := w.runUntil(limit, func() bool { return w.anyHolds(1, pb.MemberState_DEAD) })
	all, _ := w.runUntil(limit, func() bool { return w.agree(upTo(count, 1)...) })
	b.ReportMetric(first.Seconds(), "first-s")
	b.ReportMetric((first + all).Seconds(), "all-s")
	w.do(w.processes[2], func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
	left, _ := w.runUntil(limit, func() bool { return w.agree(upTo(count, 1, 2)...) })
	b.ReportMetric(left.Seconds(), "leave-all-s")
}

// anyHolds reports whether any process that is up has VM i in a state.
func (w *network) anyHolds(i int, state pb.MemberState) bool {
	for p := range w.processes {
		if !w.processes[p].down && w.state(p, i) == state {
			return true
		}
	}
	return false
}

// rate returns the bytes per second and VM over d and resets the counter.
func (w *network) rate(d time.Duration) float64 {
	r := float64(w.bytes) / d.Seconds() / float64(len(w.processes))
	w.bytes = 0
	return r
}

// reportChurn replaces a VM every 78 seconds, the rate of 1,100 replacements a day.
func reportChurn(b *testing.B, count int) {
	const every, times = 78 * time.Second, 3
	w := settled(1, count)
	for i := range times {
		p := w.processes[3+i]
		w.do(p, func(n *membership.Node) membership.Actions { return n.Leave(w.now) })
		w.run(5 * time.Second)
		p.down = true
		w.run(2 * time.Second)
		w.add(3 + i)
		w.run(every - 7*time.Second)
	}
	b.ReportMetric(w.rate(every*times), "bytes/s/node")
}

func reportPartition(b *testing.B, count int) {
	w := settled(2, count)
	half := vmName(count / 2)
	w.cut = func(from, to string) bool { return (from < half) != (to < half) }
	w.run(2 * time.Minute)
	w.cut = func(string, string) bool { return false }
	w.bytes = 0
	healed, ok := w.runUntil(10*time.Minute, func() bool { return w.agree(upTo(count)...) })
	if !ok {
		b.Fatal("the halves did not find each other")
	}
	b.ReportMetric(healed.Seconds(), "all-s")
	b.ReportMetric(w.rate(healed), "bytes/s/node")
}

// reportLoss reports the effect of 5% loss each way in five minutes without failures.
func reportLoss(b *testing.B, count int) {
	const d = 5 * time.Minute
	w := settled(3, count)
	w.loss = 0.05
	failed, refuted, deaths := w.totals()
	w.run(d)
	failed2, refuted2, deaths2 := w.totals()
	hours := d.Hours() * float64(count)
	b.ReportMetric(float64(failed2-failed)/hours, "failed-probes/node-h")
	b.ReportMetric(float64(refuted2-refuted)/hours, "refuted/node-h")
	b.ReportMetric(float64(deaths2-deaths), "false-deaths")
}

func (w *network) totals() (failed, refuted, deaths uint64) {
	for _, p := range w.processes {
		s := p.node.Stats()
		failed += s.FailedProbes
		refuted += s.Refutations
		deaths += s.Deaths
	}
	return failed, refuted, deaths
}

// BenchmarkDetection reports the distribution of the time until every node holds a
// crashed member dead, in ticks of 200 ms.
func BenchmarkDetection(b *testing.B) {
	const runs = 40
	for b.Loop() {
		var took []float64
		for seed := range runs {
			w := newNetwork(uint64(seed))
			w.fill(9)
			w.run(20*time.Second + time.Duration(seed)*tick)
			w.processes[seed%9].down = true
			d, _ := w.runUntil(limit, func() bool { return w.agree(upTo(9, seed%9)...) })
			took = append(took, float64(d/tick))
		}
		sort.Float64s(took)
		b.ReportMetric(took[0], "least-ticks")
		b.ReportMetric(took[runs/2], "median-ticks")
		b.ReportMetric(took[runs-1], "most-ticks")
	}
}
