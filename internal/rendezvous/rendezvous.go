// Package rendezvous weighs pairs of hashes for rendezvous hashing. VMs that use
// the same weights choose alike without a message.
package rendezvous

// Weight is the weight of a pair; the order of the two does not matter. Each bit
// of it depends on every bit of both (the finalizer of MurmurHash3 over their
// exclusive or), so that the choices for one key say nothing about another's.
func Weight(a, b uint64) uint64 {
	return Mix(a ^ b)
}

// Mix spreads the bits of a hash, for hashes that are made from counters.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
