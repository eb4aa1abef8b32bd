package gossip

import "time"

const (
	// windowSize is the number of sequence numbers tracked, ending with the highest
	// one; lower ones are rejected. It equals the number of bits in window.seen.
	windowSize = 64
	// maxSenders limits the number of senders tracked.
	maxSenders = 4096
	// senderTTL is how long the window of a silent sender is kept.
	senderTTL = 24 * time.Hour
)

// window records the sequence numbers accepted from one sender's newest
// incarnation.
type window struct {
	incarnation uint64
	highest     uint64
	// seen has bit i set when highest-i was accepted.
	seen         uint64
	lastAccepted time.Time
}

// ReplayFilter rejects repeated datagrams and those of superseded incarnations.
// It is not safe for concurrent use.
type ReplayFilter struct {
	senders map[string]*window
}

// NewReplayFilter returns an empty filter.
func NewReplayFilter() *ReplayFilter {
	return &ReplayFilter{senders: map[string]*window{}}
}

// Accept records a datagram and returns "", or returns the reason to drop it.
func (f *ReplayFilter) Accept(now time.Time, vm string, incarnation, sequence uint64) Reason {
	w := f.senders[vm]
	if w == nil {
		f.evict(now)
		w = &window{}
		f.senders[vm] = w
	}
	if incarnation < w.incarnation {
		return Outdated
	}
	if incarnation > w.incarnation {
		*w = window{incarnation: incarnation}
	}
	if !w.accept(sequence) {
		return Replayed
	}
	w.lastAccepted = now
	return ""
}

func (w *window) accept(sequence uint64) bool {
	if sequence > w.highest {
		w.seen = w.seen<<(sequence-w.highest) | 1
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= windowSize || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}

// evict makes room for one sender when the filter is full: it removes expired
// senders, or else the one silent for longest. Without it the names of VMs that
// no longer exist would fill the memory.
func (f *ReplayFilter) evict(now time.Time) {
	if len(f.senders) < maxSenders {
		return
	}
	var oldest string
	for vm, w := range f.senders {
		if now.Sub(w.lastAccepted) >= senderTTL {
			delete(f.senders, vm)
			continue
		}
		if oldest == "" || w.lastAccepted.Before(f.senders[oldest].lastAccepted) {
			oldest = vm
		}
	}
	if len(f.senders) >= maxSenders {
		delete(f.senders, oldest)
	}
}
