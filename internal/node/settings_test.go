package node

import (
	"testing"
	"time"
)

// Symptom: callers find no connection to a VM that was stopped as planned.
// Sequence: a caller asks the directory just before the stop and keeps the answer
// for its time to live; the VM serves on for less.
// Cause: the two times had nothing to do with each other.
func TestAnswersOfTheDirectoryDoNotOutliveAStop(t *testing.T) {
	for _, c := range []struct {
		name               string
		grace, most, wants time.Duration
	}{
		{"the usual grace", 6 * time.Second, 5 * time.Second, 4500 * time.Millisecond},
		{"a short grace", 4 * time.Second, 5 * time.Second, 2700 * time.Millisecond},
		{"callers may keep less", 6 * time.Second, 2 * time.Second, 2 * time.Second},
		{"no grace", 0, 5 * time.Second, time.Second},
		{"a long grace", time.Minute, time.Minute, 4500 * time.Millisecond},
	} {
		s := &Settings{Grace: c.grace, MaxTTL: c.most}
		if got := s.directoryTTL(); got != c.wants {
			t.Errorf("%s: %v, want %v", c.name, got, c.wants)
		}
	}
}
