// Package pause measures how long a process did not run.
package pause

import "time"

// Gap is how far two readings of the clock are apart, by the monotonic or the
// wall clock, whichever shows more. A monotonic clock may stand still while a
// VM is suspended: by it alone the process would not notice that it was away
// and would act on what it knew before.
func Gap(before, after time.Time) time.Duration {
	return max(after.Sub(before), after.Round(0).Sub(before.Round(0)))
}
