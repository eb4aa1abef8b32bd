package dispatch

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/pause"
)

// PauseOptions define which gaps between ticks count as a pause of the process.
type PauseOptions struct {
	// Gap is the shortest time without a tick that counts as a pause.
	Gap time.Duration
	// Settle is how long dispatching stays suspended after a pause, so that
	// cancellations, configuration and membership updates that arrived meanwhile
	// are read first.
	Settle time.Duration
}

// PauseDetector detects that the process did not run for a while because it was stopped,
// starved of processor time or its VM suspended. Without it, an owner that
// resumes would dispatch its queued requests before it reads that they were
// cancelled, that the upstream is leaving or that another VM owns it now, and
// upstreams would get work that no caller waits for. It is not safe for
// concurrent use.
type PauseDetector struct {
	opts      PauseOptions
	lastTick  time.Time
	gap       time.Duration
	heldUntil time.Time
}

// NewPauseDetector returns a detector. It detects nothing before the first Tick.
func NewPauseDetector(opts PauseOptions) *PauseDetector {
	return &PauseDetector{opts: opts}
}

// Tick records that the process runs. Call it several times per Gap.
func (p *PauseDetector) Tick(now time.Time) {
	p.Check(now)
	p.lastTick = now
}

// ResumesIn returns how long dispatching stays suspended; 0 if it is not. A sub-request that
// arrives meanwhile may have waited in a socket buffer since before the pause.
func (p *PauseDetector) ResumesIn(now time.Time) time.Duration {
	p.Check(now)
	return max(0, p.heldUntil.Sub(now))
}

// Check reports whether dispatching is suspended at now, and the length of the
// last pause.
func (p *PauseDetector) Check(now time.Time) (held bool, gap time.Duration) {
	if !p.lastTick.IsZero() {
		if away := pause.Gap(p.lastTick, now); away >= p.opts.Gap {
			p.gap = away
			p.heldUntil = now.Add(p.opts.Settle)
			p.lastTick = now
		}
	}
	return now.Before(p.heldUntil), p.gap
}
