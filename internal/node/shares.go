package node

import (
	"sync"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/edge"
)

// shareRetention is how long the largest observed number of VMs stays in use. A VM that
// has just died or been replaced may have spent its share of an allowance in the
// current window, and its connections may still be open.
const shareRetention = 12 * time.Second

// shareHistory keeps the recent numbers of VMs by which fleet-wide limits are divided.
type shareHistory struct {
	mu      sync.Mutex
	samples []shareSample
}

// shareSample is a value of edge.Shares and the last time at which it was observed.
type shareSample struct {
	at     time.Time
	shares edge.Shares
}

// update records the current shares and returns them with the largest numbers of VMs
// and of carriers within shareRetention.
func (s *shareHistory) update(now time.Time, shares edge.Shares) edge.Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.samples) > 0 && now.Sub(s.samples[0].at) > shareRetention {
		s.samples = s.samples[1:]
	}
	if n := len(s.samples); n > 0 && s.samples[n-1].shares == shares {
		s.samples[n-1].at = now
	} else {
		s.samples = append(s.samples, shareSample{now, shares})
	}
	for _, x := range s.samples {
		shares.VMs = max(shares.VMs, x.shares.VMs)
		shares.IngressVMs = max(shares.IngressVMs, x.shares.IngressVMs)
	}
	return shares
}
