package node

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a fault in the configuration that is logged again with each version.
func TestWarningIsLoggedOnce(t *testing.T) {
	core, lines := observer.New(zapcore.DebugLevel)
	w := newWarningLog(zap.New(core), prometheus.NewRegistry())
	for range 20 {
		w.warn("routes[0].home_regions[0]: region is not in the settings")
	}
	w.warn("another")
	if n := lines.Len(); n != 2 {
		t.Errorf("logged %d lines, want 2", n)
	}
	if n := testutil.ToFloat64(w.counter); n != 21 {
		t.Errorf("counted %v faults, want 21", n)
	}
}
