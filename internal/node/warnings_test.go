package node

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a fault of the configuration that fills the log with each version.
func TestAWarningIsToldOnce(t *testing.T) {
	core, lines := observer.New(zapcore.DebugLevel)
	w := newWarnings(zap.New(core), prometheus.NewRegistry())
	for range 20 {
		w.warn("routes[0].home_regions[0]: is no region that the settings name")
	}
	w.warn("another")
	if n := lines.Len(); n != 2 {
		t.Errorf("%d lines", n)
	}
	if n := testutil.ToFloat64(w.counter); n != 21 {
		t.Errorf("counted %v", n)
	}
}
