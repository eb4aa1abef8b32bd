package dispatch

import "time"

// Gains of the moving averages, as usual for round-trip times.
const (
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
)

// estimate follows the service time of an upstream.
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

// typical is the mean; 0 while nothing was observed.
func (e *estimate) typical() time.Duration {
	return time.Duration(e.mean)
}

// likely is a service time that most requests stay below: while others wait, a
// request with less time left would probably waste its slot.
func (e *estimate) likely() time.Duration {
	return time.Duration(e.mean + 2*e.deviation)
}

// least is a service time that few requests go below: with less time left a
// request is not worth its slot.
func (e *estimate) least() time.Duration {
	const floor = 0.25
	return time.Duration(max(e.mean-e.deviation, floor*e.mean))
}
