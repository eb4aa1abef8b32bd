package cpulag

import (
	"testing"
	"time"
)

// wakeLate records n wake-ups, each delayed by late.
func wakeLate(m *Meter, now *time.Time, n int, late time.Duration) {
	for range n {
		*now = now.Add(Interval + late)
		m.Observe(*now)
	}
}

// Guards against a VM that runs five times slower and delays all of its callers undetected: it
// stalls for up to a second at a time and wakes on time in between. Each stall is a single late
// wake-up, so the mean delay stays small.
func TestStallsAreDetected(t *testing.T) {
	now := time.Unix(1000, 0)
	var m Meter
	wakeLate(&m, &now, 100, 3*time.Millisecond)
	if m.Strained() || m.Lag() != 0 {
		t.Fatal("healthy process is strained")
	}
	for range 3 {
		wakeLate(&m, &now, 1, 10*time.Second)
	}
	if m.Strained() {
		t.Error("strained after three pauses")
	}
	wakeLate(&m, &now, 40, 3*time.Millisecond)
	for range 8 {
		wakeLate(&m, &now, 2, 300*time.Millisecond)
		wakeLate(&m, &now, 2, 0)
	}
	if !m.Strained() || m.Lag() < 50*time.Millisecond {
		t.Errorf("stalls are not detected: lag %v", m.Lag())
	}
	wakeLate(&m, &now, 5, 3*time.Millisecond)
	if !m.Strained() {
		t.Error("strain ended too early")
	}
	wakeLate(&m, &now, 40, 3*time.Millisecond)
	if m.Strained() {
		t.Error("still strained two seconds after the stalls")
	}
}

// A CPU quota that is exhausted now and then stops the process for the rest of a 0.1 s period.
// The number of late wake-ups stays below the threshold.
func TestOccasionalQuotaExhaustionIsNotStrain(t *testing.T) {
	now := time.Unix(1000, 0)
	var m Meter
	for range 50 {
		wakeLate(&m, &now, 1, 60*time.Millisecond)
		wakeLate(&m, &now, 3, 2*time.Millisecond)
	}
	if m.Strained() {
		t.Errorf("strained: lag %v", m.Lag())
	}
}
