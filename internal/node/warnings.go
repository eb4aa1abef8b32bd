package node

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"
)

// maxRememberedWarnings limits the logged warnings that are remembered.
const maxRememberedWarnings = 256

// warningLog logs each fault of a published item once if the fault does not keep the
// item from being in force.
type warningLog struct {
	log     *zap.Logger
	counter prometheus.Counter

	mu     sync.Mutex
	logged map[string]bool
}

func newWarningLog(log *zap.Logger, reg prometheus.Registerer) *warningLog {
	return &warningLog{log: log, logged: map[string]bool{}, counter: promauto.With(reg).NewCounter(prometheus.CounterOpts{
		Name: "sycamorekeel_catalog_warnings_total", Help: "Faults of published items that do not keep these from being in force.",
	})}
}

// warn counts a fault, and logs it unless it is remembered as logged.
func (w *warningLog) warn(fault string, fields ...zap.Field) {
	w.counter.Inc()
	w.mu.Lock()
	alreadyLogged := w.logged[fault]
	if len(w.logged) >= maxRememberedWarnings {
		clear(w.logged)
	}
	w.logged[fault] = true
	w.mu.Unlock()
	if !alreadyLogged {
		w.log.Warn("config: "+fault, fields...)
	}
}
