package replica

import (
	"math"
	"time"
)

// decay returns the weight of an observation of the given age: 1 at age 0, halved with each
// half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
