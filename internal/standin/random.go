package standin

import (
	"math"
	"math/rand/v2"
)

// expNormal draws from a log-normal distribution with median 1.
func expNormal(rng *rand.Rand, spread float64) float64 {
	return math.Exp(spread * rng.NormFloat64())
}
