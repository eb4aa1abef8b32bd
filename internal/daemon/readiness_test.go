package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/admission"
	"sycamorekeel.example/sycamorekeel/internal/share"
)

// Guards against a VM that reports ready before it has any share of its limits, and refuses the
// first requests. The wait for a first token was counted from the start of the process, so that
// there was none if the first configuration came late.
func TestWaitForFirstTokenBeginsWithConfiguration(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	timing := share.Timing{Lease: share.DefaultLease}
	s := &shares{
		timing:     timing,
		state:      share.New(share.Options{VM: "a", Incarnation: 1, Started: now.Add(-time.Hour), Timing: timing}),
		controller: admission.New(1),
		served:     []share.Kind{{Customer: "c", Name: "k"}},
		// In the future, so that the test does not depend on how long it takes.
		configuredAt: now.Add(time.Hour),
	}
	g.Expect(s.notReady()).NotTo(BeEmpty())
	s.configuredAt = now.Add(-maxFillWait)
	g.Expect(s.notReady()).To(BeEmpty())
}
