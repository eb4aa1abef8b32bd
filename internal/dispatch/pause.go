package dispatch

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pause"
)

// PauseOptions tell when a gap in a process's own ticks counts as a pause.
type PauseOptions struct {
	// Gap is the least time without a tick that counts.
	Gap time.Duration
	// Settle is how long nothing is dispatched after the end of a pause, so that
	// the cancellations, the configuration and the members' news that waited
	// outside the process are read first.
	Settle time.Duration
}

// Pause notices that the process did not run for a while (a stopped process, a
// suspended VM, a starved one). Without it, an owner that wakes would dispatch
// what it had queued before it reads that this was cancelled, that the upstream
// is leaving or that another VM owns it now; upstreams would see work that
// nobody waits for. It is not safe for concurrent use.
type Pause struct {
	opts PauseOptions
	last time.Time
	gap  time.Duration
	held time.Time
}

// NewPause makes a detector. It notices nothing before its first Tick.
func NewPause(opts PauseOptions) *Pause {
	return &Pause{opts: opts}
}

// Tick is called steadily, several times in a Gap.
func (p *Pause) Tick(now time.Time) {
	p.Check(now)
	p.last = now
}

// Check tells whether dispatching is held at now, and how long the pause was
// that holds it. A sub-request that arrives while held may have waited in a
// socket for as long.
func (p *Pause) Check(now time.Time) (held bool, gap time.Duration) {
	if !p.last.IsZero() {
		if away := pause.Gap(p.last, now); away >= p.opts.Gap {
			p.gap = away
			p.held = now.Add(p.opts.Settle)
			p.last = now
		}
	}
	return now.Before(p.held), p.gap
}
