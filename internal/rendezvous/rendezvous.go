// Package rendezvous computes weights for rendezvous (highest random weight) hashing. VMs
// that use the same weights make the same choices without exchanging messages.
package rendezvous

// Weight returns the weight of a pair of hashes; their order does not matter. Every bit of
// the weight depends on every bit of both hashes (it is the finalizer of MurmurHash3 over
// their exclusive or), so that the choices for different keys are independent.
func Weight(a, b uint64) uint64 {
	return Mix(a ^ b)
}

// Mix spreads the bits of h over the whole result. It turns counters into usable hashes.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
