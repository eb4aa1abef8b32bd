package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamorekeel.example/sycamorekeel/internal/pause"
)

// Symptom: an owner that wakes runs what was cancelled while it slept.
// Sequence: ticks stop for two seconds, then the process goes on.
// Cause: queued work was dispatched before what waited outside was read.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	p := NewPause(PauseOptions{Gap: time.Second, Settle: 100 * time.Millisecond})
	step := func(ms int, tick bool) (bool, time.Duration) {
		held, gap := p.Check(at(ms))
		if tick {
			p.Tick(at(ms))
		}
		return held, gap
	}
	held, _ := step(50_000, false)
	g.Expect(held).To(BeFalse(), "nothing is known before the first tick")
	step(50_000, true)
	held, _ = step(50_999, false)
	g.Expect(held).To(BeFalse())
	held, gap := step(52_000, false)
	g.Expect(held).To(BeTrue(), "noticed by the first who looks, tick or not")
	g.Expect(gap).To(Equal(2 * time.Second))
	held, _ = step(52_099, true)
	g.Expect(held).To(BeTrue())
	held, _ = step(52_100, true)
	g.Expect(held).To(BeFalse())
}

// Symptom: after a VM was suspended its owner acts on old views.
// Sequence: the monotonic clock stands still while the wall clock goes on.
// Cause: only the monotonic clock was read.
func TestSuspend(t *testing.T) {
	g := NewWithT(t)
	then := time.Now()
	g.Expect(pause.Gap(then.Add(-time.Hour).Round(0), then.Add(time.Millisecond))).To(BeNumerically(">=", time.Hour))
}
