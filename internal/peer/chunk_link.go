package peer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

type chunkMetrics struct {
	dropped *prometheus.CounterVec
}

func newChunkMetrics(r prometheus.Registerer) *chunkMetrics {
	return &chunkMetrics{dropped: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Name: "sycamorekeel_peer_chunks_dropped_total",
		Help: "Chunks of large answers that were dropped, by reason.",
	}, []string{"reason"})}
}

// join replaces the chunks in a batch by the answers that they complete. Only
// the stream's reader calls it.
func (l *link) join(frames []*pb.Frame) []*pb.Frame {
	out := frames[:0]
	for _, f := range frames {
		r := f.GetReply()
		if r == nil || !chunk(r) {
			out = append(out, f)
			continue
		}
		whole, why := l.chunks.add(r, l.awaits(r.Id))
		if why != "" {
			l.pool.chunkMet.dropped.WithLabelValues(string(why)).Inc()
		}
		if whole != nil {
			// A failed answer ends the wait at once, so that its later chunks
			// are foreign.
			l.settle([]*pb.Frame{{Body: &pb.Frame_Reply{Reply: whole}}})
			out = append(out, &pb.Frame{Body: &pb.Frame_Reply{Reply: whole}})
		}
	}
	return out
}

func (l *link) awaits(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.waiting[id]
	return ok
}
