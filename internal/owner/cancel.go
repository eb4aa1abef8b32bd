package owner

import (
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// maxCancels bounds the cancellations that wait to be sent to one upstream; the
// requests of those above it run to their end.
const maxCancels = 64

func (s *station) cancel(key dispatch.Key) {
	s.mu.Lock()
	it, waiting := s.queue.Cancel(key)
	sent := false
	if !waiting {
		sent = s.cancelRunning(key)
	}
	s.mu.Unlock()
	switch {
	case waiting:
		s.owner.met.cancels.WithLabelValues(metWaiting).Inc()
		s.owner.refuse(it, dispatch.Refusal{Result: pb.Result_CANCELLED, Reason: dispatch.Withdrawn})
	case sent:
		s.owner.met.cancels.WithLabelValues(metRunning).Inc()
	default:
		s.owner.met.cancels.WithLabelValues(metBacklog).Inc()
	}
}

// cancelRunning queues a cancellation for the upstream. The caller holds mu.
func (s *station) cancelRunning(key dispatch.Key) bool {
	if len(s.cancels) >= maxCancels || s.closed {
		return false
	}
	s.cancels = append(s.cancels, requestID(key))
	if !s.cancelling {
		s.cancelling = true
		go s.sendCancels()
	}
	return true
}

// sendCancels sends the cancellations one after another on the control
// connection and ends when there are none. The slot becomes free when the
// request's own answer comes.
func (s *station) sendCancels() {
	for {
		s.mu.Lock()
		batch := s.cancels
		s.cancels = nil
		if len(batch) == 0 {
			s.cancelling = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		for _, id := range batch {
			if err := s.client.Cancel(id); err != nil {
				s.owner.log.Debug("owner: cancellation not delivered", zap.Error(err))
			}
		}
	}
}
