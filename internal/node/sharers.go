package node

import (
	"sync"
	"time"
)

// sharersMemory is how long the largest number of VMs seen is gone by: a VM that
// has just died or been replaced may have spent its part of an allowance in the
// window that is still counted, and its connections may still be open.
const sharersMemory = 12 * time.Second

// sharers is the number of VMs that bounds of the whole fleet are divided by.
type sharers struct {
	mu   sync.Mutex
	seen []sighting
}

type sighting struct {
	at time.Time
	n  int
}

// count takes in the number of live VMs and gives the largest of late.
func (s *sharers) count(now time.Time, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.seen) > 0 && now.Sub(s.seen[0].at) > sharersMemory {
		s.seen = s.seen[1:]
	}
	for len(s.seen) > 0 && s.seen[len(s.seen)-1].n <= n {
		s.seen = s.seen[:len(s.seen)-1]
	}
	s.seen = append(s.seen, sighting{now, n})
	return s.seen[0].n
}
