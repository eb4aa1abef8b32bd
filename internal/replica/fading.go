package replica

import (
	"math"
	"time"
)

// fading is the weight of something of an age: it halves with each half-life.
func fading(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
