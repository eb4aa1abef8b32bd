package node

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"go.uber.org/zap"
)

// maxWarned bounds the warnings that are remembered.
const maxWarned = 256

// warnings tells once of each fault of what operators have published that does not keep it
// from being in force.
type warnings struct {
	log     *zap.Logger
	counter prometheus.Counter

	mu   sync.Mutex
	told map[string]bool
}

func newWarnings(log *zap.Logger, reg prometheus.Registerer) *warnings {
	return &warnings{log: log, told: map[string]bool{}, counter: promauto.With(reg).NewCounter(prometheus.CounterOpts{
		Name: "sycamorekeel_catalog_warnings_total", Help: "Faults of published items that do not keep these from being in force.",
	})}
}

// warn counts a fault, and logs it unless it was told before.
func (w *warnings) warn(fault string, fields ...zap.Field) {
	w.counter.Inc()
	w.mu.Lock()
	told := w.told[fault]
	if len(w.told) >= maxWarned {
		clear(w.told)
	}
	w.told[fault] = true
	w.mu.Unlock()
	if !told {
		w.log.Warn("config: "+fault, fields...)
	}
}
