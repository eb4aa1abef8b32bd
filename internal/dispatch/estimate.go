package dispatch

import "time"

// Gains of the exponential moving averages, the same as TCP uses for round-trip
// times (RFC 6298).
const (
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
)

// estimate tracks the mean and the deviation of an upstream's service time, in
// nanoseconds.
type estimate struct {
	mean      float64
	deviation float64
}

func (e *estimate) observe(d time.Duration) {
	v := float64(d)
	if e.mean == 0 {
		e.mean = v
		e.deviation = v / 2
		return
	}
	diff := v - e.mean
	e.mean += meanGain * diff
	e.deviation += deviationGain * (max(diff, -diff) - e.deviation)
}

// typical returns the mean service time; 0 before the first observation.
func (e *estimate) typical() time.Duration {
	return time.Duration(e.mean)
}

// upperBound returns a service time that most requests stay below. While other
// requests wait, a request with less time left would probably waste its slot.
func (e *estimate) upperBound() time.Duration {
	return time.Duration(e.mean + 2*e.deviation)
}

// lowerBound returns a service time that few requests stay below. A request with
// less time left is not worth a slot.
func (e *estimate) lowerBound() time.Duration {
	const floor = 0.25
	return time.Duration(max(e.mean-e.deviation, floor*e.mean))
}
