package strain

import (
	"testing"
	"time"
)

// wake wakes a meter n times, each so late.
func wake(m *Meter, now *time.Time, n int, late time.Duration) {
	for range n {
		*now = now.Add(Every + late)
		m.Woken(*now)
	}
}

// Symptom: a VM that runs five times slower holds all of its callers up.
// Sequence: it stalls for up to a second at a time and is woken quickly in
// between.
// Cause: the mean delay was small, as each stall is one waking.
func TestStallsAreStrain(t *testing.T) {
	now := time.Unix(1000, 0)
	var m Meter
	wake(&m, &now, 100, 3*time.Millisecond)
	if m.Strained() || m.Lag() != 0 {
		t.Fatal("a healthy process")
	}
	for range 3 {
		wake(&m, &now, 1, 10*time.Second)
	}
	if m.Strained() {
		t.Error("three pauses")
	}
	wake(&m, &now, 40, 3*time.Millisecond)
	for range 8 {
		wake(&m, &now, 2, 300*time.Millisecond)
		wake(&m, &now, 2, 0)
	}
	if !m.Strained() || m.Lag() < 50*time.Millisecond {
		t.Errorf("stalls: lag %v", m.Lag())
	}
	wake(&m, &now, 5, 3*time.Millisecond)
	if !m.Strained() {
		t.Error("ended at once")
	}
	wake(&m, &now, 40, 3*time.Millisecond)
	if m.Strained() {
		t.Error("two seconds after it is over")
	}
}

// A quota that is used up leaves the process without time for the rest of each
// tenth of a second now and then; the mean stays below the bound.
func TestAQuotaThatIsUsedUpAtTimesIsNoStrain(t *testing.T) {
	now := time.Unix(1000, 0)
	var m Meter
	for range 50 {
		wake(&m, &now, 1, 60*time.Millisecond)
		wake(&m, &now, 3, 2*time.Millisecond)
	}
	if m.Strained() {
		t.Errorf("lag %v", m.Lag())
	}
}
