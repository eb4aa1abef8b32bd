package quarantine

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

const (
	// turnWithin is the span over which VMs to which a suspect comes at the same moment draw
	// their turns to try it: fifty times the way of the word that a trial has begun, so that
	// hardly two begin unaware of each other. With 0.3 s, two of 300 runs in which a request
	// came twelve times within a tenth of a second to nine VMs had more than three trials;
	// with 0.8 s none of 900, a tenth of the words lost in a third of them.
	turnWithin = 800 * time.Millisecond
	// patience is how long a suspect waits for a trial of its own or for what comes of
	// another one: a trial and a turn after it.
	patience = trialFor + turnWithin + 200*time.Millisecond
	// askAgain is how often a suspect that waits is looked at: a fraction of a trial.
	askAgain = 10 * time.Millisecond
)

// Waiting is one attempt of a suspect that waits until it may be tried.
type Waiting struct {
	// draw places its turn within turnWithin.
	draw        float64
	turn, until time.Time
}

// Wait is an attempt that comes now; draw, from 0 to 1, gives its turn.
func Wait(now time.Time, draw float64) Waiting {
	w := Waiting{draw: draw, until: now.Add(patience)}
	w.setTurn(now)
	return w
}

func (w *Waiting) setTurn(from time.Time) {
	w.turn = from.Add(time.Duration(w.draw * float64(turnWithin)))
}

// Admission is how an attempt may go on.
type Admission struct {
	Standing Standing
	// Again is when to ask once more; zero once it is decided.
	Again time.Time
	// Held says that a suspect could not be tried in time, as others are trying it.
	Held bool
	// Waited says that the attempt has waited for its turn.
	Waited bool
	// Until is when a block ends.
	Until time.Time
}

// Admit tells whether an attempt may be run: as any other, alone as a trial, which begins
// with it, or not at all.
func (t *Table) Admit(now time.Time, content fingerprint.Fingerprint, w *Waiting) Admission {
	standing, until := t.Standing(now, content)
	a := Admission{Standing: standing, Until: until}
	if standing != Suspect {
		return a
	}
	r := t.records[content]
	if now.Before(r.tryingUntil) {
		// Should nothing come of that trial, those who wait do not all begin at its end.
		w.setTurn(r.tryingUntil)
	}
	switch {
	case !now.Before(w.turn):
		r.tryingUntil = now.Add(trialFor)
		r.trial, r.news = true, true
	case now.Before(w.until):
		a.Again = now.Add(askAgain)
	default:
		a.Held = true
	}
	return a
}
