package router

import "math/rand/v2"

// lessLoaded is the less loaded of two replicas drawn at random, by what is open
// from this VM: the rule of the baseline.
func lessLoaded(list []candidate) int {
	first := rand.IntN(len(list))
	if len(list) == 1 {
		return list[0].index
	}
	second := rand.IntN(len(list) - 1)
	if second >= first {
		second++
	}
	if list[second].open < list[first].open {
		return list[second].index
	}
	return list[first].index
}
