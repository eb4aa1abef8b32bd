package owner

import (
	"go.uber.org/zap"

	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// maxPendingCancels bounds the cancellations that wait to be sent to one upstream.
// Cancellations beyond it are not sent, and their requests run to the end.
const maxPendingCancels = 64

// cancel refuses a queued item as not run, or cancels a running one at the upstream.
func (e *executor) cancel(key dispatch.Key) {
	e.mu.Lock()
	it, waiting := e.queue.Cancel(key)
	sent := false
	if !waiting {
		sent = e.cancelRunning(key)
	}
	e.mu.Unlock()
	switch {
	case waiting:
		e.owner.metrics.cancels.WithLabelValues(cancelledWaiting).Inc()
		e.owner.refuse(it, dispatch.Refusal{Result: pb.Result_CANCELLED, Reason: dispatch.Withdrawn})
	case sent:
		e.owner.metrics.cancels.WithLabelValues(cancelledRunning).Inc()
	default:
		e.owner.metrics.cancels.WithLabelValues(cancelNotSent).Inc()
	}
}

// cancelRunning queues a cancellation for the upstream. It returns false when the
// cancellation will not be sent. The caller holds mu.
func (e *executor) cancelRunning(key dispatch.Key) bool {
	if len(e.cancels) >= maxPendingCancels || e.closed {
		return false
	}
	e.cancels = append(e.cancels, requestID(key))
	if !e.cancelling {
		e.cancelling = true
		go e.sendCancels()
	}
	return true
}

// sendCancels sends the queued cancellations one by one on the control connection
// and returns when none is left. A slot becomes free only when the cancelled
// request's own response arrives.
func (e *executor) sendCancels() {
	for {
		e.mu.Lock()
		batch := e.cancels
		e.cancels = nil
		if len(batch) == 0 {
			e.cancelling = false
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		for _, id := range batch {
			if err := e.client.Cancel(id); err != nil {
				e.owner.log.Debug("owner: cancellation not delivered", zap.Error(err))
			}
		}
	}
}
