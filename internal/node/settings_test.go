package node

import (
	"testing"
	"time"
)

// Guards against callers that cannot connect to a VM after a planned stop: a directory
// answer given just before the stop must not have a longer TTL than the VM's drain
// period.
func TestDirectoryTTLDoesNotExceedDrainPeriod(t *testing.T) {
	for _, c := range []struct {
		name                string
		grace, maxTTL, want time.Duration
	}{
		{"usual grace period", 6 * time.Second, 5 * time.Second, 4500 * time.Millisecond},
		{"short grace period", 4 * time.Second, 5 * time.Second, 2700 * time.Millisecond},
		{"lower maximum TTL", 6 * time.Second, 2 * time.Second, 2 * time.Second},
		{"no grace period", 0, 5 * time.Second, time.Second},
		{"long grace period", time.Minute, time.Minute, 4500 * time.Millisecond},
	} {
		s := &Settings{Grace: c.grace, MaxDirectoryTTL: c.maxTTL}
		if got := s.directoryTTL(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
