package config

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ReadersPerDataCentre is how many VMs of each data centre watch the platform.
// Two, so that one may be lost without a delay.
const ReadersPerDataCentre = 2

// readerRank orders the VMs of a data centre; the lowest ranks read. It depends
// on the VM alone, so that a change of members moves as few readers as possible.
func readerRank(vm string) uint64 {
	return xxhash.Sum64String("platform-reader/" + vm)
}

// Readers picks from the VMs of one data centre those that watch the platform.
// VMs with differing views pick differing readers: that costs a read, no more.
func Readers(vms []Peer) []Peer {
	out := append([]Peer(nil), vms...)
	sort.Slice(out, func(i, j int) bool {
		a, b := readerRank(out[i].VM), readerRank(out[j].VM)
		if a != b {
			return a < b
		}
		return out[i].VM < out[j].VM
	})
	return out[:min(len(out), ReadersPerDataCentre)]
}
