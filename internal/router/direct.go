package router

import "math/rand/v2"

// lessLoadedOfTwo draws two replicas at random and returns the index of the one
// with fewer sub-requests open from this VM. The baseline mode (Options.Direct)
// uses it.
func lessLoadedOfTwo(list []candidate) int {
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
