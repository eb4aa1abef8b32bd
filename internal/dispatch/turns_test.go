package dispatch

import (
	"fmt"
	"testing"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// deficit is deficit round robin over customers that always have items: the
// order weighed against the one in use.
type deficit struct {
	weights []int
	at      int
	left    int
}

func (d *deficit) next() int {
	if d.left == 0 {
		d.at = (d.at + 1) % len(d.weights)
		d.left = d.weights[d.at]
	}
	d.left--
	return d.at
}

// startTime is the queue itself, kept full.
type startTime struct {
	queue   *Queue
	weights []int
	id      uint64
}

func newStartTime(weights []int) *startTime {
	s := &startTime{queue: New(Options{Slots: 1, MaxQueue: 1 << 20}), weights: weights}
	for i := range weights {
		s.push(i)
		s.push(i)
	}
	return s
}

func (s *startTime) push(i int) {
	s.id++
	it := item(s.id, fmt.Sprintf("c%d", i), pb.Priority_LOW, 1<<30)
	it.Weight = uint32(s.weights[i])
	s.queue.Push(at(0), it)
}

func (s *startTime) next() int {
	it, _ := s.queue.Pop(at(0))
	s.queue.Release()
	i := int(it.Customer[1] - '0')
	s.push(i)
	return i
}

// worstGap is the longest a customer waited between two turns, in turns, against
// what its weight promises.
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

// BenchmarkTurns: the worst wait between two turns over the promised one.
func BenchmarkTurns(b *testing.B) {
	for _, weights := range [][]int{{1, 1, 1, 1}, {4, 3, 2, 1}, {64, 16, 4, 1}} {
		b.Run(fmt.Sprintf("deficit/%v", weights), func(b *testing.B) {
			d := &deficit{weights: weights}
			b.ReportMetric(worstGap(weights, d.next), "worst/promised")
			b.ReportMetric(0, "ns/op")
		})
		b.Run(fmt.Sprintf("start-time/%v", weights), func(b *testing.B) {
			s := newStartTime(weights)
			b.ReportMetric(worstGap(weights, s.next), "worst/promised")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkQueue: one sub-request in and out, by how many wait.
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

// BenchmarkLedger: one id seen and closed.
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
