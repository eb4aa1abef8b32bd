// Package pause detects pauses of the process, such as a suspended VM.
package pause

import "time"

// Gap returns the time between two clock readings, by the monotonic or the wall
// clock, whichever shows more. The monotonic clock may stop while a VM is
// suspended. By that clock alone, the process would not notice the pause and would
// act on outdated state.
func Gap(before, after time.Time) time.Duration {
	return max(after.Sub(before), after.Round(0).Sub(before.Round(0)))
}
