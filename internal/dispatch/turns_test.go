package dispatch

import (
	"fmt"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// deficitRoundRobin implements deficit round robin over customers that always
// have items. It is the alternative that BenchmarkTurns compares with start-time
// fair queueing.
type deficitRoundRobin struct {
	weights []int
	current int
	left    int
}

func (d *deficitRoundRobin) next() int {
	if d.left == 0 {
		d.current = (d.current + 1) % len(d.weights)
		d.left = d.weights[d.current]
	}
	d.left--
	return d.current
}

// startTimeFair drives a Queue in which every customer always has items.
type startTimeFair struct {
	queue   *Queue
	weights []int
	id      uint64
}

func newStartTimeFair(weights []int) *startTimeFair {
	s := &startTimeFair{queue: New(Options{Slots: 1, MaxQueue: 1 << 20}), weights: weights}
	for i := range weights {
		s.push(i)
		s.push(i)
	}
	return s
}

func (s *startTimeFair) push(i int) {
	s.id++
	it := item(s.id, fmt.Sprintf("c%d", i), pb.Priority_LOW, 1<<30)
	it.Weight = uint32(s.weights[i])
	s.queue.Push(at(0), it)
}

func (s *startTimeFair) next() int {
	it, _ := s.queue.Pop(at(0))
	s.queue.Release()
	i := int(it.Customer[1] - '0')
	s.push(i)
	return i
}

// worstGap returns the longest wait of a customer between two turns, relative to
// the wait that its weight promises.
func worstGap(weights []int, next func() int) float64 {
	total := 0
	for _, w := range weights {
		total += w
	}
	last := make([]int, len(weights))
	worst := 0.0
	for turn := 1; turn <= 50*total; turn++ {
		i := next()
		if last[i] > 0 {
			worst = max(worst, float64(turn-last[i])*float64(weights[i])/float64(total))
		}
		last[i] = turn
	}
	return worst
}

// BenchmarkTurns reports the worst wait between two turns over the promised one.
func BenchmarkTurns(b *testing.B) {
	for _, weights := range [][]int{{1, 1, 1, 1}, {4, 3, 2, 1}, {64, 16, 4, 1}} {
		b.Run(fmt.Sprintf("deficit/%v", weights), func(b *testing.B) {
			d := &deficitRoundRobin{weights: weights}
			b.ReportMetric(worstGap(weights, d.next), "worst/promised")
			b.ReportMetric(0, "ns/op")
		})
		b.Run(fmt.Sprintf("start-time/%v", weights), func(b *testing.B) {
			s := newStartTimeFair(weights)
			b.ReportMetric(worstGap(weights, s.next), "worst/promised")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkQueue adds and removes one sub-request, by number of waiting items.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{1, 256, 4096} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := New(Options{Slots: 1, MaxQueue: 2 * waiting})
			items := make([]*Item, waiting+1)
			for i := range items {
				items[i] = item(uint64(i), fmt.Sprintf("c%d", i%50), pb.Priority(i%3+1), 1<<30)
			}
			for _, it := range items[1:] {
				q.Push(at(0), it)
			}
			next := items[0]
			b.ReportAllocs()
			for b.Loop() {
				q.Push(at(0), next)
				next, _ = q.Pop(at(0))
				q.Release()
			}
		})
	}
}

// BenchmarkLedger records and closes one id.
func BenchmarkLedger(b *testing.B) {
	l := NewLedger(DefaultLedger())
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		l.Arrive(at(int(id/50)), key(id), true)
		l.Close(key(id))
	}
}
