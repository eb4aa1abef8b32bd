package config

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ReadersPerDataCentre is the number of VMs in each data centre that watch the
// platform. With 2, the loss of one reader causes no delay.
const ReadersPerDataCentre = 2

// readerRank orders the VMs of a data centre; those with the lowest ranks are the
// readers. It depends only on the VM, so that a membership change replaces as few
// readers as possible (rendezvous hashing).
func readerRank(vm string) uint64 {
	return xxhash.Sum64String("platform-reader/" + vm)
}

// SelectReaders returns the VMs of one data centre that watch the platform. VMs
// with different membership views may select different readers, which only costs
// additional reads.
func SelectReaders(vms []Peer) []Peer {
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
