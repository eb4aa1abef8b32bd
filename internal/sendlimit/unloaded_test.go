package sendlimit

import (
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/locality"
)

// Guards against an unloaded time that overflows on a VM that gets no answers for long: the
// limits of the route would then never be lowered again.
func TestUnloadedTimeAfterAnHourWithoutAnswers(t *testing.T) {
	u, now := NewUnloaded(), epoch
	for range minAnswers {
		u.Observe(now, "r", locality.Near, 20*time.Millisecond)
	}
	now = now.Add(time.Hour)
	for range minAnswers {
		u.Observe(now, "r", locality.Near, 30*time.Millisecond)
	}
	if got, known := u.Time(now, "r", locality.Near); !known || got < 20*time.Millisecond || got > 30*time.Millisecond {
		t.Errorf("the unloaded time is %v", got)
	}
}
