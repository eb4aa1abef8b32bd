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

// reassemble replaces the chunks in a batch by the replies that they complete. Only
// the stream's reader calls it.
func (l *link) reassemble(frames []*pb.Frame) []*pb.Frame {
	out := frames[:0]
	for _, f := range frames {
		r := f.GetReply()
		if r == nil || !isChunk(r) {
			out = append(out, f)
			continue
		}
		complete, reason := l.reassembler.add(r, l.isWaiting(r.Id))
		if reason != "" {
			l.pool.chunkMetrics.dropped.WithLabelValues(string(reason)).Inc()
		}
		if complete != nil {
			// A failed reply removes its request at once, so that its later
			// chunks are unexpected.
			l.removeAnswered([]*pb.Frame{{Body: &pb.Frame_Reply{Reply: complete}}})
			out = append(out, &pb.Frame{Body: &pb.Frame_Reply{Reply: complete}})
		}
	}
	return out
}

func (l *link) isWaiting(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.waiting[id]
	return ok
}
