package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pause"
)

// After ticks have stopped for two seconds, dispatching stays suspended for the
// settle time. Otherwise an owner that resumes would run queued requests before
// it reads the cancellations that arrived meanwhile.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	p := NewPauseDetector(PauseOptions{Gap: time.Second, Settle: 100 * time.Millisecond})
	step := func(ms int, tick bool) (bool, time.Duration) {
		held, gap := p.Check(at(ms))
		if tick {
			p.Tick(at(ms))
		}
		return held, gap
	}
	held, _ := step(50_000, false)
	g.Expect(held).To(BeFalse(), "nothing is detected before the first tick")
	step(50_000, true)
	held, _ = step(50_999, false)
	g.Expect(held).To(BeFalse())
	held, gap := step(52_000, false)
	g.Expect(held).To(BeTrue(), "detected by Check, without a tick")
	g.Expect(gap).To(Equal(2 * time.Second))
	held, _ = step(52_099, true)
	g.Expect(held).To(BeTrue())
	held, _ = step(52_100, true)
	g.Expect(held).To(BeFalse())
}

// The monotonic clock stops while a VM is suspended and the wall clock does not.
// A gap on either clock counts, so that the owner does not act on outdated
// state.
func TestSuspend(t *testing.T) {
	g := NewWithT(t)
	then := time.Now()
	g.Expect(pause.Gap(then.Add(-time.Hour).Round(0), then.Add(time.Millisecond))).To(BeNumerically(">=", time.Hour))
}
