package quarantine

import (
	"time"

	"sycamorekeel.example/sycamorekeel/internal/fingerprint"
)

const (
	// trialSpread is the range of the random delays before a trial. VMs that receive a suspect
	// at the same time start their trials at different times within it. It is fifty times the
	// delay of a trial's announcement, so that two VMs rarely start a trial unaware of each
	// other. With a request sent to nine VMs twelve times within 0.1 s, 0.3 s gave more than
	// three trials in 2 of 300 runs, and 0.8 s in none of 900 runs, a third of which lost a
	// tenth of the messages.
	trialSpread = 800 * time.Millisecond
	// maxTrialWait is how long an attempt of a suspect waits for its own trial or the result of
	// another: the duration of one trial and of a random delay after it.
	maxTrialWait = trialTimeout + trialSpread + 200*time.Millisecond
	// pollInterval is how often a waiting attempt checks the table: a fraction of a trial.
	pollInterval = 10 * time.Millisecond
)

// TrialWait is the state of an attempt that waits for its trial.
type TrialWait struct {
	// draw is the random delay as a fraction of trialSpread.
	draw float64
	// startAt is when the trial may start, giveUpAt when the attempt stops waiting.
	startAt, giveUpAt time.Time
}

// NewTrialWait returns the state of an attempt that arrives now. draw, a random number from 0 to 1,
// determines the delay before its trial.
func NewTrialWait(now time.Time, draw float64) TrialWait {
	w := TrialWait{draw: draw, giveUpAt: now.Add(maxTrialWait)}
	w.setStart(now)
	return w
}

func (w *TrialWait) setStart(from time.Time) {
	w.startAt = from.Add(time.Duration(w.draw * float64(trialSpread)))
}

// Admission is the decision on an attempt.
type Admission struct {
	Standing Standing
	// RetryAt is when to call Admit again; zero if the decision is final.
	RetryAt time.Time
	// Held reports that the attempt of a suspect is refused: other trials lasted until the end
	// of its wait.
	Held bool
	// Waited reports whether the attempt waited before the final decision.
	Waited bool
	// Until is the end of the request's last block; zero if it was never blocked.
	Until time.Time
}

// Admit decides whether an attempt runs without restriction, runs as a trial, waits or is
// refused. A trial starts with this call.
func (t *Table) Admit(now time.Time, content fingerprint.Fingerprint, w *TrialWait) Admission {
	standing, until := t.Standing(now, content)
	a := Admission{Standing: standing, Until: until}
	if standing != Suspect {
		return a
	}
	r := t.records[content]
	if now.Before(r.trialUntil) {
		// If the trial times out without a result, the waiting attempts must not all start at
		// that moment.
		w.setStart(r.trialUntil)
	}
	switch {
	case !now.Before(w.startAt):
		r.trialUntil = now.Add(trialTimeout)
		r.announceTrial, r.pending = true, true
	case now.Before(w.giveUpAt):
		a.RetryAt = now.Add(pollInterval)
	default:
		a.Held = true
	}
	return a
}
