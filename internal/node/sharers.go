package node

import (
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/edge"
)

// sharersMemory is how long the largest number of VMs seen is gone by: a VM that
// has just died or been replaced may have spent its part of an allowance in the
// window that is still counted, and its connections may still be open.
const sharersMemory = 12 * time.Second

// sharers keeps the numbers of VMs that bounds of the whole fleet are divided by.
type sharers struct {
	mu   sync.Mutex
	seen []sighting
}

type sighting struct {
	at     time.Time
	shares edge.Shares
}

// count takes in what is seen now and gives the largest numbers of late.
func (s *sharers) count(now time.Time, shares edge.Shares) edge.Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.seen) > 0 && now.Sub(s.seen[0].at) > sharersMemory {
		s.seen = s.seen[1:]
	}
	if n := len(s.seen); n > 0 && s.seen[n-1].shares == shares {
		s.seen[n-1].at = now
	} else {
		s.seen = append(s.seen, sighting{now, shares})
	}
	for _, x := range s.seen {
		shares.VMs = max(shares.VMs, x.shares.VMs)
		shares.Carriers = max(shares.Carriers, x.shares.Carriers)
	}
	return shares
}
